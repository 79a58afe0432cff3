/**
 * Divides the requests that organisations may send among the gateways. All gateways
 * ask the same store host for an organisation. Its buckets are in memory: a host that
 * has just started begins with few tokens, and the gateways tell it what they hold
 * and what they have admitted without it.
 */
import { GatewayPresence, HEARD_TTL_MS } from "../membership/mod.ts";
import {
  type BucketShare,
  getCapacity,
  LEASE_TTL_MS,
  OrganisationBucket,
} from "../policy/mod.ts";
import type {
  AcquireTokensReply,
  AcquireTokensRequest,
  OrganisationDemand,
} from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";

/**
 * Time after its last request for which a gateway's share belongs to the stand-in
 * of its store host, in milliseconds, unless it says that it leaves. Most gateways ask
 * again within it.
 */
const CONTRIBUTOR_TTL_MS = 5_000;

/**
 * Time after a gateway found that no process listens at the address of its store
 * host for which that counts, in milliseconds. Gateways try it at least each 250 ms.
 */
const DOWN_TTL_MS = 500;

/** Interval between the removals of buckets that are full, in milliseconds. */
const SWEEP_INTERVAL_MS = 10_000;

/** Time between two log lines about one organisation, in milliseconds. */
const LOG_INTERVAL_MS = 10_000;

const MS_PER_S = 1_000;

interface KnownBucket {
  readonly bucket: OrganisationBucket;
  /** Version of the routes that its limit comes from. */
  routesVersion: bigint;
  /** Losses of gateways that have been deducted. */
  lossCount: number;
  usedMs: number;
  loggedMs: number;
}

/** Gateways that can't reach their store host, and use their shares here. */
class Contributors {
  readonly #askedMs = new Map<string, number>();
  #downMs = -Infinity;

  record(gateway: string, isDown: boolean, nowMs: number): void {
    this.#askedMs.set(gateway, nowMs);
    if (isDown) this.#downMs = nowMs;
  }

  remove(gateway: string): void {
    this.#askedMs.delete(gateway);
  }

  /** Whether the store host of the gateways grants nothing to anyone. */
  isDown(nowMs: number): boolean {
    return nowMs - this.#downMs <= DOWN_TTL_MS;
  }

  /** Number of gateways that asked lately and are still heard from. */
  count(nowMs: number, isHeard: (gateway: string) => boolean): number {
    this.#askedMs.forEach((askedMs, gateway) => {
      const isOld = nowMs - askedMs > CONTRIBUTOR_TTL_MS;
      if (isOld || !isHeard(gateway)) this.#askedMs.delete(gateway);
    });
    return this.#askedMs.size;
  }
}

/** Options of an {@linkcode OrganisationRateService}. */
export interface OrganisationRateServiceOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** What a reply contains. */
export interface TokensReply {
  grants: Pick<
    AcquireTokensReply["grants"][number],
    "tokens" | "retryAfterMs"
  >[];
  gateways: number;
}

/** Serves the gateways' requests for tokens. */
export class OrganisationRateService {
  readonly #options: OrganisationRateServiceOptions;
  readonly #startedMs: number;
  readonly #presence: GatewayPresence;
  readonly #buckets = new Map<string, KnownBucket>();
  /** By the address of the store host that does not reply. */
  readonly #contributors = new Map<string, Contributors>();
  /** Newest request of each gateway. */
  readonly #sequences = new Map<
    string,
    { start: string; sequence: bigint; askedMs: number }
  >();
  #sweptMs = -Infinity;

  constructor(options: OrganisationRateServiceOptions) {
    this.#options = options;
    this.#startedMs = options.clock.getMonotonicMs();
    this.#presence = new GatewayPresence(this.#startedMs);
  }

  /** Number of organisations that have a bucket here. */
  get size(): number {
    return this.#buckets.size;
  }

