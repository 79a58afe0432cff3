/**
 * Keeps the limits of organisations on a gateway. Requests use tokens that a store
 * host, the same for all gateways, has granted; it is asked in advance for
 * organisations that send often, and before the request otherwise. While no store
 * host replies, the gateway uses its equal share of each limit.
 */
import {
  type Admission,
  type OrganisationLimit,
  OrganisationTokens,
} from "../policy/mod.ts";
import type { Clock, Timer } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";
import { type Random, selectByRendezvous } from "../sys/random.ts";
import { SuspensionDetector } from "../sys/suspension_detector.ts";
import {
  type ChannelOptions,
  OrganisationChannel,
  type TokenCaller,
  type TokenOutcome,
  type TokenWaiter,
} from "./organisation_rate_channel.ts";

/** What the limits of an organisation depend on. */
export interface LimitedOrganisation {
  readonly name: string;
  readonly ratePerS: number;
  readonly burst: number;
}

/** Decision on one request. */
export interface RateAdmission {
  readonly isAdmitted: boolean;
  /** Time after which a token is expected to be available, in milliseconds. */
  readonly retryAfterMs: number;
  /** Gives the token back; only for a request that was sent to no server. */
  giveBack(): void;
}

/** Options of an {@linkcode OrganisationRateClient}. */
export interface OrganisationRateClientOptions {
  readonly name: string;
  /** Returns the version of the routes from which `admit` gets its limits. */
  readonly getRoutesVersion: () => bigint;
  /** Returns the addresses of the store hosts. */
  readonly getGranters: () => readonly string[];
  readonly caller: TokenCaller;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Number of gateways among which a limit is divided if no store host told it. */
const DEFAULT_GATEWAYS = 100;

/**
 * Interval between requests for tokens in advance, in milliseconds: a third of the
 * time for which the tokens left at that point last.
 */
const PREFETCH_INTERVAL_MS = 250;

/** Longest time over which the returns of refused callers are spread. */
const MAX_SPREAD_MS = 2_000;

/**
 * Shortest and longest time for which requests are refused without asking again, in
 * milliseconds: a token may be free for this gateway earlier than for most callers.
 */
const MIN_REFUSED_MS = 10;
const MAX_REFUSED_MS = 250;

const MS_PER_S = 1_000;

/**
 * Time after the reply of a stand-in for which it may grant the share of this
 * gateway, in milliseconds, and time after which a request is tried again meanwhile.
 */
const SHARE_LENT_MS = 5_000;
const SHARE_LENT_RETRY_MS = 250;

/** Maximum number of organisations; those that sent least recently are dropped. */
const MAX_ORGANISATIONS = 16_384;

const NOTHING_TO_GIVE_BACK = () => {};

const UNLIMITED: RateAdmission = {
  isAdmitted: true,
  retryAfterMs: 0,
  giveBack: NOTHING_TO_GIVE_BACK,
};

/** Admits the requests of organisations on one gateway. */
export class OrganisationRateClient {
  readonly #options: OrganisationRateClientOptions;
  readonly #start: string;
  readonly #organisations = new Map<string, OrganisationTokens>();
  readonly #channels = new Map<string, OrganisationChannel>();
  /** Store hosts that are asked in place of others. */
  readonly #standIns = new Map<
    OrganisationChannel,
    { channel: OrganisationChannel; usedMs: number }
  >();
  readonly #prefetched = new Set<string>();
  readonly #suspensionDetector: SuspensionDetector;
  #prefetchTimer: Timer | undefined;
  #gateways = DEFAULT_GATEWAYS;
  #toldGateways = 0;

  constructor(options: OrganisationRateClientOptions) {
    this.#options = options;
    this.#start = options.random.createId();
    this.#suspensionDetector = new SuspensionDetector(options.clock);
  }

  close(): void {
    this.#prefetchTimer?.cancel();
    this.#options.caller.close();
  }

