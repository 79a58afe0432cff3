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

/**
 * Time whose unused tokens are saved for a burst, in milliseconds. The rest of what
 * a server takes in excess of its limit is left to two store hosts that grant at a
 * time, while processes return from one to the other.
 */
const BURST_MS = 1_750;

/** Tokens that are saved in addition, so that low limits allow two at once. */
const MIN_BURST = 2;

/**
 * Fraction of the tokens saved for bursts that requests of jobs leave to online
 * requests.
 */
const BATCH_RESERVE = 0.5;

/**
 * Lowest rate, in requests a second. A server that takes none at all must still
 * be asked now and then, because only a response says that its limit has ended.
 */
const MIN_RATE_PER_S = 0.05;

const MS_PER_S = 1_000;

/** Options of a {@linkcode RequestPacer}. */
export interface RequestPacerOptions {
  /** Whether tokens are saved for bursts; otherwise there is one at most. */
  readonly savesTokens: boolean;
  /** Tokens at the beginning; 0 by default. */
  readonly initialTokens?: number;
  /** Equal parts of a limit of which the pacer allows one; 1 by default. */
  readonly parts?: number;
}

/** Paces the requests to one server. */
export class RequestPacer {
  readonly #savesTokens: boolean;
  #ratePerMs: number;
  /** Below zero while requests wait for tokens that they have reserved. */
  #tokens: number;
  #updatedMs: number;

  /** Usually begins without tokens: what others have granted before is not known. */
  constructor(
    limitPerS: number,
    nowMs: number,
    { savesTokens, initialTokens = 0, parts = 1 }: RequestPacerOptions = {
      savesTokens: true,
    },
  ) {
    this.#savesTokens = savesTokens;
    this.#tokens = initialTokens;
    this.#ratePerMs = getRatePerMs(limitPerS, parts);
    this.#updatedMs = nowMs;
  }

  /** Changes the rate; what was reserved before stays. */
  setLimit(limitPerS: number, nowMs: number, parts = 1): void {
    this.#refill(nowMs);
    this.#ratePerMs = getRatePerMs(limitPerS, parts);
  }

  /** Takes a token, now or within the wait of the request. */
  request(req: PaceRequest, nowMs: number): PaceDecision {
    this.#refill(nowMs);
    const needed = req.isBatch ? 1 + this.#burst * BATCH_RESERVE : 1;
    const waitMs = Math.max(0, (needed - this.#tokens) / this.#ratePerMs);
    const isGranted = waitMs <= req.maxWaitMs;
    if (isGranted) this.#tokens -= 1;
    return { isGranted, waitMs };
  }

  get #burst(): number {
    return this.#savesTokens ? MIN_BURST + this.#ratePerMs * BURST_MS : 0;
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    this.#tokens = Math.min(
      Math.max(1, this.#burst),
      this.#tokens + elapsedMs * this.#ratePerMs,
    );
    this.#updatedMs = nowMs;
  }
}

function getRatePerMs(limitPerS: number, parts: number): number {
  return Math.max(MIN_RATE_PER_S, limitPerS) / parts / MS_PER_S;
}
