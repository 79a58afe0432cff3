/**
 * Follows a quantile of a stream of values without keeping them: each value
 * moves the estimate up or down by a step in proportion to the quantile.
 */
/** Estimate of one quantile. */
export declare class QuantileTracker {
    #private;
    constructor(quantile: number);
    /** The estimate; zero before the first value. */
    get estimate(): number;
    note(value: number): void;
    /** Forgets what was seen, after the thing measured was replaced. */
    reset(): void;
}
