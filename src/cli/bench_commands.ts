/** Commands that run benchmarks and simulated backend servers. */
import { writeFileSync } from "node:fs";
import type { Command } from "commander";
import {
  createPlot,
  formatHeading,
  formatResult,
  type Measurement,
  runMembershipBench,
  runScenario,
  runStateBench,
  StandInEngine,
  StandInService,
} from "../bench/mod.ts";
import { readSettings } from "../daemons/settings_file.ts";
import { ScenarioSchema } from "../schema/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import type { Output } from "./output.ts";

interface BenchOptions {
  readonly report?: string;
}

interface StandInOptions {
  readonly entry: string;
  readonly engines: string;
  readonly deployment: string;
  readonly model: string;
  readonly service?: string;
}

/** Adds the benchmark commands and `stand-in`. */
export function addBenchCommands(
  program: Command,
  getOutput: () => Output,
): void {
  program.command("bench")
    .description(
      "Run a scenario against simulated engines and report the results.",
    )
    .argument("<scenario>", "path of the scenario's TOML file")
    .option("--report <path>", "also write <path>.json and <path>.svg")
    .action(async (file: string, options: BenchOptions) => {
      const scenario = readSettings(ScenarioSchema, file);
      const output = getOutput();
      output.print(formatHeading(), { scenario: scenario.name });
      const results = await runScenario(
        scenario,
        (result) => output.print(formatResult(result), result),
      );
      if (options.report === undefined) return;
      writeFileSync(`${options.report}.json`, JSON.stringify(results));
      writeFileSync(
        `${options.report}.svg`,
        createPlot(scenario.name, results),
      );
    });

  const printMeasurement = (figure: Measurement) =>
    getOutput().print(
      `${figure.name}: ${figure.value.toFixed(1)} ${figure.unit}`,
      figure,
    );

  program.command("bench-state")
    .description("Benchmark the replicated state on this host's disk.")
    .action(() => runStateBench(printMeasurement));

  program.command("bench-membership")
    .description("Benchmark an entry's cost of membership by fleet size.")
    .action(() => runMembershipBench(printMeasurement));

  program.command("stand-in")
    .description("Run simulated engines and optionally a plain service.")
    .requiredOption("--entry <address>", "HTTP address of an entry")
    .option("--engines <n>", "number of simulated engines", "2")
    .option(
      "--deployment <name>",
      "deployment of the engines",
      "refill-assistant",
    )
    .option("--model <name>", "model of the engines", "refill-model")
    .option(
      "--service <deployment>",
      "also run a plain service of this deployment",
    )
    .action(async (options: StandInOptions) => {
      const commonOptions = {
        dataCentre: "dc-1",
        entries: [options.entry],
        clock: new SystemClock(),
      };
      for (let index = 1; index <= Number(options.engines); index += 1) {
        await new StandInEngine({
          ...commonOptions,
          name: `engine-${index}`,
          deployment: options.deployment,
          models: [options.model],
        }).start();
      }
      if (options.service !== undefined) {
        await new StandInService({
          ...commonOptions,
          name: "service-1",
          deployment: options.service,
        }).start();
      }
      getOutput().print("the simulated servers run until this process ends", {
        engines: Number(options.engines),
      });
    });
}
