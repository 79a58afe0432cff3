/**
 * Paces the requests that one server takes from all processes: a token bucket
 * whose level may become negative, as requests reserve tokens of the near future.
 * Requests of jobs leave tokens for bursts of online requests.
 */

/** A request for permission to send. */
export interface PaceRequest {
  /** Longest time for which the request may wait, in milliseconds. */
  readonly maxWaitMs: number;
  /** Whether the request belongs to a job. */
  readonly isBatch: boolean;
}

/** Reply to a {@linkcode PaceRequest}. */
export interface PaceDecision {
  readonly isGranted: boolean;
  /**
   * Granted: time after which the request may be sent. Otherwise: time after
   * which one may be sent if no other takes the token first. In milliseconds.
   */
  readonly waitMs: number;
}

/** Time whose unused tokens are kept for a burst, in milliseconds. */
const BURST_MS = 2_000;

/** Tokens that are kept in addition, so that low limits allow two at once. */
const MIN_BURST = 2;

/**
 * Fraction of the tokens kept for bursts that requests of jobs leave to online
 * requests.
 */
const BATCH_RESERVE = 0.5;

/**
 * Lowest rate, in requests a second. A server that takes none at all must still
 * be asked now and then, because only a response says that its limit has ended.
 */
const MIN_RATE_PER_S = 0.05;

const MS_PER_S = 1_000;

/** Paces the requests to one server. */
export class RequestPacer {
  #ratePerMs: number;
  /** Below zero while requests wait for tokens that they have reserved. */
  #tokens = 0;
  #updatedMs: number;

  /** Begins without tokens: what others have granted before is not known. */
  constructor(limitPerS: number, nowMs: number) {
    this.#ratePerMs = getRatePerMs(limitPerS);
    this.#updatedMs = nowMs;
  }

  /** Changes the rate; what was reserved before stays. */
  setLimit(limitPerS: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#ratePerMs = getRatePerMs(limitPerS);
  }

  /** Takes a token, now or within the wait of the request. */
  request(req: PaceRequest, nowMs: number): PaceDecision {
    this.#refill(nowMs);
    const needed = req.isBatch ? 1 + this.#capacity * BATCH_RESERVE : 1;
    const waitMs = Math.max(0, (needed - this.#tokens) / this.#ratePerMs);
    const isGranted = waitMs <= req.maxWaitMs;
    if (isGranted) this.#tokens -= 1;
    return { isGranted, waitMs };
  }

  get #capacity(): number {
    return MIN_BURST + this.#ratePerMs * BURST_MS;
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    this.#tokens = Math.min(
      this.#capacity,
      this.#tokens + elapsedMs * this.#ratePerMs,
    );
    this.#updatedMs = nowMs;
  }
}

function getRatePerMs(limitPerS: number): number {
  return Math.max(MIN_RATE_PER_S, limitPerS) / MS_PER_S;
}
