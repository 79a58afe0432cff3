/** Commands of operators: orders, what is in force, dumps, members, exports. */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { toJson } from "@bufbuild/protobuf";
import type { Command } from "commander";
import {
  ConfigurationSchema,
  InFlightReplySchema,
  Operators,
  OrderOutcomeSchema,
} from "../schema/mod.ts";
import { formatCode } from "../sys/errors.ts";
import type { RpcClient } from "../sys/rpc.ts";
import { connect, type ConnectionOptions } from "./connection.ts";
import { exportOperator, verifyExport } from "./export_files.ts";
import {
  createUsageError,
  getActionNames,
  parseOrder,
} from "./order_actions.ts";
import type { Output } from "./output.ts";

interface OrderOptions extends ConnectionOptions {
  readonly operator: string;
  readonly orderId?: string;
  readonly expectedVersion?: string;
}

interface MemberOptions extends ConnectionOptions {
  readonly group: string;
  readonly address?: string;
  readonly dataCentre?: string;
}

interface ExportOptions extends ConnectionOptions {
  readonly operator: string;
}

function addConnectionOptions(command: Command): Command {
  return command
    .requiredOption("--server <address>", "gRPC address of any process")
    .option("--certificate <file>", "the operator's certificate")
    .option("--key <file>", "its key")
    .option("--authority <file>", "the authority that signed both sides");
}

async function withClient<T>(
  options: ConnectionOptions,
  action: (client: RpcClient) => Promise<T>,
): Promise<T> {
  const client = connect(options);
  try {
    return await action(client);
  } finally {
    client.close();
  }
}

/** Adds the commands of operators. */
export function addOperatorCommands(
  program: Command,
  getOutput: () => Output,
): void {
  addConnectionOptions(program.command("order"))
    .description(`Submit an order: ${getActionNames().join(", ")}.`)
    .argument("<action>", "name of the action")
    .argument("<json>", "its value as JSON, or @file")
    .requiredOption("--operator <name>", "who orders")
    .option("--order-id <id>", "the same id always means the same order")
    .option("--expected-version <n>", "version that the order builds on")
    .action(async (action: string, json: string, options: OrderOptions) => {
      await withClient(options, async (client) => {
        const expectedVersion = options.expectedVersion === undefined
          ? (await client.call(Operators.method.getConfiguration, {})).version
          : BigInt(options.expectedVersion);
        const order = parseOrder({
          action,
          value: json.startsWith("@")
            ? readFileSync(json.slice(1), "utf8")
            : json,
          operator: options.operator,
          orderId: options.orderId ?? randomUUID(),
          expectedVersion: expectedVersion,
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

  addConnectionOptions(program.command("configuration"))
    .description("Print the configuration in force.")
    .action(async (options: ConnectionOptions) => {
      const configuration = await withClient(
        options,
        (client) => client.call(Operators.method.getConfiguration, {}),
      );
      const value = toJson(ConfigurationSchema, configuration);
      getOutput().print(JSON.stringify(value, undefined, 2), value);
    });

  addConnectionOptions(program.command("dump"))
    .description("Print the state of the process at the address.")
    .action(async (options: ConnectionOptions) => {
      const reply = await withClient(
        options,
        (client) => client.call(Operators.method.dump, {}),
      );
      const value = JSON.parse(reply.json);
      getOutput().print(JSON.stringify(value, undefined, 2), value);
    });

  addConnectionOptions(program.command("in-flight"))
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

  addConnectionOptions(program.command("member"))
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
      const requestedChange = changes[change];
      if (requestedChange === undefined) {
        throw createUsageError("the change must be add, promote or remove");
      }
      const reply = await withClient(
        options,
        (client) =>
          client.call(Operators.method.changeMember, {
            group: Number(options.group),
            ...requestedChange,
          }),
      );
      if (!reply.accepted) {
        const hint = reply.leader === ""
          ? ""
          : `; the leader is ${reply.leader}`;
        process.stderr.write(
          `${formatCode(reply.code)} ${reply.detail}${hint}\n`,
        );
        process.exitCode = 6;
        return;
      }
      getOutput().print(`${change} ${id}: done`, { change, id });
    });

  addConnectionOptions(program.command("export"))
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
}
