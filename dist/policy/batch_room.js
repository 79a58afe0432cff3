/**
 * How many batch sequences fit on a server. Batch fills what online requests
 * leave below a limit, less the reserve that the operator wants.
 */
import { Emphasis } from "../schema/mod.js";
/** Share of the online peak that all sequences may reach together. */
const PEAK_SHARE = 0.7;
/** Share of a server's target that batch may fill however low the peak is. */
const LEAST_FILL = 0.25;
/**
 * Sequences of all kinds up to which batch fills a server. Where online tail
 * latency weighs more, a step never grows longer than in the recent online
 * bursts, so that the tail stays what online requests make it themselves.
 */
export function getFillLimit(standing, emphasis) {
    const { onlinePeak, sequenceTarget } = standing;
    if (emphasis !== Emphasis.LATENCY)
        return sequenceTarget;
    const least = sequenceTarget * LEAST_FILL;
    const limit = Math.floor(Math.max(onlinePeak * PEAK_SHARE, least));
    return Math.min(sequenceTarget, limit);
}
/** Batch sequences that may be added; negative when some have to leave. */
export function getBatchRoom(standing, weighing) {
    const used = standing.online + standing.ownBatch;
    const room = getFillLimit(standing, weighing.emphasis) - used;
    return room < 0 ? room : Math.max(0, room - weighing.reserve);
}
//# sourceMappingURL=batch_room.js.map