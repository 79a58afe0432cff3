/**
 * Asks for permission to send requests to servers that have named a limit. A
 * store host, the same for all processes, grants it for each server. While no
 * store host replies, each process takes an equal part of the limit.
 */
import { create } from "@bufbuild/protobuf";
import {
  getServerStart,
  type ServerLimits,
  type ServerStartKey,
} from "../membership/mod.ts";
import { type PaceRequest, RequestPacer } from "../policy/mod.ts";
import { RateLimits, ServerStartSchema } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";
import { selectByRendezvous } from "../sys/random.ts";
import { RpcClientPool, type RpcCredentials } from "../sys/rpc.ts";

/** Options of a {@linkcode RateLimitClient}. */
export interface RateLimitClientOptions {
  readonly name: string;
  readonly limits: ServerLimits;
  /** Returns the addresses of the store hosts that grant permissions. */
  readonly getGranters: () => readonly string[];
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** What is kept about one start of a server. */
interface AskedServer {
  /** Time before which asking is in vain, for online requests and for jobs. */
  readonly refusedUntilMs: { online: number; batch: number };
  /** Expiry of a permission that was asked for in advance. */
  prefetchedUntilMs: number;
  isPrefetching: boolean;
  /** Paces requests while no store host replies. */
  ownPacer: RequestPacer | undefined;
}

/** Result of asking for permission. */
interface GrantReply {
  readonly isGranted: boolean;
  readonly waitMs: number;
}

/** Timeout of a request for permission, in milliseconds. */
const ASK_TIMEOUT_MS = 100;

/** Time for which a store host that did not reply is not asked, in milliseconds. */
const GRANTER_BACKOFF_MS = 2_000;

/** Time for which a prefetched permission may be used, in milliseconds. */
const GRANT_TTL_MS = 300;

/** Shortest time between refused requests for permission, in milliseconds. */
const MIN_REFUSED_INTERVAL_MS = 10;

/**
 * The longest, in milliseconds: the limit may be raised, or another store host may
 * reply.
 */
const MAX_REFUSED_INTERVAL_MS = 1_000;

/** Store hosts that are asked for one permission. */
const MAX_ASKED_GRANTERS = 2;

/** Maximum number of starts that are kept; those asked for first are dropped. */
const MAX_ASKED_SERVERS = 1_024;

/** Number of processes among which a limit is divided if none is known. */
const DEFAULT_SENDERS = 10;

/** Asks for and keeps the permissions of one process. */
export class RateLimitClient {
  readonly #options: RateLimitClientOptions;
  readonly #clients: RpcClientPool;
  /** End of the back-off of each store host that did not reply. */
  readonly #granterBackoffs = new Map<string, number>();
  readonly #askedServers = new Map<string, AskedServer>();
  #senderCount = DEFAULT_SENDERS;
  #hasLostGranters = false;

  constructor(options: RateLimitClientOptions) {
    this.#options = options;
    this.#clients = new RpcClientPool(options.credentials);
  }

  close(): void {
    this.#clients.close();
  }

  isLimited(server: ServerStartKey): boolean {
    return this.#options.limits.tryGet(server) !== undefined;
  }

  /** Whether asking for permission may succeed, by the last refusal. */
  mayAsk(server: ServerStartKey, isBatch: boolean): boolean {
    return this.getRefusedMs(server, isBatch) <= 0;
  }

