/**
 * Settings: TOML text checked against the schema, which also carries ranges
 * and defaults. Every fault is reported, with its line and key.
 */
import { create, fromJson, getOption, hasOption, } from "@bufbuild/protobuf";
import { parse, TomlError } from "smol-toml";
import { MessageCode, rule as ruleOption } from "../schema/mod.js";
import { formatCode, formatMessage } from "./errors.js";
function getKind(value) {
    return typeof value;
}
function isTable(value) {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}
class Checker {
    faults = [];
    #lines;
    constructor(text) {
        this.#lines = text.split("\n");
    }
    /** Checks a table and returns it with defaults, as JSON of the schema. */
    checkTable(schema, table, path) {
        Object.keys(table)
            .filter((key) => !schema.fields.some((field) => field.name === key))
            .forEach((key) => this.#fault(MessageCode.SETTINGS_UNKNOWN_KEY, path + key, {}));
        const pairs = schema.fields.map((field) => [
            field.name,
            this.#checkField(field, table[field.name], path + field.name),
        ]);
        return Object.fromEntries(pairs.filter(([, value]) => value !== undefined));
    }
    #checkField(field, value, key) {
        const rule = hasOption(field, ruleOption)
            ? getOption(field, ruleOption)
            : undefined;
        if (value === undefined)
            return this.#getAbsent(field, rule, key);
        if (field.fieldKind === "list")
            return this.#checkList(field, value, key);
        if (field.fieldKind === "message") {
            return this.#checkMessage(field.message, value, key);
        }
        return this.#checkScalar(field, value, key);
    }
    #getAbsent(field, rule, key) {
        if (rule?.required) {
            this.#fault(MessageCode.SETTINGS_MISSING_KEY, key, {});
            return undefined;
        }
        if (field.fieldKind === "message" && field.message.fields.length > 0) {
            const optional = field.message.fields.some((inner) => getOption(inner, ruleOption).required);
            return optional
                ? undefined
                : this.checkTable(field.message, {}, `${key}.`);
        }
        if (rule === undefined || field.fieldKind !== "scalar")
            return undefined;
        return parseFallback(rule.fallback);
    }
    #checkList(field, value, key) {
        if (!Array.isArray(value)) {
            this.#fault(MessageCode.SETTINGS_WRONG_TYPE, key, { expected: "a list" });
            return undefined;
        }
        return value.map((item, index) => {
            if (field.fieldKind === "list" && field.listKind === "message") {
                return this.#checkMessage(field.message, item, `${key}[${index}]`);
            }
            return this.#checkKind("string", item, key);
        });
    }
    #checkMessage(schema, value, key) {
        if (isTable(value))
            return this.checkTable(schema, value, `${key}.`);
        this.#fault(MessageCode.SETTINGS_WRONG_TYPE, key, { expected: "a table" });
        return undefined;
    }
    #checkScalar(field, value, key) {
        const fallback = parseFallback(getOption(field, ruleOption).fallback);
        const kind = typeof fallback === "string" ? "string" : typeof fallback;
        const checked = this.#checkKind(kind, value, key);
        if (typeof checked === "number")
            this.#checkRange(field, checked, key);
        return checked;
    }
    #checkKind(kind, value, key) {
        const fits = kind === "number"
            ? typeof value === "number" && Number.isInteger(value)
            : getKind(value) === kind;
        if (fits)
            return value;
        const expected = {
            number: "a whole number",
            string: "a string",
            boolean: "true or false",
        }[kind] ?? kind;
        this.#fault(MessageCode.SETTINGS_WRONG_TYPE, key, { expected });
        return undefined;
    }
    #checkRange(field, value, key) {
        const { min, max } = getOption(field, ruleOption);
        if (min === 0 && max === 0)
            return;
        if (value >= min && value <= max)
            return;
        this.#fault(MessageCode.SETTINGS_OUT_OF_RANGE, key, { min, max, value });
    }
    #fault(code, key, parameters) {
        const text = formatMessage(code, {
            line: this.#findLine(key),
            key,
            ...parameters,
        });
        this.faults.push({ code, text: `${formatCode(code)} ${text}` });
    }
    /** The line that sets a key; the first line when it cannot be told. */
    #findLine(key) {
        const name = key.split(".").at(-1)?.replace(/\[\d+\]$/, "") ?? key;
        const pattern = new RegExp(`^\\s*\\[*\\s*(.*\\.)?"?${escape(name)}"?\\s*(=|\\])`);
        const line = this.#lines.findIndex((one) => pattern.test(one));
        return line < 0 ? 1 : line + 1;
    }
}
function escape(text) {
    return text.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");
}
/** The fallback of a rule as TOML would read it. */
function parseFallback(text) {
    if (text === "true" || text === "false")
        return text === "true";
    return /^\d+$/.test(text) ? Number(text) : text;
}
/** Checks TOML text against a settings message. */
export function parseSettings(schema, text) {
    const checker = new Checker(text);
    try {
        const table = checker.checkTable(schema, parse(text), "");
        if (checker.faults.length > 0)
            return { ok: false, faults: checker.faults };
        const settings = fromJson(schema, table);
        return { ok: true, settings };
    }
    catch (error) {
        if (!(error instanceof TomlError))
            throw error;
        const code = MessageCode.SETTINGS_SYNTAX;
        const reason = error.message.split("\n")[0] ?? "";
        const line = error.line;
        const fault = formatMessage(code, { line, reason });
        return {
            ok: false,
            faults: [{ code, text: `${formatCode(code)} ${fault}` }],
        };
    }
}
/** Settings with every default, changed by `values`; for embedding. */
export function createSettings(schema, values) {
    const checker = new Checker("");
    const table = checker.checkTable(schema, values, "");
    const [fault] = checker.faults;
    if (fault !== undefined)
        throw new Error(fault.text);
    return fromJson(schema, table) ?? create(schema);
}
//# sourceMappingURL=settings.js.map