/** Pages made from the schema: every setting and every message. */
import { type DescMessage, getOption } from "@bufbuild/protobuf";
import {
  EntrySettingsSchema,
  FleetSettingsSchema,
  message as messageOption,
  MessageCodeSchema,
  rule as ruleOption,
  ScenarioSchema,
  StateSettingsSchema,
} from "../schema/mod.ts";
import { formatCode } from "../sys/errors.ts";

function formatSettingRows(schema: DescMessage, prefix: string): string[] {
  return schema.fields.flatMap((field) => {
    const rule = getOption(field, ruleOption);
    const key = `${prefix}${field.name}`;
    const nestedSchema = field.fieldKind === "message" ||
        (field.fieldKind === "list" && field.listKind === "message")
      ? field.message
      : undefined;
    const range = rule.max > 0 ? `${rule.min} to ${rule.max}` : "";
    const fallback = rule.required ? "required" : rule.fallback;
    const row = `| \`${key}\` | ${fallback} | ${range} | ${rule.note} |`;
    const separator = field.fieldKind === "list" ? "[]." : ".";
    return nestedSchema === undefined
      ? [row]
      : [row, ...formatSettingRows(nestedSchema, `${key}${separator}`)];
  });
}

function formatTable(title: string, schema: DescMessage): string[] {
  return [
    `## ${title}`,
    "",
    "| key | default | range | meaning |",
    "| --- | --- | --- | --- |",
    ...formatSettingRows(schema, ""),
    "",
  ];
}

/** The page of all settings. */
export function createSettingsPage(): string {
  return [
    "# Settings",
    "",
    "Made from the schema by `papayatally schema-pages`. A `[]` marks a table",
    "that may be repeated.",
    "",
    ...formatTable("papayatally-entry", EntrySettingsSchema),
    ...formatTable("papayatally-state", StateSettingsSchema),
    ...formatTable(
      "gateways, control hosts and store hosts",
      FleetSettingsSchema,
    ),
    ...formatTable("Scenarios of papayatally bench", ScenarioSchema),
  ].join("\n");
}

/** The page of all messages. */
export function createMessagesPage(): string {
  const rows = MessageCodeSchema.values.filter((value) => value.number > 0)
    .map((value) => {
      const { text, httpStatus, exitCode } = getOption(value, messageOption);
      return `| ${formatCode(value.number)} | ${value.name.toLowerCase()} | ` +
        `${httpStatus || ""} | ${exitCode || ""} | ${text} |`;
    });
  return [
    "# Messages",
    "",
    "Made from the schema by `papayatally schema-pages`. A code never changes",
    "its meaning.",
    "",
    "| code | name | HTTP status | exit code | text |",
    "| --- | --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}