  /** Time until asking for permission may succeed, in milliseconds. */
  getRefusedMs(server: ServerStartKey, isBatch: boolean): number {
    const known = this.#askedServers.get(getServerStart(server));
    const untilMs = known?.refusedUntilMs[getKind(isBatch)] ?? -Infinity;
    return Math.max(0, untilMs - this.#options.clock.getMonotonicMs());
  }

  /**
   * Asks for permission to send one request. If it is granted, resolves when the
   * request may be sent; otherwise resolves with false.
   */
  async acquire(server: ServerStartKey, req: PaceRequest): Promise<boolean> {
    const { clock, metrics } = this.#options;
    const { isGranted, waitMs } = await this.#ask(server, req);
    metrics.count(MetricName.limitedSends, 1, {
      outcome: isGranted ? "granted" : "refused",
    });
    if (isGranted) {
      if (waitMs > 0) await clock.delay(waitMs);
      return true;
    }
    const refusedMs = Math.min(
      MAX_REFUSED_INTERVAL_MS,
      Math.max(MIN_REFUSED_INTERVAL_MS, waitMs - req.maxWaitMs),
    );
    const { refusedUntilMs } = this.#getAskedServer(server);
    refusedUntilMs[getKind(req.isBatch)] = clock.getMonotonicMs() + refusedMs;
    return false;
  }

  /** Whether a permission that was asked for in advance may be used. */
  hasPrefetched(server: ServerStartKey): boolean {
    const known = this.#askedServers.get(getServerStart(server));
    return known !== undefined &&
      known.prefetchedUntilMs > this.#options.clock.getMonotonicMs();
  }

  /** Uses up the permission that was asked for in advance. */
  takePrefetched(server: ServerStartKey): void {
    this.#getAskedServer(server).prefetchedUntilMs = -Infinity;
  }

  /**
   * Asks for permission for a request of a job in advance. Calls `onGrant` once it
   * is granted.
   */
  prefetchBatch(server: ServerStartKey, onGrant: () => void): void {
    const asked = this.#getAskedServer(server);
    if (asked.isPrefetching || !this.mayAsk(server, true)) return;
    asked.isPrefetching = true;
    this.acquire(server, { isBatch: true, maxWaitMs: 0 })
      .then((isGranted) => {
        if (!isGranted) return;
        const nowMs = this.#options.clock.getMonotonicMs();
        asked.prefetchedUntilMs = nowMs + GRANT_TTL_MS;
        onGrant();
      })
      .finally(() => {
        asked.isPrefetching = false;
      });
  }

  #getAskedServer(server: ServerStartKey): AskedServer {
    const key = getServerStart(server);
    const known = this.#askedServers.get(key);
    if (known !== undefined) return known;
    const added: AskedServer = {
      refusedUntilMs: { online: -Infinity, batch: -Infinity },
      prefetchedUntilMs: -Infinity,
      isPrefetching: false,
      ownPacer: undefined,
    };
    this.#askedServers.set(key, added);
    if (this.#askedServers.size > MAX_ASKED_SERVERS) {
      const [oldest] = this.#askedServers.keys();
      this.#askedServers.delete(oldest ?? "");
    }
    return added;
  }

  async #ask(server: ServerStartKey, req: PaceRequest): Promise<GrantReply> {
    const limitPerS = this.#options.limits.tryGet(server);
    if (limitPerS === undefined) return { isGranted: true, waitMs: 0 };
    for (let asked = 0; asked < MAX_ASKED_GRANTERS; asked += 1) {
      const granter = this.#selectGranter(server);
      if (granter === undefined) break;
      const reply = await this.#tryCall(granter, server, limitPerS, req);
      if (reply !== undefined) return reply;
    }
    return this.#askOwnPacer(server, limitPerS, req);
  }

  /** The store host for a server; undefined while none replies. */
  #selectGranter(server: ServerStartKey): string | undefined {
    const { getGranters, clock } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const candidates = getGranters().filter((address) =>
      (this.#granterBackoffs.get(address) ?? -Infinity) <= nowMs
    );
    return selectByRendezvous(getServerStart(server), candidates, {
      getName: (address) => address,
      count: 1,
    })[0];
  }

  async #tryCall(
    granter: string,
    server: ServerStartKey,
    limitPerS: number,
    { maxWaitMs, isBatch }: PaceRequest,
  ): Promise<GrantReply | undefined> {
    const { clock, log, name } = this.#options;
    try {
      const reply = await this.#clients.get(granter).call(
        RateLimits.method.acquire,
        {
          server: create(ServerStartSchema, {
            id: server.id,
            bornMs: server.bornMs,
          }),
          limitPerS,
          maxWaitMs: Math.max(0, Math.floor(maxWaitMs)),
          batch: isBatch,
          sender: name,
        },
        { timeoutMs: ASK_TIMEOUT_MS },
      );
      this.#granterBackoffs.delete(granter);
      this.#senderCount = Math.max(1, reply.senders);
      if (this.#hasLostGranters) {
        this.#hasLostGranters = false;
        log.info("limit_granter_regained", { address: granter });
      }
      return { isGranted: reply.granted, waitMs: reply.waitMs };
    } catch (error) {
      this.#granterBackoffs.set(
        granter,
        clock.getMonotonicMs() + GRANTER_BACKOFF_MS,
      );
      this.#hasLostGranters = true;
      log.warn("limit_granter_lost", {
        address: granter,
        server: server.id,
        reason: getReason(error),
      });
      return undefined;
    }
  }

  /** Takes an equal part of the limit, while no store host replies. */
  #askOwnPacer(
    server: ServerStartKey,
    limitPerS: number,
    req: PaceRequest,
  ): GrantReply {
    const nowMs = this.#options.clock.getMonotonicMs();
    const asked = this.#getAskedServer(server);
    const partPerS = limitPerS / this.#senderCount;
    const pacer = asked.ownPacer ?? new RequestPacer(partPerS, nowMs);
    asked.ownPacer = pacer;
    pacer.setLimit(partPerS, nowMs);
    return pacer.request(req, nowMs);
  }
}

function getKind(isBatch: boolean): "online" | "batch" {
  return isBatch ? "batch" : "online";
}
