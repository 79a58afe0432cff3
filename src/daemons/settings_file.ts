/**
 * The settings file of a daemon. Another program writes it, also while the daemon
 * reads it: what is read may be missing, empty or without its last lines, and
 * text that ends too early may be valid.
 */
import { readFileSync, statSync } from "node:fs";
import {
  type DescMessage,
  type MessageShape,
  toJson,
} from "@bufbuild/protobuf";
import { MessageCode } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import {
  asServingError,
  formatCode,
  formatMessage,
  getReason,
  ServingError,
} from "../sys/errors.ts";
import { parseSettings } from "../sys/settings.ts";

/** Reads a settings file; throws SettingsError if it is invalid. */
export function readSettings<S extends DescMessage>(
  schema: S,
  path: string,
): MessageShape<S> {
  return parseFile(schema, path, readText(path));
}

function readText(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    throw new ServingError(MessageCode.SETTINGS_FILE_MISSING, {
      parameters: { path, reason: getReason(error) },
    });
  }
}

function parseFile<S extends DescMessage>(
  schema: S,
  path: string,
  text: string,
): MessageShape<S> {
  const result = parseSettings(schema, text);
  if (result.ok) return result.settings;
  throw new SettingsError(path, result.faults.map((fault) => fault.text));
}

/** Reports all errors of a settings file, one per line of its message. */
export class SettingsError extends ServingError {
  readonly faults: readonly string[];

  constructor(path: string, faults: readonly string[]) {
    super(MessageCode.SETTINGS_SYNTAX);
    this.faults = faults;
    this.message = faults.map((fault) => `${path}: ${fault}`).join("\n");
  }
}

/** Formats an error for the command line and the log. */
export function formatError(thrown: unknown): string {
  const error = asServingError(thrown);
  if (error instanceof SettingsError) return error.message;
  return `${formatCode(error.code)} ${error.message}`;
}

/** Time without a change after which a file counts as written, in milliseconds. */
const SETTLE_MS = 100;

/** Age from which a file counts as written without a second look, in ms. */
const SETTLED_AGE_MS = 2_000;

/** Time for which a start waits for a whole file, in milliseconds. */
const START_LIMIT_MS = 5_000;

/** Options of a {@linkcode SettingsFile}. */
export interface SettingsFileOptions<S extends DescMessage> {
  readonly schema: S;
  readonly path: string;
  /** Returns the keys that these settings lack. */
  readonly findMissingKeys?: (settings: MessageShape<S>) => string[];
  readonly clock: Clock;
}

/** The settings file of a running daemon. */
export class SettingsFile<S extends DescMessage> {
  readonly #options: SettingsFileOptions<S>;

  constructor(options: SettingsFileOptions<S>) {
    this.#options = options;
  }

  /**
   * Reads the file at the start of the process, waiting for a while if it is not
   * whole. `onWait` is called with the first error.
   */
  async readAtStart(
    onWait: (error: unknown) => void,
  ): Promise<MessageShape<S>> {
    const { clock } = this.#options;
    const endMs = clock.getMonotonicMs() + START_LIMIT_MS;
    let isWaiting = false;
    for (;;) {
      try {
        return await this.read();
      } catch (error) {
        if (clock.getMonotonicMs() >= endMs) throw error;
        if (!isWaiting) onWait(error);
        isWaiting = true;
      }
      await clock.delay(SETTLE_MS);
    }
  }

  /** Reads the file once it does not change; throws if it is invalid then. */
  async read(): Promise<MessageShape<S>> {
    const { schema, path, findMissingKeys = () => [] } = this.#options;
    const settings = parseFile(schema, path, await this.#readSettled());
    const missing = findMissingKeys(settings);
    if (missing.length === 0) return settings;
    const code = MessageCode.SETTINGS_MISSING_KEY;
    throw new SettingsError(
      path,
      missing.map((key) =>
        `${formatCode(code)} ${formatMessage(code, { key })}`
      ),
    );
  }

  /** A text by which two settings can be compared. */
  format(settings: MessageShape<S>): string {
    return JSON.stringify(toJson(this.#options.schema, settings));
  }

  async #readSettled(): Promise<string> {
    const { path, clock } = this.#options;
    let text = readText(path);
    if (clock.getWallMs() - getChangedMs(path) > SETTLED_AGE_MS) return text;
    for (;;) {
      await clock.delay(SETTLE_MS);
      const nextText = readText(path);
      if (nextText === text) return text;
      text = nextText;
    }
  }
}

/** Wall time of the last change; now if the file has just been replaced. */
function getChangedMs(path: string): number {
  return statSync(path, { throwIfNoEntry: false })?.mtimeMs ?? Infinity;
}
