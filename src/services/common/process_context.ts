/** Dependencies of a process on its environment, which tests can replace. */
import type { CallerGuard } from "../../sys/caller_guard.ts";
import { type Clock, SystemClock } from "../../sys/clock.ts";
import { createSilentLog, type Log } from "../../sys/log.ts";
import { Metrics } from "../../sys/metrics.ts";
import { type Random, SystemRandom } from "../../sys/random.ts";

/** Clock, randomness, log and metrics of one process. */
export interface ProcessContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Guards all HTTP ports of the process; without it, each host makes its own. */
  readonly callerGuard?: CallerGuard;
  /** Whether messages to an address are lost; simulates network partitions. */
  readonly isPartitioned?: (address: string) => boolean;
}

/**
 * Creates a context. The defaults are the system's clock and randomness and a
 * silent log.
 */
export function createProcessContext(
  options: Partial<ProcessContext> & { name: string },
): ProcessContext {
  return {
    clock: options.clock ?? new SystemClock(),
    random: options.random ?? new SystemRandom(),
    log: options.log ?? createSilentLog(),
    callerGuard: options.callerGuard,
    isPartitioned: options.isPartitioned,
    metrics: options.metrics ?? new Metrics({ prefix: options.name }),
  };
}