  /** Records a load report; `isGateway` if its sender is known to be a gateway. */
  recordReport(name: string, isGateway: boolean): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#presence.record(name, nowMs, isGateway);
  }

  acquire(req: AcquireTokensRequest): TokensReply {
    const nowMs = this.#options.clock.getMonotonicMs();
    if (this.#isOutdated(req, nowMs)) {
      throw new Error(`request ${req.sequence} of ${req.gateway} is outdated`);
    }
    this.#sweep(nowMs);
    this.#presence.record(req.gateway, nowMs);
    this.#presence.recordCount(req.gateways, nowMs);
    const { known } = this.#presence.count(nowMs);
    const contributors = this.#getContributors(req.standInFor);
    if (req.leaves) contributors?.remove(req.gateway);
    else contributors?.record(req.gateway, req.isDown, nowMs);
    const share = this.#getShare(contributors, nowMs);
    const grants = req.demands.map((demand) => {
      const entry = this.#getBucket(req, demand, { share, nowMs });
      const { bucket } = entry;
      bucket.setShare(share, nowMs);
      this.#deductLost(entry, known);
      const unpaid = this.#countUnpaid(req.gateway, demand, nowMs);
      bucket.settle(req.gateway, { ...demand, unpaid }, nowMs);
      const grant = bucket.grant(req.gateway, demand, nowMs);
      this.#record(req, demand, { entry, tokens: grant.tokens, nowMs });
      return {
        tokens: grant.tokens,
        retryAfterMs: Math.ceil(grant.retryAfterMs),
      };
    });
    return { grants, gateways: known };
  }

  /**
   * Whether a later request of the gateway has been handled. This one states an
   * earlier number of tokens, and nobody waits for its reply.
   */
  #isOutdated(
    { gateway, gatewayStart: start, sequence }: AcquireTokensRequest,
    nowMs: number,
  ): boolean {
    const last = this.#sequences.get(gateway);
    if (last?.start === start && last.sequence >= sequence) return true;
    this.#sequences.set(gateway, { start, sequence, askedMs: nowMs });
    return false;
  }

  /**
   * Requests that the gateway admitted without this host and that the bucket has not
   * left out: not those before the start of the host, whose bucket saved no tokens of
   * that time, nor those from the share that was deducted for the gateway.
   */
  #countUnpaid(
    gateway: string,
    { unpaidAgeMs, ratePerS }: OrganisationDemand,
    nowMs: number,
  ): number {
    if (unpaidAgeMs.length === 0) return 0;
    const times = unpaidAgeMs.map((ageMs) => nowMs - ageMs)
      .filter((ms) => ms >= this.#startedMs);
    const absence = this.#presence.tryGetAbsence(gateway);
    if (absence === undefined) return times.length;
    const { fromMs, toMs } = absence;
    const absent = times.filter((ms) => ms >= fromMs && ms <= toMs).length;
    const { known } = this.#presence.count(nowMs);
    const deducted = ratePerS * (toMs - fromMs) / MS_PER_S / known;
    return times.length - absent + Math.round(Math.max(0, absent - deducted));
  }

  /** Deducts what gateways used that have not been heard from since. */
  #deductLost(entry: KnownBucket, known: number): void {
    const { lossCount } = this.#presence;
    const lost = lossCount - entry.lossCount;
    entry.lossCount = lossCount;
    if (lost > 0) entry.bucket.deductLost({ lost, known }, HEARD_TTL_MS);
  }

  #getContributors(standInFor: string): Contributors | undefined {
    if (standInFor === "") return undefined;
    const known = this.#contributors.get(standInFor) ?? new Contributors();
    this.#contributors.set(standInFor, known);
    return known;
  }

  #countContributors(contributors: Contributors, nowMs: number): number {
    return contributors.count(
      nowMs,
      (gateway) => this.#presence.isHeard(gateway, nowMs),
    );
  }

  #getShare(
    contributors: Contributors | undefined,
    nowMs: number,
  ): BucketShare {
    const { known, heard } = this.#presence.count(nowMs);
    if (contributors !== undefined) {
      const count = contributors.isDown(nowMs)
        ? heard
        : this.#countContributors(contributors, nowMs);
      const fraction = Math.min(1, count / known);
      return { fraction, isPartial: true, isStandIn: true };
    }
    // An earlier start of this host may have granted tokens that are still held.
    const isPartial = nowMs - this.#startedMs <= LEASE_TTL_MS;
    return { fraction: heard / known, isPartial, isStandIn: false };
  }

  #getBucket(
    { standInFor }: AcquireTokensRequest,
    { organisation, ratePerS, burst, routesVersion }: OrganisationDemand,
    { share, nowMs }: { share: BucketShare; nowMs: number },
  ): KnownBucket {
    const key = `${standInFor}/${organisation}`;
    const limit = { ratePerS, burst };
    const known = this.#buckets.get(key);
    if (known === undefined) {
      const added = {
        bucket: new OrganisationBucket({
          limit,
          share,
          nowMs,
          soleForMs: nowMs - this.#startedMs,
        }),
        routesVersion,
        lossCount: this.#presence.lossCount,
        usedMs: nowMs,
        loggedMs: -Infinity,
      };
      this.#buckets.set(key, added);
      return added;
    }
    known.usedMs = nowMs;
    if (routesVersion > known.routesVersion) {
      known.routesVersion = routesVersion;
      known.bucket.setLimit(limit, nowMs);
    }
    return known;
  }

  #record(
    { gateway, standInFor }: AcquireTokensRequest,
    demand: OrganisationDemand,
    { entry, tokens, nowMs }: {
      entry: KnownBucket;
      tokens: number;
      nowMs: number;
    },
  ): void {
    const { log, metrics } = this.#options;
    const isGranted = tokens >= demand.waiting;
    metrics.count(MetricName.organisationGrants, 1, {
      outcome: isGranted ? "granted" : "refused",
    });
    if (isGranted || nowMs - entry.loggedMs < LOG_INTERVAL_MS) return;
    entry.loggedMs = nowMs;
    const { heard, known } = this.#presence.count(nowMs);
    log.info("organisation_limited", {
      organisation: demand.organisation,
      gateway,
      rate_per_s: demand.ratePerS,
      burst: demand.burst,
      waiting: demand.waiting,
      saved: Math.floor(entry.bucket.saved),
      held: entry.bucket.held,
      unpaid: demand.unpaidAgeMs.length,
      capacity: Math.floor(getCapacity(demand)),
      gateways: known,
      heard,
      stand_in_for: standInFor,
    });
  }

  /** Removes what a new request would find again, so that memory is bounded. */
  #sweep(nowMs: number): void {
    if (nowMs - this.#sweptMs < SWEEP_INTERVAL_MS) return;
    this.#sweptMs = nowMs;
    this.#buckets.forEach(({ bucket, usedMs }, key) => {
      bucket.refill(nowMs);
      const isIdle = nowMs - usedMs > LEASE_TTL_MS;
      const isStandIn = !key.startsWith("/");
      if (isIdle && (isStandIn || bucket.isFull)) this.#buckets.delete(key);
    });
    this.#contributors.forEach((contributors, address) => {
      const count = this.#countContributors(contributors, nowMs);
      if (count === 0) this.#contributors.delete(address);
    });
    this.#sequences.forEach(({ askedMs }, gateway) => {
      if (nowMs - askedMs > LEASE_TTL_MS) this.#sequences.delete(gateway);
    });
  }
}
