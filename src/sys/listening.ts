/**
 * Opens ports, also ones that are not free yet: a process may start while the
 * one before it still ends, or before its host has its address.
 */
import type { Clock } from "./clock.ts";
import { getReason, ServingError } from "./errors.ts";
import type { Log } from "./log.ts";
import { MessageCode } from "../schema/mod.ts";

/**
 * Time for which a port is waited for, in milliseconds: longer than a planned
 * stop of the process before.
 */
export const LISTEN_LIMIT_MS = 60_000;

/** Delay before the next attempt, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Wait after which it is logged again for the first time, in milliseconds. */
const FIRST_LOG_INTERVAL_MS = 5_000;

/** Errors of the system that end with the process or state that causes them. */
const PASSING_ERRORS = /\b(EADDRINUSE|EADDRNOTAVAIL|EMFILE|ENFILE)\b/;

/** Options of {@linkcode openPort}. */
export interface OpenPortOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Infinity for a port without which the process can serve. */
  readonly limitMs?: number;
}

/**
 * Calls `open` until it succeeds. An error that does not pass, or that has not
 * passed within the limit, is thrown.
 */
export async function openPort<T>(
  open: () => Promise<T>,
  options: OpenPortOptions,
): Promise<T> {
  const { clock, log, limitMs = LISTEN_LIMIT_MS } = options;
  const startMs = clock.getMonotonicMs();
  let nextLogMs = 0;
  let logIntervalMs = FIRST_LOG_INTERVAL_MS;
  for (;;) {
    try {
      const port = await open();
      if (nextLogMs > 0) {
        log.info("port_opened", {
          waited_ms: Math.round(clock.getMonotonicMs() - startMs),
        });
      }
      return port;
    } catch (error) {
      const waitedMs = clock.getMonotonicMs() - startMs;
      if (!isPassing(error) || waitedMs >= limitMs) throw error;
      if (waitedMs >= nextLogMs) {
        log.warn("port_waits", {
          waited_ms: Math.round(waitedMs),
          reason: getReason(error),
        });
        nextLogMs = waitedMs + logIntervalMs;
        logIntervalMs *= 2;
      }
    }
    await clock.delay(RETRY_DELAY_MS);
  }
}

function isPassing(error: unknown): boolean {
  return error instanceof ServingError &&
    error.code === MessageCode.PORT_BUSY &&
    PASSING_ERRORS.test(error.message);
}
