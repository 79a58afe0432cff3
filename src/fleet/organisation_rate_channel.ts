/**
 * Requests for tokens from one gateway to one store host. One request is in flight
 * at a time and names all organisations that wait, so that the number of messages is
 * bounded, and the store host knows what the gateway holds.
 */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { Admission, OrganisationTokens } from "../policy/mod.ts";
import {
  type AcquireTokensRequestSchema,
  OrganisationRates,
} from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";
import type { TokensReply } from "./organisation_rate_service.ts";
import { RpcClientPool, type RpcCredentials } from "../sys/rpc.ts";
import { logRejection } from "../sys/unexpected_errors.ts";

/** Request for tokens. */
export type TokensRequest = MessageInitShape<
  typeof AcquireTokensRequestSchema
>;

/** Calls the store hosts that grant tokens. */
export abstract class TokenCaller {
  /** Fails if no reply arrives within `timeoutMs`; a later reply has no effect. */
  abstract acquire(
    address: string,
    req: TokensRequest,
    timeoutMs: number,
  ): Promise<TokensReply>;

  abstract close(): void;
}

/** Calls store hosts over the network. */
export class RpcTokenCaller extends TokenCaller {
  readonly #clients: RpcClientPool;

  constructor(credentials: RpcCredentials) {
    super();
    this.#clients = new RpcClientPool(credentials);
  }

  override acquire(address: string, req: TokensRequest, timeoutMs: number) {
    return this.#clients.get(address)
      .call(OrganisationRates.method.acquire, req, { timeoutMs });
  }

  override close(): void {
    this.#clients.close();
  }
}

/** An organisation for which tokens are asked. */
export interface TokenWaiter {
  readonly name: string;
  readonly tokens: OrganisationTokens;
  /** Address of the store host that should be asked, but is lost; or empty. */
  readonly standInFor: string;
  /** Whether no process listens at that address. */
  readonly isDown: boolean;
}

/** Outcome of asking for one request; it is admitted if it has an admission. */
export interface TokenOutcome {
  readonly admission: Admission | undefined;
  readonly retryAfterMs: number;
}

/** Options of an {@linkcode OrganisationChannel}. */
export interface ChannelOptions {
  readonly address: string;
  readonly name: string;
  /** Random id of this start of the gateway. */
  readonly start: string;
  readonly getGateways: () => number;
  readonly onReply: (gateways: number) => void;
  readonly caller: TokenCaller;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

interface QueuedWaiter extends TokenWaiter {
  /** Undefined if the tokens are asked for in advance. */
  readonly resolve?: (outcome: TokenOutcome | undefined) => void;
}

/** Timeout of a request, in milliseconds: as for permissions of servers. */
const ASK_TIMEOUT_MS = 100;

/** Timeout of the request that opens a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 2_000;

/** Time for which a store host that did not reply is not asked, in milliseconds. */
const BACKOFF_MS = 100;

/**
 * Time without a reply after which another store host is asked too, in milliseconds.
 * That host grants from the equal shares of the gateways that ask it, which each of
 * them might use alone as well.
 */
const LOST_MS = 300;

/** Code of the operating system in the reason of a failed call. */
const CONNECTION_REFUSED = "ECONNREFUSED";

/** Time between attempts at a store host that is lost, in milliseconds. */
const LOST_RETRY_MS = 250;

/** The requests to one store host. */
export class OrganisationChannel {
  readonly #options: ChannelOptions;
  #queue: QueuedWaiter[] = [];
  #isInFlight = false;
  #sequence = 0n;
  #silentSinceMs = Infinity;
  #retryMs = -Infinity;
  #isDown = false;

  constructor(options: ChannelOptions) {
    this.#options = options;
  }

  get address(): string {
    return this.#options.address;
  }

  get mayCall(): boolean {
    return this.#options.clock.getMonotonicMs() >= this.#retryMs;
  }

  /** Whether the last request has got no reply. */
  get isSilent(): boolean {
    return this.#silentSinceMs < Infinity;
  }

  /** Whether no process listened at the address at the last request. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /** Whether the store host has been silent for so long that others are asked. */
  get isLost(): boolean {
    const nowMs = this.#options.clock.getMonotonicMs();
    return this.#isDown || nowMs - this.#silentSinceMs >= LOST_MS;
  }

  /** Asks for a token; resolves with undefined if there is no reply. */
  request(waiter: TokenWaiter): Promise<TokenOutcome | undefined> {
    return new Promise((resolve) => {
      this.#queue.push({ ...waiter, resolve });
      this.#flush();
    });
  }

  /** Opens the connection, which takes longer than a request may wait. */
  connect(): void {
    this.#sequence += 1n;
    const { caller, name, start, onReply } = this.#options;
    caller.acquire(this.address, {
      gateway: name,
      gatewayStart: start,
      sequence: this.#sequence,
    }, CONNECT_TIMEOUT_MS)
      .then(({ gateways }) => onReply(gateways))
      .catch(() => {});
  }