  /**
   * Opens connections to the store hosts, so that the first requests need not wait
   * for them. Has an effect once for each store host.
   */
  connect(): void {
    this.#options.getGranters()
      .filter((address) => !this.#channels.has(address))
      .forEach((address) => this.#getChannel(address).connect());
  }

  /** Decides on a request; at once unless a store host has to be asked. */
  admit(
    organisation: LimitedOrganisation,
  ): RateAdmission | Promise<RateAdmission> {
    if (!(organisation.ratePerS > 0)) return UNLIMITED;
    const nowMs = this.#options.clock.getMonotonicMs();
    // Tokens of the time before a suspension may have been granted to others since.
    if (this.#suspensionDetector.check()) this.#dropTokens();
    const tokens = this.#getTokens(organisation);
    tokens.recordDemand(nowMs);
    const admission = tokens.tryTake(nowMs);
    if (admission !== undefined) {
      this.#schedulePrefetch(organisation.name, tokens, nowMs);
      return this.#admit(tokens, admission, "held");
    }
    if (nowMs < tokens.refusedUntilMs) {
      const waitMs = tokens.refusedUntilMs - nowMs;
      return this.#refuse(organisation.name, tokens, waitMs);
    }
    return this.#ask(organisation.name, tokens);
  }

  #getTokens({ name, ratePerS, burst }: OrganisationLimit & { name: string }) {
    const known = this.#organisations.get(name);
    const tokens = known ?? new OrganisationTokens({ ratePerS, burst });
    tokens.setLimit({ ratePerS, burst });
    tokens.routesVersion = this.#options.getRoutesVersion();
    this.#organisations.delete(name);
    this.#organisations.set(name, tokens);
    if (this.#organisations.size > MAX_ORGANISATIONS) {
      const [oldest = ""] = this.#organisations.keys();
      this.#organisations.delete(oldest);
    }
    return tokens;
  }

  #dropTokens(): void {
    this.#options.log.info("organisation_tokens_dropped", {
      organisations: this.#organisations.size,
      reason: "the process may have been suspended",
    });
    this.#organisations.forEach((tokens) => tokens.drop());
  }

