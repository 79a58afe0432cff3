/** What every process takes from outside; tests replace it whole. */
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
  /** Whether messages to an address vanish; for tests of cut networks. */
  readonly isPartitioned?: (address: string) => boolean;
}

/** A context of the machine's own clock and randomness, silent by default. */
export function createProcessContext(
  options: Partial<ProcessContext> & { name: string },
): ProcessContext {
  return {
    clock: options.clock ?? new SystemClock(),
    random: options.random ?? new SystemRandom(),
    log: options.log ?? createSilentLog(),
    isPartitioned: options.isPartitioned,
    metrics: options.metrics ?? new Metrics({ prefix: options.name }),
  };
}
