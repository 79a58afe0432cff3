/**
 * Asks for permission to send requests to servers that have named a limit. A
 * store host, the same for all processes, grants it for each server. While no
 * store host replies, each process takes an equal part of the limit.
 */
import { create } from "@bufbuild/protobuf";
import { getServerStart, } from "../membership/mod.js";
import { RequestPacer } from "../policy/mod.js";
import { RateLimits, ServerStartSchema, } from "../schema/mod.js";
import { getReason } from "../sys/errors.js";
import { MetricName } from "../sys/metrics.js";
import { selectByRendezvous } from "../sys/random.js";
import { RpcClientPool } from "../sys/rpc.js";
import { logRejection } from "../sys/unexpected_errors.js";
/** Calls the store hosts that grant permissions. */
export class GranterCaller {
}
/** Calls store hosts over the network. */
export class RpcGranterCaller extends GranterCaller {
    #clients;
    constructor(credentials) {
        super();
        this.#clients = new RpcClientPool(credentials);
    }
    acquire(address, req, timeoutMs) {
        return this.#clients.get(address)
            .call(RateLimits.method.acquire, req, { timeoutMs });
    }
    close() {
        this.#clients.close();
    }
}
/** Timeout of a request for permission, in milliseconds. */
const ASK_TIMEOUT_MS = 100;
/** Time for which a store host that did not reply is not asked, in milliseconds. */
const GRANTER_BACKOFF_MS = 100;
/**
 * Time without a reply after which another store host is asked, in milliseconds.
 * A store host that is only slow goes on granting, so that two would grant at a
 * time.
 */
const GRANTER_LOST_MS = 1_000;
/** Time between attempts at a store host that is lost, in milliseconds. */
const LOST_GRANTER_RETRY_MS = 250;
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
/**
 * Fraction of a limit that all processes take together while no store host replies:
 * they begin at random times, so that more of them may send at a time.
 */
const OWN_FRACTION = 0.5;
/**
 * Time after the last request for which the pace of this process alone is kept, in
 * milliseconds.
 */
