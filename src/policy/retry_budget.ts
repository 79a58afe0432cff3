/**
 * Retry budget: retries are limited to a fraction of the started requests plus
 * a small reserve, so that a failure of many servers does not multiply the
 * load.
 */

/** Retries credited for each first attempt. */
const RETRIES_PER_REQUEST = 0.1;

/** Maximum balance, in retries. */
const MAX_BALANCE = 20;

/** Limits retries relative to first attempts. */
export class RetryBudget {
  #balance: number;

  constructor(balance = MAX_BALANCE) {
    this.#balance = balance;
  }

  /** Credits the budget for the first attempt of a request. */
  deposit(): void {
    this.#balance = Math.min(MAX_BALANCE, this.#balance + RETRIES_PER_REQUEST);
  }

  /** Withdraws one retry; false if the balance is too low. */
  tryWithdraw(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }

  get balance(): number {
    return this.#balance;
  }
}
