#!/usr/bin/env node
/** The command line: settings, orders, jobs, dumps, exports and the demo. */
import { randomUUID } from "node:crypto";
import { readFileSync, writeFileSync } from "node:fs";
import { type DescMessage, toJson } from "@bufbuild/protobuf";
import { Command } from "commander";
import {
  callWhole,
  createPlot,
  formatHeading,
  formatResult,
  runMembershipBench,
  runScenario,
  runStateBench,
  StandInEngine,
  StandInService,
  type StateFigure,
} from "../bench/mod.ts";
import { formatFailure, readSettings } from "../daemons/daemon.ts";
import {
  ConfigurationSchema,
  EntrySettingsSchema,
  FleetSettingsSchema,
  InFlightReplySchema,
  MessageCode,
  Operators,
  OrderOutcomeSchema,
  ScenarioSchema,
  StateSettingsSchema,
} from "../schema/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { asServingError, formatCode, ServingError } from "../sys/errors.ts";
import type { RpcClient } from "../sys/rpc.ts";
import { connect, type ConnectionOptions } from "./connection.ts";
import { runDemo } from "./demo.ts";
import { exportOperator, verifyExport } from "./export_files.ts";
import {
  createUsageError,
  getActionNames,
  parseOrder,
} from "./order_actions.ts";
import { Output } from "./output.ts";
import { createMessagesPage, createSettingsPage } from "./schema_pages.ts";

const EXIT_CODES = `
Exit codes: 0 done, 1 internal error, 2 usage, 3 settings, 4 port or folder,
5 damaged or lost state, 6 order refused, 7 export does not check.`;

const program = new Command("papayatally")
  .description("Online and batch inference on one fleet.")
  .option("--json", "print JSON for scripts")
  .addHelpText("after", EXIT_CODES)
  .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : 2));

function getOutput(): Output {
  return new Output({ isJson: program.opts().json === true });
}

function addConnection(command: Command): Command {
  return command
    .requiredOption("--server <address>", "gRPC address of any process")
    .option("--certificate <file>", "the operator's certificate")
    .option("--key <file>", "its key")
    .option("--authority <file>", "the authority that signed both sides");
}

async function withClient<T>(
  options: ConnectionOptions,
  use: (client: RpcClient) => Promise<T>,
): Promise<T> {
  const client = connect(options);
  try {
    return await use(client);
  } finally {
    client.close();
  }
}

/** Settings files by the kind of process that they are for. */
const SETTINGS_SCHEMAS: ReadonlyMap<string, DescMessage> = new Map<
  string,
  DescMessage
>([
  ["entry", EntrySettingsSchema],
  ["state", StateSettingsSchema],
  ["fleet", FleetSettingsSchema],
]);

program.command("check")
  .description("Check a settings file and print every fault.")
  .argument("<kind>", "entry, state or fleet")
  .argument("<file>", "path of the TOML file")
  .action((kind: string, file: string) => {
    const schema = SETTINGS_SCHEMAS.get(kind);
    if (schema === undefined) {
      throw createUsageError("the kind must be entry, state or fleet");
    }
    readSettings(schema, file);
    getOutput().print(`${file}: no faults`, { file, faults: [] });
  });

interface OrderOptions extends ConnectionOptions {
  readonly operator: string;
  readonly orderId?: string;
  readonly expectedVersion?: string;
}

addConnection(program.command("order"))
  .description(`Submit an order: ${getActionNames().join(", ")}.`)
  .argument("<action>", "name of the action")
  .argument("<json>", "its value as JSON, or @file")
  .requiredOption("--operator <name>", "who orders")
  .option("--order-id <id>", "the same id always means the same order")
  .option("--expected-version <n>", "version that the order builds on")
  .action(async (action: string, json: string, options: OrderOptions) => {
    await withClient(options, async (client) => {
      const current = options.expectedVersion === undefined
        ? (await client.call(Operators.method.getConfiguration, {})).version
        : BigInt(options.expectedVersion);
      const order = parseOrder({
        action,
        value: json.startsWith("@")
          ? readFileSync(json.slice(1), "utf8")
          : json,
        operator: options.operator,
        orderId: options.orderId ?? randomUUID(),
        expectedVersion: current,
      });
      const outcome = await client.call(Operators.method.submit, order);
      if (!outcome.accepted) {
        process.stderr.write(
          `${formatCode(outcome.code)} ${outcome.detail}\n`,
        );
        process.exitCode = 6;
      }
      getOutput().print(
        outcome.accepted
          ? `order ${order.orderId} made version ${outcome.version}`
          : `order ${order.orderId} was refused`,
        toJson(OrderOutcomeSchema, outcome),
      );
    });
  });

