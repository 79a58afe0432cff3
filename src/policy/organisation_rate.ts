/**
 * Divides the requests that one organisation may send among the gateways. A bucket
 * grants tokens, and counts those that gateways still hold: saved and held tokens
 * together never exceed its capacity. The requests of any period are therefore at
 * most the capacity and what the rate adds in that period, however late messages
 * are and whatever the gateways' clocks do.
 */

/** Requests that an organisation may send; a rate of 0 means no limit. */
export interface OrganisationLimit {
  readonly ratePerS: number;
  readonly burst: number;
}

/** Period over which the limit is checked, in seconds. */
export const LIMIT_WINDOW_S = 5;

/**
 * Tokens above the burst, and fraction of a window's requests: part of the tolerance
 * of 20 requests and 10%. Gateways hold these tokens for requests to come.
 */
const HELD_TOKENS = 8;
const HELD_FRACTION = 0.04;

/**
 * Tokens of a new bucket on a host that does not know what was granted before. They
 * are taken from the rest of the tolerance.
 */
const FIRST_TOKENS = 3;

/**
 * Tokens and fraction of a window's requests that gateways without their store host
 * get besides the rate: once for all equal shares, and once for all stand-ins. Another
 * host may have granted the whole burst just before.
 */
const SHARED_TOKENS = 3;
const SHARED_FRACTION = 0.015;

/** Longest time for which a gateway holds a token, in milliseconds. */
export const TOKEN_TTL_MS = 30_000;

/**
 * Time after the last request of a gateway for which the tokens that it holds are
 * counted, in milliseconds. A gateway that is frozen for 6 s may use tokens that much
 * later, as its clock may have stopped.
 */
export const LEASE_TTL_MS = TOKEN_TTL_MS + 8_000;

/** Latest time after which a refused gateway asks again, in milliseconds. */
const MAX_RETRY_MS = 2_000;

const MS_PER_S = 1_000;

/** Part of a limit that a bucket divides. */
export interface BucketShare {
  /** Gateways whose requests the bucket grants, of all. */
  readonly fraction: number;
  /**
   * Whether other hosts may have granted tokens which gateways still hold, so that
   * the bucket saves none for expected requests.
   */
  readonly isPartial: boolean;
  /** Whether the gateways bring their shares, as their store host doesn't reply. */
  readonly isStandIn: boolean;
}

/** What a gateway states before it gets tokens. */
export interface LeaseState {
  readonly held: number;
  readonly returned: number;
  readonly unpaid: number;
}

/** Tokens that a gateway asks for. */
export interface TokenDemand {
  readonly waiting: number;
  readonly expected: number;
}

/** Reply to a {@linkcode TokenDemand}. */
export interface TokenGrant {
  readonly tokens: number;
  readonly retryAfterMs: number;
}

interface Lease {
  held: number;
  heardMs: number;
}

/** Options of an {@linkcode OrganisationBucket}. */
export interface OrganisationBucketOptions {
  readonly limit: OrganisationLimit;
  readonly share: BucketShare;
  readonly nowMs: number;
  /** Time for which this host is known to be the only one that grants. */
  readonly soleForMs: number;
}

/** Tokens that all gateways together may save and hold. */
export function getCapacity(limit: OrganisationLimit): number {
  return limit.burst + HELD_TOKENS + HELD_FRACTION * getWindowCount(limit);
}

/** Tokens besides the rate that all gateways without their store host share. */
export function getSharedBurst(limit: OrganisationLimit): number {
  return SHARED_TOKENS + SHARED_FRACTION * getWindowCount(limit);
}

function getWindowCount({ ratePerS, burst }: OrganisationLimit): number {
  return ratePerS * LIMIT_WINDOW_S + burst;
}

/** The tokens of one organisation. */
export class OrganisationBucket {
  readonly #leases = new Map<string, Lease>();
  #limit: OrganisationLimit;
  #share: BucketShare;
  #saved: number;
  #updatedMs: number;
  /** Time until which refused gateways have been told to wait. */
  #promisedMs = -Infinity;

  constructor(
    { limit, share, nowMs, soleForMs }: OrganisationBucketOptions,
  ) {
    this.#limit = limit;
    this.#share = share;
    this.#updatedMs = nowMs;
    const first = share.isStandIn
      ? getSharedBurst(limit)
      : FIRST_TOKENS + limit.ratePerS * soleForMs / MS_PER_S;
    this.#saved = Math.min(this.#capacity, first * share.fraction);
  }

