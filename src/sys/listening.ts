/**
 * Opens ports and folders at a start, also ones that are not there yet: a process
 * may start while the one before it still ends, or before its host has its
 * address or its disks.
 */
import { MessageCode } from "../schema/mod.ts";
import type { Clock } from "./clock.ts";
import { getReason, ServingError } from "./errors.ts";
import type { Log } from "./log.ts";

/**
 * Time for which a start waits, in milliseconds: longer than a planned stop of
 * the process before.
 */
export const START_LIMIT_MS = 60_000;

/** Delay before the next attempt, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Wait after which it is logged again for the first time, in milliseconds. */
const FIRST_LOG_INTERVAL_MS = 5_000;

/** Errors of the system that end with the process or state that causes them. */
const PASSING_PORT_ERRORS = /\b(EADDRINUSE|EADDRNOTAVAIL|EMFILE|ENFILE)\b/;

/** Options of a wait. */
export interface StartWaitOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Infinity for a port without which the process can serve. */
  readonly limitMs?: number;
}

/**
 * Calls `open` until it succeeds. An error that does not pass, or that has not
 * passed within the limit, is thrown.
 */
export function openPort<T>(
  open: () => Promise<T>,
  options: StartWaitOptions,
): Promise<T> {
  return waitForOpen("port", open, isPassingPortError, options);
}

/** The same for a folder that cannot be created or is not writable. */
export function openFolder<T>(
  open: () => Promise<T>,
  options: StartWaitOptions,
): Promise<T> {
  return waitForOpen("folder", open, isFolderError, options);
}

async function waitForOpen<T>(
  name: string,
  open: () => Promise<T>,
  isPassing: (error: unknown) => boolean,
  options: StartWaitOptions,
): Promise<T> {
  const { clock, log, limitMs = START_LIMIT_MS } = options;
  const startMs = clock.getMonotonicMs();
  let nextLogMs = 0;
  let logIntervalMs = FIRST_LOG_INTERVAL_MS;
  for (;;) {
    try {
      const opened = await open();
      if (nextLogMs > 0) {
        log.info(`${name}_opened`, {
          waited_ms: Math.round(clock.getMonotonicMs() - startMs),
        });
      }
      return opened;
    } catch (error) {
      const waitedMs = clock.getMonotonicMs() - startMs;
      if (!isPassing(error) || waitedMs >= limitMs) throw error;
      if (waitedMs >= nextLogMs) {
        log.warn(`${name}_waits`, {
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

function isPassingPortError(error: unknown): boolean {
  return error instanceof ServingError &&
    error.code === MessageCode.PORT_BUSY &&
    PASSING_PORT_ERRORS.test(error.message);
}

function isFolderError(error: unknown): boolean {
  return error instanceof ServingError &&
    error.code === MessageCode.FOLDER_UNWRITABLE;
}
