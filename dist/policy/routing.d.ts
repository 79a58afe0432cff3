/** What an entry knows about a backend server, as far as routing needs it. */
export interface ServerStanding {
    readonly name: string;
    readonly dataCentre: string;
    readonly models: readonly string[];
    readonly adapters: readonly string[];
    /** Sequences on the server, batch included, by all entries. */
    readonly sequences: number;
    /** Sequences of batch items, which give way. */
    readonly batch: number;
    /** Sequences at which the time between tokens meets its target. */
    readonly sequenceTarget: number;
    /** Sequences that online requests may fill. */
    readonly sequenceLimit: number;
    /** Failed lately; no request before this time. */
    readonly setAsideUntilMs: number;
    /** One request is trying a server that failed. */
    readonly isProbed: boolean;
    readonly knownSinceMs: number;
}
/** What an online request asks of a server. */
export interface RouteRequest {
    readonly dataCentre: string;
    /** Empty for a plain service. */
    readonly model: string;
    readonly adapter: string;
    /** Stable text of the prompt's prefix; empty for none. */
    readonly affinity: string;
    /** Servers that this request has failed on. */
    readonly excluded: ReadonlySet<string>;
}
/** Where a request goes. */
export type RouteDecision = {
    readonly kind: "server";
    readonly name: string;
    /** Batch sequences that have to leave for the token gap's sake. */
    readonly giveWay: number;
} | {
    readonly kind: "wait";
} | {
    readonly kind: "none";
};
/** Sequences that a server may have by its age. */
export declare function getWarmLimit(knownSinceMs: number, nowMs: number): number;
/** Decides where an online request runs now. */
export declare function chooseServer(servers: readonly ServerStanding[], req: RouteRequest, nowMs: number): RouteDecision;
