/**
 * Follows a quantile of a stream of values without keeping them: each value
 * moves the estimate up or down by a step in proportion to the quantile.
 */
/** Step relative to the estimate. */
const RELATIVE_STEP = 0.02;
/** Estimate of one quantile. */
export class QuantileTracker {
    #quantile;
    #estimate = 0;
    constructor(quantile) {
        this.#quantile = quantile;
    }
    /** The estimate; zero before the first value. */
    get estimate() {
        return this.#estimate;
    }
    note(value) {
        if (this.#estimate === 0) {
            this.#estimate = value;
            return;
        }
        const step = this.#estimate * RELATIVE_STEP;
        this.#estimate += value > this.#estimate
            ? step * this.#quantile
            : -step * (1 - this.#quantile);
    }
    /** Forgets what was seen, after the thing measured was replaced. */
    reset() {
        this.#estimate = 0;
    }
}
//# sourceMappingURL=quantile_tracker.js.map