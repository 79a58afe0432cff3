/**
 * Retries that the fleet may spend: a share of the requests that started, plus
 * a few, so that a failure of many servers does not multiply the load.
 */

/** Retries earned by each first attempt. */
const RETRIES_PER_REQUEST = 0.1;

/** Retries that may be saved up. */
const MAX_SAVED = 20;

/** Counts retries against first attempts. */
export class RetryBudget {
  #saved: number;

  constructor(saved = MAX_SAVED) {
    this.#saved = saved;
  }

  /** A request started. */
  deposit(): void {
    this.#saved = Math.min(MAX_SAVED, this.#saved + RETRIES_PER_REQUEST);
  }

  /** Takes one retry; false when none is left. */
  tryWithdraw(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }

  get balance(): number {
    return this.#saved;
  }
}
