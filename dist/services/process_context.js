/** What every process takes from outside; tests replace it whole. */
import { SystemClock } from "../sys/clock.js";
import { createSilentLog } from "../sys/log.js";
import { Metrics } from "../sys/metrics.js";
import { SystemRandom } from "../sys/random.js";
/** A context of the machine's own clock and randomness, silent by default. */
export function createProcessContext(options) {
    return {
        clock: options.clock ?? new SystemClock(),
        random: options.random ?? new SystemRandom(),
        log: options.log ?? createSilentLog(),
        isCut: options.isCut,
        metrics: options.metrics ?? new Metrics({ prefix: options.name }),
    };
}
//# sourceMappingURL=process_context.js.map