const OWN_PACER_TTL_MS = 5_000;
/** Maximum number of starts that are kept; those asked for first are dropped. */
const MAX_ASKED_SERVERS = 1_024;
/** Number of processes among which a limit is divided if none is known. */
const DEFAULT_SENDERS = 10;
/** Asks for and keeps the permissions of one process. */
export class RateLimitClient {
    #options;
    /** By address. */
    #silentGranters = new Map();
    #askedServers = new Map();
    #senderCount = DEFAULT_SENDERS;
    constructor(options) {
        this.#options = options;
    }
    close() {
        this.#options.caller.close();
    }
    isLimited(server) {
        return this.#options.limits.tryGet(server) !== undefined;
    }
    /** Whether asking for permission may succeed, by the last refusal. */
    mayAsk(server, isBatch) {
        return this.getRefusedMs(server, isBatch) <= 0;
    }
    /** Time until asking for permission may succeed, in milliseconds. */
    getRefusedMs(server, isBatch) {
        const known = this.#askedServers.get(getServerStart(server));
        const untilMs = known?.refusedUntilMs[getKind(isBatch)] ?? -Infinity;
        return Math.max(0, untilMs - this.#options.clock.getMonotonicMs());
    }
    /**
     * Asks for permission to send one request. If it is granted, resolves when the
     * request may be sent; otherwise resolves with false.
     */
    async acquire(server, req) {
        const { clock, metrics } = this.#options;
        const { isGranted, waitMs } = await this.#ask(server, req);
        metrics.count(MetricName.limitedSends, 1, {
            outcome: isGranted ? "granted" : "refused",
        });
        if (isGranted) {
            if (waitMs > 0)
                await clock.delay(waitMs);
            return true;
        }
        const refusedMs = Math.min(MAX_REFUSED_INTERVAL_MS, Math.max(MIN_REFUSED_INTERVAL_MS, waitMs - req.maxWaitMs));
        const { refusedUntilMs } = this.#getAskedServer(server);
        refusedUntilMs[getKind(req.isBatch)] = clock.getMonotonicMs() + refusedMs;
        return false;
    }
    /** Whether a permission that was asked for in advance may be used. */
    hasPrefetched(server) {
        const known = this.#askedServers.get(getServerStart(server));
        return known !== undefined &&
            known.prefetchedUntilMs > this.#options.clock.getMonotonicMs();
    }
    /** Uses up the permission that was asked for in advance. */
    takePrefetched(server) {
        this.#getAskedServer(server).prefetchedUntilMs = -Infinity;
    }
    /**
     * Asks for permission for a request of a job in advance. Calls `onGrant` once it
     * is granted.
     */
    prefetchBatch(server, onGrant) {
        const asked = this.#getAskedServer(server);
        if (asked.isPrefetching || !this.mayAsk(server, true))
            return;
        asked.isPrefetching = true;
        const prefetched = this.acquire(server, { isBatch: true, maxWaitMs: 0 })
            .then((isGranted) => {
            if (!isGranted)
                return;
            const nowMs = this.#options.clock.getMonotonicMs();
            asked.prefetchedUntilMs = nowMs + GRANT_TTL_MS;
            onGrant();
        })
            .finally(() => {
            asked.isPrefetching = false;
        });
        logRejection(prefetched, this.#options.log, "permission in advance");
    }
    #getAskedServer(server) {
        const key = getServerStart(server);
        const known = this.#askedServers.get(key);
        if (known !== undefined)
            return known;
        const added = {
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
    async #ask(server, req) {
        const limitPerS = this.#options.limits.tryGet(server);
        if (limitPerS === undefined)
            return { isGranted: true, waitMs: 0 };
        const granters = this.#selectGranters(server);
        for (const [index, granter] of granters.entries()) {
            const reply = this.#mayCall(granter)
                ? await this.#tryCall(granter, server, limitPerS, req, index > 0)
                : undefined;
            if (reply !== undefined)
                return reply;
            if (!this.#isLost(granter)) {
                return { isGranted: false, waitMs: req.maxWaitMs + GRANTER_BACKOFF_MS };
            }
        }
        return this.#askOwnPacer(server, limitPerS, req);
    }
    /** The store hosts that are asked for a server, in the order of preference. */
    #selectGranters(server) {
        return selectByRendezvous(getServerStart(server), this.#options.getGranters(), { getName: (address) => address, count: MAX_ASKED_GRANTERS });
    }
    #mayCall(granter) {
        const nowMs = this.#options.clock.getMonotonicMs();
        return nowMs >= (this.#silentGranters.get(granter)?.retryMs ?? -Infinity);
    }
    #isLost(granter) {
        const { sinceMs = Infinity } = this.#silentGranters.get(granter) ?? {};
        return this.#options.clock.getMonotonicMs() - sinceMs >= GRANTER_LOST_MS;
    }
    async #tryCall(granter, server, limitPerS, { maxWaitMs, isBatch }, isStandIn) {
        const { caller, clock, name } = this.#options;
        const askedMs = clock.getMonotonicMs();
        try {
            const reply = await caller.acquire(granter, {
                server: create(ServerStartSchema, {
                    id: server.id,
                    bornMs: server.bornMs,
                }),
                limitPerS,
                maxWaitMs: Math.max(0, Math.floor(maxWaitMs)),
                batch: isBatch,
                sender: name,
                standIn: isStandIn,
            }, ASK_TIMEOUT_MS);
            this.#senderCount = Math.max(1, reply.senders);
            this.#recordReply(granter);
            return { isGranted: reply.granted, waitMs: reply.waitMs };
        }
        catch (error) {
            this.#recordSilence(granter, askedMs, getReason(error));
            return undefined;
        }
    }
    #recordReply(granter) {
        const { log } = this.#options;
        if (this.#isLost(granter)) {
            log.info("limit_granter_regained", { address: granter });
        }
        this.#silentGranters.delete(granter);
    }
    #recordSilence(granter, askedMs, reason) {
        const { clock, log } = this.#options;
        const wasLost = this.#isLost(granter);
        const { sinceMs = askedMs } = this.#silentGranters.get(granter) ?? {};
        const nowMs = clock.getMonotonicMs();
        const isLost = nowMs - sinceMs >= GRANTER_LOST_MS;
        const pauseMs = isLost ? LOST_GRANTER_RETRY_MS : GRANTER_BACKOFF_MS;
        this.#silentGranters.set(granter, { sinceMs, retryMs: nowMs + pauseMs });
        if (!wasLost && isLost) {
            log.warn("limit_granter_lost", { address: granter, reason });
        }
    }
    /** Takes an equal part of the limit, while no store host replies. */
    #askOwnPacer(server, limitPerS, req) {
        const nowMs = this.#options.clock.getMonotonicMs();
        const asked = this.#getAskedServer(server);
        const parts = this.#senderCount / OWN_FRACTION;
        const { pacer, askedMs } = asked.ownPacer ?? { askedMs: -Infinity };
        const current = pacer === undefined || nowMs - askedMs > OWN_PACER_TTL_MS
            ? new RequestPacer(limitPerS, nowMs, {
                savesTokens: false,
                // Keeps the processes from sending at the same time.
                initialTokens: this.#options.random.getFraction(),
                parts,
            })
            : pacer;
        asked.ownPacer = { pacer: current, askedMs: nowMs };
        current.setLimit(limitPerS, nowMs, parts);
        return current.request(req, nowMs);
    }
}
function getKind(isBatch) {
    return isBatch ? "batch" : "online";
}
//# sourceMappingURL=rate_limit_client.js.map