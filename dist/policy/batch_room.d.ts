/**
 * How many batch sequences fit on a server. Batch fills what online requests
 * leave below a limit, less the reserve that the operator wants.
 */
import { Emphasis } from "../schema/mod.ts";
/** What the room for batch depends on. */
export interface BatchStanding {
    /** Online sequences on the server, by all entries. */
    readonly online: number;
    /** Highest number of online sequences over the last seconds. */
    readonly onlinePeak: number;
    readonly ownBatch: number;
    readonly sequenceTarget: number;
}
/** How batch and online are weighed against each other. */
export interface BatchWeighing {
    readonly emphasis: Emphasis;
    /** Sequences that the operator wants kept free in any case. */
    readonly reserve: number;
}
/**
 * Sequences of all kinds up to which batch fills a server. Where online tail
 * latency weighs more, a step never grows longer than in the recent online
 * bursts, so that the tail stays what online requests make it themselves.
 */
export declare function getFillLimit(standing: BatchStanding, emphasis: Emphasis): number;
/** Batch sequences that may be added; negative when some have to leave. */
export declare function getBatchRoom(standing: BatchStanding, weighing: BatchWeighing): number;