addConnection(program.command("configuration"))
  .description("Print the configuration in force.")
  .action(async (options: ConnectionOptions) => {
    const configuration = await withClient(
      options,
      (client) => client.call(Operators.method.getConfiguration, {}),
    );
    const value = toJson(ConfigurationSchema, configuration);
    getOutput().print(JSON.stringify(value, undefined, 2), value);
  });

addConnection(program.command("dump"))
  .description("Print the state of the process at the address.")
  .action(async (options: ConnectionOptions) => {
    const reply = await withClient(
      options,
      (client) => client.call(Operators.method.dump, {}),
    );
    const value = JSON.parse(reply.json);
    getOutput().print(JSON.stringify(value, undefined, 2), value);
  });

addConnection(program.command("in-flight"))
  .description("Count what has not ended; quiet when nothing is left.")
  .action(async (options: ConnectionOptions) => {
    const reply = await withClient(
      options,
      (client) => client.call(Operators.method.inFlight, {}),
    );
    const value = toJson(InFlightReplySchema, reply);
    const text = reply.quiet ? "quiet" : JSON.stringify(value);
    getOutput().print(text, value);
  });

interface MemberOptions extends ConnectionOptions {
  readonly group: string;
  readonly address?: string;
  readonly dataCentre?: string;
}

addConnection(program.command("member"))
  .description("Add a learner, promote it to voter or remove a member.")
  .argument("<change>", "add, promote or remove")
  .argument("<id>", "name of the replica")
  .requiredOption("--group <n>", "0 for control, 1 and up for items")
  .option("--address <address>", "gRPC address of an added replica")
  .option("--data-centre <name>", "its data centre")
  .action(async (change: string, id: string, options: MemberOptions) => {
    const member = {
      id,
      address: options.address ?? "",
      dataCentre: options.dataCentre ?? "",
    };
    const changes: Record<string, object> = {
      add: { add: member },
      promote: { promote: id },
      remove: { remove: id },
    };
    const wanted = changes[change];
    if (wanted === undefined) {
      throw createUsageError("the change must be add, promote or remove");
    }
    const reply = await withClient(
      options,
      (client) =>
        client.call(Operators.method.changeMember, {
          group: Number(options.group),
          ...wanted,
        }),
    );
    if (!reply.accepted) {
      const hint = reply.leader === "" ? "" : `; the leader is ${reply.leader}`;
      process.stderr.write(
        `${formatCode(reply.code)} ${reply.detail}${hint}\n`,
      );
      process.exitCode = 6;
      return;
    }
    getOutput().print(`${change} ${id}: done`, { change, id });
  });

interface ExportOptions extends ConnectionOptions {
  readonly operator: string;
}

addConnection(program.command("export"))
  .description("Write an operator's results as files with a manifest.")
  .argument("<folder>", "where the files go; run again to go on")
  .requiredOption("--operator <name>", "whose results")
  .action(async (folder: string, options: ExportOptions) => {
    const manifest = await withClient(
      options,
      (client) =>
        exportOperator(client, { operator: options.operator, folder }),
    );
    getOutput().print(
      `${manifest.jobs} jobs, ${manifest.items} items, ` +
        `${manifest.requests} requests, ${manifest.unknown.length} unknown`,
      manifest,
    );
  });

program.command("verify-export")
  .description("Check an export's files against its manifest, offline.")
  .argument("<folder>", "folder of the export")
  .action(async (folder: string) => {
    const manifest = await verifyExport(folder);
    getOutput().print(
      `${manifest.files.length} files check`,
      { files: manifest.files.length, valid: true },
    );
  });

const job = program.command("job").description("Batch jobs at an entry.");

interface JobOptions {
  readonly entry: string;
  readonly caller: string;
  readonly workload?: string;
  readonly key?: string;
}

function addEntry(command: Command): Command {
  return command
    .requiredOption("--entry <address>", "HTTP address of an entry")
    .option("--caller <name>", "who calls", "anonymous");
}

