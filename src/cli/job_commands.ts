/** Commands that manage batch jobs through the HTTP API of an entry. */
import { readFileSync } from "node:fs";
import type { Command } from "commander";
import { sendRequest } from "../bench/mod.ts";
import type { Output } from "./output.ts";

interface JobOptions {
  readonly entry: string;
  readonly caller: string;
  readonly workload?: string;
  readonly key?: string;
}

function addEntryOptions(command: Command): Command {
  return command
    .requiredOption("--entry <address>", "HTTP address of an entry")
    .option("--caller <name>", "name of the caller", "anonymous");
}

async function callJobApi(
  options: JobOptions,
  path: string,
  body?: string,
): Promise<string> {
  const headers: Record<string, string> = {
    "papayatally-caller": options.caller,
  };
  if (options.key !== undefined) headers["idempotency-key"] = options.key;
  const answer = await sendRequest(options.entry, `/v1/jobs${path}`, body, {
    headers,
  });
  if (answer.status < 400) return answer.text.trimEnd();
  const problem = JSON.parse(answer.text);
  process.stderr.write(
    `${problem.code} ${problem.detail} (${problem.verdict})\n`,
  );
  process.exit(6);
}

/** Adds `job submit`, `list`, `status`, `results` and `cancel`. */
export function addJobCommands(
  program: Command,
  getOutput: () => Output,
): void {
  const job = program.command("job").description("Batch jobs at an entry.");

  addEntryOptions(job.command("submit"))
    .argument("<file>", "JSON Lines file with one item per line")
    .requiredOption("--workload <name>", "workload of the items")
    .option(
      "--key <key>",
      "idempotency key; a retry with the same key submits no second job",
    )
    .action(async (file: string, options: JobOptions) => {
      const text = await callJobApi(
        options,
        `?workload=${encodeURIComponent(options.workload ?? "")}`,
        readFileSync(file, "utf8"),
      );
      getOutput().print(text, JSON.parse(text));
    });

  addEntryOptions(job.command("list")).action(async (options: JobOptions) => {
    const text = await callJobApi(options, "");
    getOutput().print(text, JSON.parse(text));
  });

  addEntryOptions(job.command("status")).argument("<id>").action(
    async (id: string, options: JobOptions) => {
      const text = await callJobApi(options, `/${id}`);
      getOutput().print(text, JSON.parse(text));
    },
  );

  addEntryOptions(job.command("results")).argument("<id>")
    .option("--after <n>", "first line of the page", "0")
    .action(
      async (id: string, options: JobOptions & { readonly after: string }) => {
        const text = await callJobApi(
          options,
          `/${id}/results?after=${options.after}`,
        );
        process.stdout.write(`${text}\n`);
      },
    );

  addEntryOptions(job.command("cancel")).argument("<id>").action(
    async (id: string, options: JobOptions) => {
      const text = await callJobApi(options, `/${id}/cancel`, "{}");
      getOutput().print(text, JSON.parse(text));
    },
  );
}
