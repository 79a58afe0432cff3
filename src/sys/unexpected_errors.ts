/**
 * Errors that no caller waits for. docs/design/unexpected_errors.md says which of
 * them end a process.
 */
import type { Clock } from "./clock.ts";
import { getReason } from "./errors.ts";
import type { Log, LogFields } from "./log.ts";
import { MetricName, type Metrics } from "./metrics.ts";

/** Maximum number of lines of a stack in the log. */
const MAX_STACK_LINES = 8;

/** Time in which {@linkcode MAX_ERRORS} end the process, in milliseconds. */
const ERROR_WINDOW_MS = 10_000;

/**
 * Number of unexpected errors at process level after which the process ends.
 * Requests alone cause fewer; a loop without a pause causes more.
 */
const MAX_ERRORS = 2_000;

/** Number of errors that are logged in the same time; the rest are counted. */
const MAX_LOGGED_ERRORS = 50;

/** Where an error at process level comes from. */
export type ErrorOrigin = "exception" | "rejection";

/** Returns the fields of a log event that describe an error. */
export function getErrorFields(error: unknown): LogFields {
  const stack = error instanceof Error ? error.stack ?? "" : "";
  const lines = stack.split("\n").slice(1, 1 + MAX_STACK_LINES);
  return {
    reason: getReason(error),
    stack: lines.map((line) => line.trim()).join(" | "),
  };
}

/** Logs the rejection of a promise that no caller waits for. */
export function logRejection(
  promise: Promise<unknown>,
  log: Log,
  task: string,
): void {
  promise.catch((error) =>
    log.error("task_failed", { task, ...getErrorFields(error) })
  );
}

/** Handles the errors that reach the process level. */
export class UnexpectedErrors {
  readonly #log: Log;
  readonly #metrics: Metrics;
  readonly #clock: Clock;
  readonly #onTooMany: (error: Error) => void;
  #windowStartMs = -Infinity;
  #count = 0;

  constructor(options: {
    log: Log;
    metrics: Metrics;
    clock: Clock;
    /** Called when a restart is the only way left. */
    onTooMany: (error: Error) => void;
  }) {
    this.#log = options.log;
    this.#metrics = options.metrics;
    this.#clock = options.clock;
    this.#onTooMany = options.onTooMany;
  }

  handle(error: unknown, origin: ErrorOrigin): void {
    this.#metrics.count(MetricName.unexpectedErrors, 1, { origin });
    const nowMs = this.#clock.getMonotonicMs();
    if (nowMs - this.#windowStartMs > ERROR_WINDOW_MS) {
      this.#windowStartMs = nowMs;
      this.#count = 0;
    }
    this.#count += 1;
    if (this.#count <= MAX_LOGGED_ERRORS) {
      this.#log.error("unexpected_error", { origin, ...getErrorFields(error) });
    }
    if (this.#count <= MAX_ERRORS) return;
    this.#onTooMany(
      new Error(
        `${this.#count} unexpected errors in ${ERROR_WINDOW_MS} ms, the last: ` +
          getReason(error),
      ),
    );
  }
}
