/**
 * What a gateway has of one organisation's limit: tokens of a store host, or, while
 * it reaches none, an equal share of the limit.
 */
import {
  getSharedBurst,
  LIMIT_WINDOW_S,
  type OrganisationLimit,
  TOKEN_TTL_MS,
} from "./organisation_rate.ts";

const MS_PER_S = 1_000;

/** Time over which the rate of requests is averaged, in milliseconds. */
const DEMAND_MEAN_MS = 2_000;

/** Time of requests for which tokens are asked for in advance, in seconds. */
const EXPECTED_S = 2;

/** Maximum number of tokens that are asked for in advance. */
const MAX_EXPECTED = 64;

/**
 * Requests a second from which on tokens are asked for before they are needed. Below
 * it, they would rarely be used before they expire, and one message per request
 * would be sent all the same.
 */
const MIN_PREFETCH_PER_S = 1;

/** Time of requests below which tokens are asked for in advance, in seconds. */
const PREFETCH_S = 0.75;

/** Time without a request after which the equal share begins anew, in milliseconds. */
const SHARE_IDLE_MS = LIMIT_WINDOW_S * MS_PER_S;

/** Time for which admitted requests are remembered, in milliseconds. */
const ADMITTED_TTL_MS = LIMIT_WINDOW_S * MS_PER_S;

/** Admitted requests, by the store host whose tokens they used; "" for none. */
export interface Admission {
  readonly ms: number;
  /** Store host that has counted the request. */
  granter: string;
  /** Tokens dropped before; a token of an earlier time can't be given back. */
  readonly drops: number;
}

/** Equal share of a limit. */
interface OwnShare {
  tokens: number;
  updatedMs: number;
}

/** Circumstances in which an equal share is used. */
export interface ShareConditions {
  readonly gateways: number;
  /** Source of random numbers from 0 to 1. */
  readonly getFraction: () => number;
}

/** The tokens of one organisation on one gateway. */
export class OrganisationTokens {
  #limit: OrganisationLimit;
  #granter = "";
  #held = 0;
  #returned = 0;
  #grantedMs = -Infinity;
  #demandPerS = 0;
  #demandMs = -Infinity;
  #admissions: Admission[] = [];
  #share: OwnShare | undefined;
  #drops = 0;
  /** Version of the routes that the limit comes from. */
  routesVersion = 0n;
  /** Time before which asking is in vain. */
  refusedUntilMs = -Infinity;
  /** Requests refused since the last reply. */
  refusals = 0;

  constructor(limit: OrganisationLimit) {
    this.#limit = limit;
  }

  get limit(): OrganisationLimit {
    return this.#limit;
  }

  /** Changes whenever tokens are dropped. */
  get epoch(): number {
    return this.#drops;
  }

  /** Tokens of an earlier limit are not used under another one. */
  setLimit({ ratePerS, burst }: OrganisationLimit): void {
    if (ratePerS === this.#limit.ratePerS && burst === this.#limit.burst) {
      return;
    }
    this.#limit = { ratePerS, burst };
    this.#share = undefined;
    this.refusedUntilMs = -Infinity;
    this.drop();
  }

  /** Drops the tokens, for example after a suspension. */
  drop(): void {
    this.#returned += this.#held;
    this.#held = 0;
    this.#drops += 1;
  }

  /** Records a request, for the estimate of those to come. */
  recordDemand(nowMs: number): void {
    this.#demandPerS = this.getDemandPerS(nowMs) + MS_PER_S / DEMAND_MEAN_MS;
    this.#demandMs = nowMs;
  }

  getDemandPerS(nowMs: number): number {
    const elapsedMs = nowMs - this.#demandMs;
    return this.#demandPerS * Math.exp(-elapsedMs / DEMAND_MEAN_MS);
  }

