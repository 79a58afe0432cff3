#!/usr/bin/env node
/** Main program of the command line interface. */
import { writeFileSync } from "node:fs";
import type { DescMessage } from "@bufbuild/protobuf";
import { Command } from "commander";
import { formatError, readSettings } from "../daemons/settings_file.ts";
import {
  EntrySettingsSchema,
  FleetSettingsSchema,
  MessageCode,
  StateSettingsSchema,
} from "../schema/mod.ts";
import { asServingError, ServingError } from "../sys/errors.ts";
import { addBenchCommands } from "./bench_commands.ts";
import { runDemo } from "./demo.ts";
import { addExplainCommand } from "./explain_command.ts";
import { addJobCommands } from "./job_commands.ts";
import { addOperatorCommands } from "./operator_commands.ts";
import { createUsageError } from "./order_actions.ts";
import { Output } from "./output.ts";
import { addPlacementCommand } from "./placement_command.ts";
import { createMessagesPage, createSettingsPage } from "./schema_pages.ts";

const EXIT_CODES = `
Exit codes: 0 done, 1 internal error, 2 usage, 3 settings, 4 port or folder,
5 damaged or lost state, 6 order refused, 7 export invalid.`;

const program = new Command("papayatally")
  .description("Online and batch inference on one fleet.")
  .option("--json", "print JSON for scripts")
  .addHelpText("after", EXIT_CODES)
  .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : 2));

function getOutput(): Output {
  return new Output({ isJson: program.opts().json === true });
}

/** Settings schemas by kind of process. */
const SETTINGS_SCHEMAS: ReadonlyMap<string, DescMessage> = new Map<
  string,
  DescMessage
>([
  ["entry", EntrySettingsSchema],
  ["state", StateSettingsSchema],
  ["fleet", FleetSettingsSchema],
]);

program.command("check")
  .description("Check a settings file and print all errors.")
  .argument("<kind>", "entry, state or fleet")
  .argument("<file>", "path of the TOML file")
  .action((kind: string, file: string) => {
    const schema = SETTINGS_SCHEMAS.get(kind);
    if (schema === undefined) {
      throw createUsageError("the kind must be entry, state or fleet");
    }
    readSettings(schema, file);
    getOutput().print(`${file}: no errors`, { file, faults: [] });
  });

addOperatorCommands(program, getOutput);
addJobCommands(program, getOutput);
addExplainCommand(program, getOutput);
addPlacementCommand(program, getOutput);
addBenchCommands(program, getOutput);

program.command("schema-pages")
  .description("Write the reference pages that are generated from the schema.")
  .argument("<folder>", "target folder")
  .action((folder: string) => {
    writeFileSync(`${folder}/SETTINGS.md`, createSettingsPage());
    writeFileSync(`${folder}/MESSAGES.md`, createMessagesPage());
  });

program.command("demo")
  .description(
    "Run a small fleet in this process and demonstrate its features.",
  )
  .action(() => runDemo(getOutput()));

try {
  await program.parseAsync();
} catch (thrown) {
  const error = asServingError(thrown);
  process.stderr.write(`${formatError(error)}\n`);
  const isInternal = error instanceof ServingError &&
    error.code === MessageCode.INTERNAL;
  process.exit(isInternal ? 1 : error.exitCode);
}