  /** Tells a stand-in that it is not asked any more; losing this has little effect. */
  leave(standInFor: string): void {
    this.#sequence += 1n;
    const { caller, name, start } = this.#options;
    caller.acquire(this.address, {
      gateway: name,
      gatewayStart: start,
      sequence: this.#sequence,
      standInFor,
      leaves: true,
    }, ASK_TIMEOUT_MS).catch(() => {});
  }

  /** Asks for tokens of requests to come. */
  prefetch(waiters: readonly TokenWaiter[]): void {
    if (!this.mayCall) return;
    this.#queue.push(...waiters);
    this.#flush();
  }

  #flush(): void {
    if (this.#isInFlight || this.#queue.length === 0) return;
    const [{ standInFor, isDown } = { standInFor: "", isDown: false }] =
      this.#queue;
    const sent = this.#queue.filter((waiter) =>
      waiter.standInFor === standInFor
    );
    this.#queue = this.#queue.filter((waiter) =>
      waiter.standInFor !== standInFor
    );
    this.#isInFlight = true;
    const called = this.#call({ standInFor, isDown }, sent).finally(() => {
      this.#isInFlight = false;
      this.#flush();
    });
    logRejection(called, this.#options.log, "tokens of organisations");
  }

  async #call(
    { standInFor, isDown }: Pick<TokenWaiter, "standInFor" | "isDown">,
    waiters: readonly QueuedWaiter[],
  ): Promise<void> {
    const { address, caller, clock, metrics } = this.#options;
    const askedMs = clock.getMonotonicMs();
    this.#sequence += 1n;
    const demands = groupByName(waiters).map(({ tokens, name, waiting }) => {
      const isStandIn = standInFor !== "";
      const statement = tokens.getState(address, isStandIn, askedMs);
      const demand = {
        organisation: name,
        ratePerS: tokens.limit.ratePerS,
        burst: tokens.limit.burst,
        routesVersion: tokens.routesVersion,
        ...statement.state,
        waiting: waiting.length,
        expected: tokens.getExpected(askedMs),
      };
      const { epoch } = tokens;
      return { tokens, waiting, demand, epoch, settle: statement.settle };
    });
    let reply: TokensReply;
    try {
      reply = await caller.acquire(address, {
        gateway: this.#options.name,
        gatewayStart: this.#options.start,
        sequence: this.#sequence,
        gateways: this.#options.getGateways(),
        standInFor,
        isDown,
        demands: demands.map(({ demand }) => demand),
      }, ASK_TIMEOUT_MS);
    } catch (error) {
      this.#recordSilence(askedMs, getReason(error));
      metrics.count(MetricName.organisationCalls, 1, { outcome: "silent" });
      waiters.forEach(({ resolve }) => resolve?.(undefined));
      return;
    }
    metrics.count(MetricName.organisationCalls, 1, { outcome: "replied" });
    this.#recordReply();
    this.#options.onReply(reply.gateways);
    const nowMs = clock.getMonotonicMs();
    demands.forEach(({ tokens, waiting, epoch, settle }, index) => {
      const grant = reply.grants[index];
      settle();
      if (epoch !== tokens.epoch) {
        // The grant belongs to another limit, or to the time before a suspension.
        waiting.forEach(({ resolve }) => resolve?.(undefined));
        return;
      }
      tokens.add(address, grant?.tokens ?? 0, nowMs);
      waiting.forEach(({ resolve }) =>
        resolve?.({
          admission: tokens.tryTake(nowMs),
          retryAfterMs: grant?.retryAfterMs ?? 0,
        })
      );
    });
  }

  #recordReply(): void {
    const { address, log } = this.#options;
    if (this.isLost) log.info("organisation_granter_regained", { address });
    this.#silentSinceMs = Infinity;
    this.#isDown = false;
    this.#retryMs = -Infinity;
  }

  #recordSilence(askedMs: number, reason: string): void {
    const { address, clock, log } = this.#options;
    const wasLost = this.isLost;
    const nowMs = clock.getMonotonicMs();
    this.#silentSinceMs = Math.min(this.#silentSinceMs, askedMs);
    this.#isDown = reason.includes(CONNECTION_REFUSED);
    this.#retryMs = nowMs + (this.isLost ? LOST_RETRY_MS : BACKOFF_MS);
    if (!wasLost && this.isLost) {
      log.warn("organisation_granter_lost", { address, reason });
    }
  }
}

/** Waiters by organisation; `waiting` are those that want a token now. */
function groupByName(waiters: readonly QueuedWaiter[]) {
  const groups = new Map<
    string,
    { name: string; tokens: OrganisationTokens; waiting: QueuedWaiter[] }
  >();
  waiters.forEach((waiter) => {
    const { name, tokens, resolve } = waiter;
    const group = groups.get(name) ?? { name, tokens, waiting: [] };
    groups.set(name, group);
    if (resolve !== undefined) group.waiting.push(waiter);
  });
  return [...groups.values()];
}