  /** Tokens that are likely to be used soon. */
  getExpected(nowMs: number): number {
    const expected = Math.ceil(this.getDemandPerS(nowMs) * EXPECTED_S);
    return Math.max(0, Math.min(MAX_EXPECTED, expected) - this.#held);
  }

  shouldPrefetch(nowMs: number): boolean {
    const demandPerS = this.getDemandPerS(nowMs);
    return nowMs >= this.refusedUntilMs && demandPerS >= MIN_PREFETCH_PER_S &&
      this.#held < Math.ceil(demandPerS * PREFETCH_S);
  }

  /** Uses a token; undefined if there is none. */
  tryTake(nowMs: number): Admission | undefined {
    this.#dropExpired(nowMs);
    if (this.#held === 0) return undefined;
    this.#held -= 1;
    return this.#recordAdmission(this.#granter, nowMs);
  }

  /** Takes back the token of a request that did not run. */
  giveBack(admission: Admission): void {
    const { granter, drops } = admission;
    this.#admissions = this.#admissions.filter((other) => other !== admission);
    if (drops !== this.#drops) return;
    if (granter === "" && this.#share !== undefined) this.#share.tokens += 1;
    if (granter !== "" && granter === this.#granter) this.#held += 1;
  }

  /** What the store host is to know before it grants more. */
  getState(granter: string, isStandIn: boolean, nowMs: number) {
    this.#dropExpired(nowMs);
    this.#setGranter(granter);
    this.#removeOldAdmissions(nowMs);
    // A stand-in has only the shares of the gateways that ask it, and owes nothing.
    const unpaid = isStandIn
      ? []
      : this.#admissions.filter((admission) => admission.granter !== granter);
    return {
      state: {
        held: this.#held,
        returned: this.#returned,
        unpaidAgeMs: unpaid.map(({ ms }) => Math.round(nowMs - ms)),
      },
      settle: () => {
        unpaid.forEach((admission) => {
          admission.granter = granter;
        });
        this.#returned = 0;
      },
    };
  }

  add(granter: string, tokens: number, nowMs: number): void {
    this.#setGranter(granter);
    this.#held += tokens;
    this.#grantedMs = nowMs;
    this.refusals = 0;
  }

  /** Uses the equal share of this gateway. */
  tryTakeShare(
    conditions: ShareConditions,
    nowMs: number,
  ): Admission | undefined {
    const { gateways, getFraction } = conditions;
    const perMs = this.#limit.ratePerS / gateways / MS_PER_S;
    const burst = getSharedBurst(this.#limit) / gateways;
    const known = this.#share;
    const isKnown = known !== undefined &&
      nowMs - known.updatedMs <= SHARE_IDLE_MS;
    const share = isKnown
      ? known
      : { tokens: getInitialShare(burst, getFraction), updatedMs: nowMs };
    this.#share = share;
    share.tokens = Math.min(
      Math.max(1, burst + 1),
      share.tokens + (nowMs - share.updatedMs) * perMs,
    );
    share.updatedMs = nowMs;
    if (share.tokens < 1) return undefined;
    share.tokens -= 1;
    return this.#recordAdmission("", nowMs);
  }

  /** Time after which the equal share has a token, in milliseconds. */
  getShareWaitMs(gateways: number): number {
    const missing = Math.max(0, 1 - (this.#share?.tokens ?? 0));
    return missing * gateways * MS_PER_S / this.#limit.ratePerS;
  }

  #dropExpired(nowMs: number): void {
    if (nowMs - this.#grantedMs > TOKEN_TTL_MS && this.#held > 0) this.drop();
  }

  /** Tokens are used only as long as the host that granted them is asked. */
  #setGranter(granter: string): void {
    if (granter === this.#granter) return;
    this.drop();
    this.#returned = 0;
    this.#granter = granter;
  }

  #recordAdmission(granter: string, nowMs: number): Admission {
    this.#removeOldAdmissions(nowMs);
    const admission = { ms: nowMs, granter, drops: this.#drops };
    this.#admissions.push(admission);
    return admission;
  }

  #removeOldAdmissions(nowMs: number): void {
    const kept = this.#admissions.findIndex(({ ms }) =>
      nowMs - ms <= ADMITTED_TTL_MS
    );
    if (kept === 0) return;
    this.#admissions = kept < 0 ? [] : this.#admissions.slice(kept);
  }
}

/**
 * Tokens with which an equal share begins. The random part keeps the gateways from
 * sending at the same time, and divides a burst that is smaller than their number.
 */
function getInitialShare(burst: number, getFraction: () => number): number {
  const whole = Math.floor(burst);
  const hasRest = getFraction() < burst - whole;
  return getFraction() + whole + (hasRest ? 1 : 0);
}