  /** Tokens that gateways hold, as far as this host knows. */
  get held(): number {
    return [...this.#leases.values()].reduce((sum, { held }) => sum + held, 0);
  }

  get saved(): number {
    return this.#saved;
  }

  /** Whether a new bucket would have the same tokens. */
  get isFull(): boolean {
    return this.#leases.size === 0 && this.#saved >= this.#capacity;
  }

  setLimit(limit: OrganisationLimit, nowMs: number): void {
    this.refill(nowMs);
    this.#limit = limit;
    this.#saved = Math.min(this.#saved, this.#room);
  }

  /** Changes the share; gateways that join a stand-in bring a part of the burst. */
  setShare(share: BucketShare, nowMs: number): void {
    this.refill(nowMs);
    const added = share.isStandIn
      ? Math.max(0, share.fraction - this.#share.fraction)
      : 0;
    this.#share = share;
    this.#saved = Math.min(
      this.#saved + added * getSharedBurst(this.#limit),
      this.#room,
    );
  }

  /**
   * Takes the tokens that a gateway may have used without the bucket before it was
   * found to be absent, `ms` after it was last heard from.
   */
  deductLost(gateways: { lost: number; known: number }, ms: number): void {
    const used = this.#limit.ratePerS * ms / MS_PER_S +
      2 * getSharedBurst(this.#limit);
    const part = gateways.lost / gateways.known;
    this.#saved = Math.max(
      -getCapacity(this.#limit),
      this.#saved - used * part,
    );
  }

  /** Records what a gateway holds, before it gets more. */
  settle(gateway: string, state: LeaseState, nowMs: number): void {
    this.refill(nowMs);
    const { held: heldBefore = 0 } = this.#leases.get(gateway) ?? {};
    const returned = Math.min(
      state.returned,
      Math.max(0, heldBefore - state.held),
    );
    this.#leases.delete(gateway);
    this.#leases.set(gateway, { held: state.held, heardMs: nowMs });
    this.#saved = Math.max(
      -getCapacity(this.#limit),
      Math.min(this.#room, this.#saved + returned) - state.unpaid,
    );
  }

  /** Grants tokens to a gateway that has settled. */
  grant(gateway: string, demand: TokenDemand, nowMs: number): TokenGrant {
    this.refill(nowMs);
    const available = Math.max(0, Math.floor(this.#saved));
    const isEnough = available >= demand.waiting;
    const tokens = isEnough
      ? demand.waiting + this.#getExpectedCount(demand)
      : available;
    this.#saved -= tokens;
    const lease = this.#leases.get(gateway);
    // Requests that wait use their tokens on arrival.
    if (lease !== undefined && isEnough) lease.held += tokens - demand.waiting;
    return {
      tokens,
      retryAfterMs: isEnough ? 0 : this.#promise(nowMs),
    };
  }

  /** Adds what the rate allows, and forgets gateways that have gone. */
  refill(nowMs: number): void {
    this.#leases.forEach(({ heardMs }, gateway) => {
      if (nowMs - heardMs > LEASE_TTL_MS) this.#leases.delete(gateway);
    });
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    this.#updatedMs = nowMs;
    const added = elapsedMs * this.#ratePerMs;
    const room = Math.max(this.#saved, this.#room);
    this.#saved = Math.min(room, this.#saved + added);
  }

  get #ratePerMs(): number {
    return this.#limit.ratePerS * this.#share.fraction / MS_PER_S;
  }

  get #capacity(): number {
    const { fraction, isPartial } = this.#share;
    const whole = isPartial
      ? this.#limit.burst + FIRST_TOKENS
      : getCapacity(this.#limit);
    return whole * fraction;
  }

  /** Tokens that may be saved in addition to those that gateways hold. */
  get #room(): number {
    return this.#capacity - this.held;
  }

  /**
   * Tokens for expected requests: of those beyond the burst, which stays available
   * to the gateway that needs it. The rest is left to the gateways that ask next.
   */
  #getExpectedCount(demand: TokenDemand): number {
    const beyondBurst = this.#saved - demand.waiting - this.#limit.burst;
    return Math.max(0, Math.min(demand.expected, Math.floor(beyondBurst / 2)));
  }

  /** Time after which the next token is free that was promised to no other. */
  #promise(nowMs: number): number {
    const perToken = 1 / this.#ratePerMs;
    const nextMs = nowMs + (1 - this.#saved) * perToken;
    this.#promisedMs = Math.min(
      nowMs + MAX_RETRY_MS,
      Math.max(nextMs, this.#promisedMs + perToken),
    );
    return this.#promisedMs - nowMs;
  }
}
