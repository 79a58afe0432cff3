/**
 * Settings: TOML text that is validated against the schema, which also defines
 * ranges and defaults. Every fault is reported with its line and key.
 */
import {
  create,
  type DescField,
  type DescMessage,
  fromJson,
  getOption,
  hasOption,
  type JsonValue,
  type MessageShape,
  ScalarType,
} from "@bufbuild/protobuf";
import { parse, TomlError } from "smol-toml";
import { MessageCode, rule as ruleOption } from "../schema/mod.ts";
import { formatCode, formatMessage, type MessageParameters } from "./errors.ts";

/** A fault found in a settings file. */
export interface SettingsFault {
  readonly code: MessageCode;
  readonly text: string;
}

/** Valid settings, or the faults found in them. */
export type SettingsResult<T> =
  | { readonly ok: true; readonly settings: T }
  | { readonly ok: false; readonly faults: SettingsFault[] };

/** Type name of settings that may have a fraction. */
const DECIMAL = "decimal";

type Table = { [key: string]: unknown };

function getTypeName(value: unknown): string {
  return typeof value;
}

function isTable(value: unknown): value is Table {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

class SettingsChecker {
  readonly faults: SettingsFault[] = [];
  readonly #lines: string[];

  constructor(text: string) {
    this.#lines = text.split("\n");
  }

  /** Checks a table and returns it with defaults, as JSON for the schema. */
  checkTable(schema: DescMessage, table: Table, path: string): Table {
    Object.keys(table)
      .filter((key) => !schema.fields.some((field) => field.name === key))
      .forEach((key) =>
        this.#addFault(MessageCode.SETTINGS_UNKNOWN_KEY, path + key, {})
      );
    const pairs = schema.fields.map((field) => [
      field.name,
      this.#checkField(field, table[field.name], path + field.name),
    ]);
    return Object.fromEntries(pairs.filter(([, value]) => value !== undefined));
  }

  #checkField(field: DescField, value: unknown, key: string): unknown {
    const rule = hasOption(field, ruleOption)
      ? getOption(field, ruleOption)
      : undefined;
    if (value === undefined) return this.#getDefault(field, rule, key);
    if (field.fieldKind === "list") return this.#checkList(field, value, key);
    if (field.fieldKind === "message") {
      return this.#checkMessage(field.message, value, key);
    }
    return this.#checkScalar(field, value, key);
  }

  #getDefault(
    field: DescField,
    rule: { required: boolean; fallback: string } | undefined,
    key: string,
  ): unknown {
    if (rule?.required) {
      this.#addFault(MessageCode.SETTINGS_MISSING_KEY, key, {});
      return undefined;
    }
    if (field.fieldKind === "message" && field.message.fields.length > 0) {
      const hasRequiredField = field.message.fields.some((inner) =>
        getOption(inner, ruleOption).required
      );
      return hasRequiredField
        ? undefined
        : this.checkTable(field.message, {}, `${key}.`);
    }
    if (rule === undefined || field.fieldKind !== "scalar") return undefined;
    return parseDefault(rule.fallback);
  }

  #checkList(field: DescField, value: unknown, key: string): unknown {
    if (!Array.isArray(value)) {
      this.#addFault(MessageCode.SETTINGS_WRONG_TYPE, key, {
        expected: "a list",
      });
      return undefined;
    }
    return value.map((item, index) => {
      if (field.fieldKind === "list" && field.listKind === "message") {
        return this.#checkMessage(field.message, item, `${key}[${index}]`);
      }
      return this.#checkType("string", item, key);
    });
  }

  #checkMessage(schema: DescMessage, value: unknown, key: string): unknown {
    if (isTable(value)) return this.checkTable(schema, value, `${key}.`);
    this.#addFault(MessageCode.SETTINGS_WRONG_TYPE, key, {
      expected: "a table",
    });
    return undefined;
  }

  #checkScalar(field: DescField, value: unknown, key: string): unknown {
    const defaultValue = parseDefault(getOption(field, ruleOption).fallback);
    const isDecimal = field.fieldKind === "scalar" &&
      field.scalar === ScalarType.DOUBLE;
    const typeName = isDecimal ? DECIMAL : typeof defaultValue;
    const checked = this.#checkType(typeName, value, key);
    if (typeof checked === "number") this.#checkRange(field, checked, key);
    return checked;
  }

  #checkType(typeName: string, value: unknown, key: string): unknown {
    const isExpectedType = typeName === "number"
      ? typeof value === "number" && Number.isInteger(value)
      : typeName === DECIMAL
      ? typeof value === "number" && Number.isFinite(value)
      : getTypeName(value) === typeName;
    if (isExpectedType) return value;
    const expected = {
      number: "a whole number",
      [DECIMAL]: "a number",
      string: "a string",
      boolean: "true or false",
    }[typeName] ?? typeName;
    this.#addFault(MessageCode.SETTINGS_WRONG_TYPE, key, { expected });
    return undefined;
  }

  #checkRange(field: DescField, value: number, key: string): void {
    const { min, max } = getOption(field, ruleOption);
    if (min === 0 && max === 0) return;
    if (value >= min && value <= max) return;
    this.#addFault(MessageCode.SETTINGS_OUT_OF_RANGE, key, { min, max, value });
  }

  #addFault(
    code: MessageCode,
    key: string,
    parameters: MessageParameters,
  ): void {
    const text = formatMessage(code, {
      line: this.#findLine(key),
      key,
      ...parameters,
    });
    this.faults.push({ code, text: `${formatCode(code)} ${text}` });
  }

  /** Returns the line that sets a key, or 1 if it is not found. */
  #findLine(key: string): number {
    const name = key.split(".").at(-1)?.replace(/\[\d+\]$/, "") ?? key;
    const pattern = new RegExp(
      `^\\s*\\[*\\s*(.*\\.)?"?${escapeRegExp(name)}"?\\s*(=|\\])`,
    );
    const line = this.#lines.findIndex((text) => pattern.test(text));
    return line < 0 ? 1 : line + 1;
  }
}

function escapeRegExp(text: string): string {
  return text.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");
}

/** Parses the fallback of a rule like a TOML value. */
function parseDefault(text: string): string | number | boolean {
  if (text === "true" || text === "false") return text === "true";
  return /^\d+$/.test(text) ? Number(text) : text;
}

/** Parses TOML text and validates it against a settings message. */
export function parseSettings<S extends DescMessage>(
  schema: S,
  text: string,
): SettingsResult<MessageShape<S>> {
  const checker = new SettingsChecker(text);
  try {
    const table = checker.checkTable(schema, parse(text), "");
    if (checker.faults.length > 0) return { ok: false, faults: checker.faults };
    const settings = fromJson(schema, table as JsonValue);
    return { ok: true, settings };
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const code = MessageCode.SETTINGS_SYNTAX;
    const reason = error.message.split("\n")[0] ?? "";
    const line = error.line;
    const message = formatMessage(code, { line, reason });
    return {
      ok: false,
      faults: [{ code, text: `${formatCode(code)} ${message}` }],
    };
  }
}

/** Creates settings from `values` and defaults, for embedding. */
export function createSettings<S extends DescMessage>(
  schema: S,
  values: Table,
): MessageShape<S> {
  const checker = new SettingsChecker("");
  const table = checker.checkTable(schema, values, "");
  const [fault] = checker.faults;
  if (fault !== undefined) throw new Error(fault.text);
  return fromJson(schema, table as JsonValue) ?? create(schema);
}
