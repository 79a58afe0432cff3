/** Counts and bounds open requests by caller. */
export declare class CallerLimits {
    #private;
    constructor(limit: number);
    /** Open requests of all callers. */
    get openCount(): number;
    /** Counts a request; throws TOO_MANY_STREAMS (not run) over the limit. */
    admit(caller: string): void;
    /** A request that was admitted has ended. */
    leave(caller: string): void;
}
