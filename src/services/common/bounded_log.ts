/** Bounds how often an event is logged, so that a flood of requests does not. */
import type { Clock } from "../../sys/clock.ts";
import type { Log, LogFields } from "../../sys/log.ts";

/** Interval of the bound, in milliseconds. */
const INTERVAL_MS = 1_000;

/**
 * Lines of one event and cause in an interval: about 10 KB a second, more than an
 * ordinary load refuses.
 */
const MAX_LINES = 50;

/** Logs events at level info, each with a cause from a bounded set. */
export class BoundedLog {
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #counts = new Map<string, number>();

  constructor({ clock, log }: { clock: Clock; log: Log }) {
    this.#clock = clock;
    this.#log = log;
  }

  /** Logs an event, or counts it for one line at the end of the interval. */
  info(event: string, cause: string, fields: LogFields): void {
    const key = `${event}/${cause}`;
    const count = this.#counts.get(key) ?? 0;
    this.#counts.set(key, count + 1);
    if (count < MAX_LINES) this.#log.info(event, fields);
    if (count > 0) return;
    this.#clock.startTimer(INTERVAL_MS, () => {
      const dropped = (this.#counts.get(key) ?? 0) - MAX_LINES;
      this.#counts.delete(key);
      if (dropped <= 0) return;
      this.#log.info(`${event}_not_logged`, { cause, count: dropped });
    });
  }
}