  async #ask(
    name: string,
    tokens: OrganisationTokens,
  ): Promise<RateAdmission> {
    const [first, ...others] = this.#selectGranters(name)
      .map((address) => this.#getChannel(address));
    if (first === undefined) return this.#useShare(name, tokens, undefined);
    const waiter = { name, tokens, standInFor: "", isDown: false };
    const reply = first.mayCall ? await first.request(waiter) : undefined;
    if (reply !== undefined) {
      this.#setStandIn(first, undefined);
      return this.#decide(name, tokens, reply);
    }
    const standIn = first.isLost
      ? others.find((channel) => channel.mayCall)
      : undefined;
    const otherReply = await standIn?.request({
      ...waiter,
      standInFor: first.address,
      isDown: first.isDown,
    });
    if (standIn === undefined || otherReply === undefined) {
      return this.#useShare(name, tokens, first);
    }
    this.#setStandIn(first, standIn);
    return this.#decide(name, tokens, otherReply);
  }

  /** Records which store host has the share of this gateway in place of another. */
  #setStandIn(
    first: OrganisationChannel,
    channel: OrganisationChannel | undefined,
  ): void {
    const before = this.#standIns.get(first)?.channel;
    if (before !== undefined && before !== channel) before.leave(first.address);
    if (channel === undefined) this.#standIns.delete(first);
    else {
      const usedMs = this.#options.clock.getMonotonicMs();
      this.#standIns.set(first, { channel, usedMs });
    }
  }

  #decide(
    name: string,
    tokens: OrganisationTokens,
    outcome: TokenOutcome,
  ): RateAdmission {
    if (outcome.admission !== undefined) {
      return this.#admit(tokens, outcome.admission, "asked");
    }
    const nowMs = this.#options.clock.getMonotonicMs();
    tokens.refusedUntilMs = nowMs + getRefusedMs(tokens, outcome);
    return this.#refuse(name, tokens, outcome.retryAfterMs);
  }

  /** Decides by the equal share of this gateway. */
  #useShare(
    name: string,
    tokens: OrganisationTokens,
    first: OrganisationChannel | undefined,
  ): RateAdmission {
    const { clock, random } = this.#options;
    const nowMs = clock.getMonotonicMs();
    // A stand-in that replied lately may still grant the share of this gateway.
    const standIn = first === undefined ? undefined : this.#standIns.get(first);
    if (standIn !== undefined && nowMs - standIn.usedMs <= SHARE_LENT_MS) {
      return this.#refuse(name, tokens, SHARE_LENT_RETRY_MS);
    }
    const admission = tokens.tryTakeShare({
      gateways: this.#gateways,
      getFraction: () => random.getFraction(),
    }, nowMs);
    if (admission !== undefined) {
      return this.#admit(tokens, admission, "share");
    }
    const waitMs = tokens.getShareWaitMs(this.#gateways);
    return this.#refuse(name, tokens, Math.min(MAX_SPREAD_MS, waitMs));
  }

  #admit(
    tokens: OrganisationTokens,
    admission: Admission,
    outcome: "held" | "asked" | "share",
  ): RateAdmission {
    this.#options.metrics.count(MetricName.organisationAdmissions, 1, {
      outcome,
    });
    return {
      isAdmitted: true,
      retryAfterMs: 0,
      giveBack: () => tokens.giveBack(admission),
    };
  }

  #refuse(
    organisation: string,
    tokens: OrganisationTokens,
    waitMs: number,
  ): RateAdmission {
    const { clock, log, metrics, random } = this.#options;
    metrics.count(MetricName.organisationAdmissions, 1, { outcome: "refused" });
    tokens.refusals += 1;
    // Callers that are refused at one time must not all return at one time.
    const spreadMs = Math.min(
      MAX_SPREAD_MS,
      tokens.refusals * MS_PER_S / tokens.limit.ratePerS,
    );
    const retryAfterMs = Math.max(0, waitMs) + random.getFraction() * spreadMs;
    log.debug("organisation_refused", {
      organisation,
      rate_per_s: tokens.limit.ratePerS,
      burst: tokens.limit.burst,
      demand_per_s: Math.round(tokens.getDemandPerS(clock.getMonotonicMs())),
      retry_after_ms: Math.round(retryAfterMs),
    });
    return { isAdmitted: false, retryAfterMs, giveBack: NOTHING_TO_GIVE_BACK };
  }

  /** Asks in advance, in one request for all organisations of a store host. */
  #schedulePrefetch(
    name: string,
    tokens: OrganisationTokens,
    nowMs: number,
  ): void {
    if (!tokens.shouldPrefetch(nowMs)) return;
    this.#prefetched.add(name);
    this.#prefetchTimer ??= this.#options.clock.startTimer(
      PREFETCH_INTERVAL_MS,
      () => this.#prefetch(),
    );
  }

  #prefetch(): void {
    this.#prefetchTimer = undefined;
    const names = [...this.#prefetched];
    this.#prefetched.clear();
    const nowMs = this.#options.clock.getMonotonicMs();
    const byGranter = new Map<string, TokenWaiter[]>();
    names.forEach((name) => {
      const tokens = this.#organisations.get(name);
      const [granter] = this.#selectGranters(name);
      if (tokens?.shouldPrefetch(nowMs) !== true || granter === undefined) {
        return;
      }
      const waiters = byGranter.get(granter) ?? [];
      waiters.push({ name, tokens, standInFor: "", isDown: false });
      byGranter.set(granter, waiters);
    });
    byGranter.forEach((waiters, granter) =>
      this.#getChannel(granter).prefetch(waiters)
    );
  }

  /** The store hosts in the order in which they are asked for an organisation. */
  #selectGranters(name: string): string[] {
    const addresses = this.#options.getGranters();
    return selectByRendezvous(name, addresses, {
      getName: (address) => address,
      count: addresses.length,
    });
  }

  #getChannel(address: string): OrganisationChannel {
    const known = this.#channels.get(address);
    if (known !== undefined) return known;
    const { name, caller, clock, log, metrics } = this.#options;
    const options: ChannelOptions = {
      name,
      caller,
      clock,
      log,
      metrics,
      address,
      start: this.#start,
      getGateways: () => this.#toldGateways,
      onReply: (gateways) => {
        this.#toldGateways = gateways;
        this.#gateways = Math.max(1, gateways);
      },
    };
    const added = new OrganisationChannel(options);
    this.#channels.set(address, added);
    return added;
  }
}

/** Time in which the limit allows one request, unless a token is free earlier. */
function getRefusedMs(
  { limit }: OrganisationTokens,
  { retryAfterMs }: TokenOutcome,
): number {
  const perTokenMs = Math.min(retryAfterMs, MS_PER_S / limit.ratePerS);
  return Math.max(MIN_REFUSED_MS, Math.min(MAX_REFUSED_MS, perTokenMs));
}
