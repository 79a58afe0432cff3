/**
 * Retries that the fleet may spend: a share of the requests that started, plus
 * a few, so that a failure of many servers does not multiply the load.
 */
/** Counts retries against first attempts. */
export declare class RetryBudget {
    #private;
    constructor(saved?: number);
    /** A request started. */
    earn(): void;
    /** Takes one retry; false when none is left. */
    trySpend(): boolean;
    get saved(): number;
}