async function callJobs(
  options: JobOptions,
  path: string,
  body?: string,
): Promise<string> {
  const headers: Record<string, string> = {
    "papayatally-caller": options.caller,
  };
  if (options.key !== undefined) headers["idempotency-key"] = options.key;
  const answer = await callWhole(options.entry, `/v1/jobs${path}`, body, {
    headers,
  });
  if (answer.status < 400) return answer.text.trimEnd();
  const problem = JSON.parse(answer.text);
  process.stderr.write(
    `${problem.code} ${problem.detail} (${problem.verdict})\n`,
  );
  process.exit(6);
}

addEntry(job.command("submit"))
  .argument("<file>", "JSON Lines, one item a line")
  .requiredOption("--workload <name>", "workload of the items")
  .option("--key <key>", "idempotency key, so that a resent job is the same")
  .action(async (file: string, options: JobOptions) => {
    const text = await callJobs(
      options,
      `?workload=${encodeURIComponent(options.workload ?? "")}`,
      readFileSync(file, "utf8"),
    );
    getOutput().print(text, JSON.parse(text));
  });

addEntry(job.command("list")).action(async (options: JobOptions) => {
  const text = await callJobs(options, "");
  getOutput().print(text, JSON.parse(text));
});

addEntry(job.command("status")).argument("<id>").action(
  async (id: string, options: JobOptions) => {
    const text = await callJobs(options, `/${id}`);
    getOutput().print(text, JSON.parse(text));
  },
);

addEntry(job.command("results")).argument("<id>")
  .option("--after <n>", "first line of the page", "0")
  .action(
    async (id: string, options: JobOptions & { readonly after: string }) => {
      const text = await callJobs(
        options,
        `/${id}/results?after=${options.after}`,
      );
      process.stdout.write(`${text}\n`);
    },
  );

addEntry(job.command("cancel")).argument("<id>").action(
  async (id: string, options: JobOptions) => {
    const text = await callJobs(options, `/${id}/cancel`, "{}");
    getOutput().print(text, JSON.parse(text));
  },
);

interface BenchOptions {
  readonly report?: string;
}

program.command("bench")
  .description("Run a scenario against stand-in engines and report.")
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
    writeFileSync(`${options.report}.svg`, createPlot(scenario.name, results));
  });

const printFigure = (figure: StateFigure) =>
  getOutput().print(
    `${figure.name}: ${figure.value.toFixed(1)} ${figure.unit}`,
    figure,
  );

program.command("bench-state")
  .description("Measure the replicated state on this machine's disk.")
  .action(() => runStateBench(printFigure));

program.command("bench-membership")
  .description("Measure what membership costs an entry, over sizes.")
  .action(() => runMembershipBench(printFigure));

interface StandInOptions {
  readonly entry: string;
  readonly engines: string;
  readonly deployment: string;
  readonly model: string;
  readonly service?: string;
}

program.command("stand-in")
  .description("Run stand-in engines and a plain service for trials.")
  .requiredOption("--entry <address>", "HTTP address of an entry")
  .option("--engines <n>", "stand-in engines", "2")
  .option("--deployment <name>", "their deployment", "refill-assistant")
  .option("--model <name>", "their model", "refill-model")
  .option("--service <deployment>", "also a plain service of this deployment")
  .action(async (options: StandInOptions) => {
    const common = {
      dataCentre: "dc-1",
      entries: [options.entry],
      clock: new SystemClock(),
    };
    for (let index = 1; index <= Number(options.engines); index += 1) {
      await new StandInEngine({
        ...common,
        name: `engine-${index}`,
        deployment: options.deployment,
        models: [options.model],
      }).start();
    }
    if (options.service !== undefined) {
      await new StandInService({
        ...common,
        name: "service-1",
        deployment: options.service,
      }).start();
    }
    getOutput().print("stand-ins run until this process ends", {
      engines: Number(options.engines),
    });
  });

program.command("schema-pages")
  .description("Write the pages that are made from the schema.")
  .argument("<folder>", "where the pages go")
  .action((folder: string) => {
    writeFileSync(`${folder}/SETTINGS.md`, createSettingsPage());
    writeFileSync(`${folder}/MESSAGES.md`, createMessagesPage());
  });

program.command("demo")
  .description("Run a whole small fleet in this process and show its work.")
  .action(() => runDemo(getOutput()));

try {
  await program.parseAsync();
} catch (thrown) {
  const error = asServingError(thrown);
  process.stderr.write(`${formatFailure(error)}\n`);
  const isInternal = error instanceof ServingError &&
    error.code === MessageCode.INTERNAL;
  process.exit(isInternal ? 1 : error.exitCode);
}
