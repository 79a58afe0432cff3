/**
 * Retries that the fleet may spend: a share of the requests that started, plus
 * a few, so that a failure of many servers does not multiply the load.
 */

/** Retries earned by each first attempt. */
const RETRIES_PER_REQUEST = 0.1;

/** Retries that may be saved up. */
const MAX_BALANCE = 20;

/** Counts retries against first attempts. */
export class RetryBudget {
  #balance: number;

  constructor(balance = MAX_BALANCE) {
    this.#balance = balance;
  }

  /** A request started. */
  deposit(): void {
    this.#balance = Math.min(MAX_BALANCE, this.#balance + RETRIES_PER_REQUEST);
  }

  /** Takes one retry; false when none is left. */
  tryWithdraw(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }

  get balance(): number {
    return this.#balance;
  }
}
