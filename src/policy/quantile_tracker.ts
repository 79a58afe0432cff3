/**
 * Streaming estimate of a quantile that does not store the values. Each value
 * moves the estimate up or down by a step weighted by the quantile.
 */

/** Step size as a fraction of the estimate. */
const RELATIVE_STEP = 0.02;

/** Estimate of one quantile. */
export class QuantileTracker {
  readonly #quantile: number;
  #estimate = 0;

  constructor(quantile: number) {
    this.#quantile = quantile;
  }

  /** The estimate; zero before the first value. */
  get estimate(): number {
    return this.#estimate;
  }

  note(value: number): void {
    if (this.#estimate === 0) {
      this.#estimate = value;
      return;
    }
    const step = this.#estimate * RELATIVE_STEP;
    this.#estimate += value > this.#estimate
      ? step * this.#quantile
      : -step * (1 - this.#quantile);
  }

  /** Discards the estimate, for example after the measured server restarted. */
  reset(): void {
    this.#estimate = 0;
  }
}
