/**
 * Streaming estimate of a quantile by stochastic approximation, without storing
 * the values. Each value moves the estimate up by a step times q, or down by a
 * step times 1 - q, so that it settles at the quantile q.
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

  /** Updates the estimate with a value. */
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
