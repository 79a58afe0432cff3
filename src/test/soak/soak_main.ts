/** Command line of the soak: `npm run soak -- --help`. */
import { rm } from "node:fs/promises";
import { Command } from "commander";
import { DEFAULT_SIZE } from "./soak_fleet.ts";
import { runSoak, type SoakReport } from "./soak_run.ts";

interface CommandOptions {
  readonly seed: string;
  readonly seeds: string;
  readonly seconds: string;
  readonly gateways: string;
  readonly servers: string;
  readonly otherWriter?: boolean;
  readonly framings?: boolean;
  readonly jobEnds?: boolean;
  readonly verbose?: boolean;
}

const program = new Command("soak")
  .description(
    "Run real processes under random faults and check the guarantees.",
  )
  .option("--seed <number>", "first seed", "1")
  .option("--seeds <count>", "number of consecutive seeds to run", "1")
  .option(
    "--seconds <number>",
    "period in which faults start, in seconds",
    "20",
  )
  .option(
    "--gateways <count>",
    "number of gateways",
    String(DEFAULT_SIZE.gateways),
  )
  .option(
    "--servers <count>",
    "number of backend servers",
    String(DEFAULT_SIZE.servers),
  )
  .option(
    "--other-writer",
    "send odd registrations, which older builds do not bear",
  )
  .option(
    "--framings",
    "vary how servers frame their answers, which older builds do not bear",
  )
  .option(
    "--job-ends",
    "end jobs before, while and after they arrive, which older builds do not bear",
  )
  .option("--verbose", "print a line for each fault")
  .addHelpText("after", "\nExit codes: 0 all guarantees kept, 1 one broken.")
  .parse();

async function printReport(report: SoakReport): Promise<void> {
  const { seed, requests, served, jobs, ended } = report;
  const { takenUp, continued, faultCount } = report;
  const verdict = report.faults.length === 0 ? "kept" : "BROKEN";
  process.stdout.write(
    `seed=${seed} ${verdict} requests=${requests} served=${served} ` +
      `jobs=${jobs} ended=${ended} taken_up=${takenUp} continued=${continued} faults=${faultCount}\n`,
  );
  if (report.faults.length === 0) {
    await rm(report.folder, { recursive: true, force: true });
    return;
  }
  process.exitCode = 1;
  const lines = report.faults.slice(0, 20).map((fault) => `  ${fault}\n`);
  process.stdout.write(`${lines.join("")}  logs: ${report.folder}\n`);
}

process.once("SIGTERM", () => process.exit(1));
process.once("SIGINT", () => process.exit(1));

const options = program.opts<CommandOptions>();
const { seed, seeds, seconds, gateways, servers, verbose } = options;
for (let index = 0; index < Number(seeds); index += 1) {
  await printReport(
    await runSoak({
      seed: Number(seed) + index,
      faultPeriodMs: Number(seconds) * 1_000,
      size: {
        ...DEFAULT_SIZE,
        gateways: Number(gateways),
        servers: Number(servers),
      },
      hasOtherWriter: options.otherWriter === true,
      variesFramings: options.framings === true,
      endsJobs: options.jobEnds === true,
      onLine: verbose === true
        ? (line) => process.stdout.write(`  ${line}\n`)
        : undefined,
    }),
  );
}
process.exit();
