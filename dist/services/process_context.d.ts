/** What every process takes from outside; tests replace it whole. */
import { type Clock } from "../sys/clock.ts";
import { type Log } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { type Random } from "../sys/random.ts";
/** Clock, randomness, log and metrics of one process. */
export interface ProcessContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Whether messages to an address vanish; for tests of cut networks. */
    readonly isCut?: (address: string) => boolean;
}
/** A context of the machine's own clock and randomness, silent by default. */
export declare function createProcessContext(options: Partial<ProcessContext> & {
    name: string;
}): ProcessContext;
