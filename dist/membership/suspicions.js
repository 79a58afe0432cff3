/**
 * Requests that were in flight when a backend server died. Deaths are kept as
 * a set of servers for each request's fingerprint, so that news from several
 * entries merges in any order.
 */
import { create } from "@bufbuild/protobuf";
import { SuspicionSchema } from "../schema/mod.js";
/** Deaths after which a request is refused. */
export const MAX_DEATHS = 2;
/** Deaths within this time of each other may have one cause, such as a rack. */
const SAME_CAUSE_MS = 5_000;
/** Time for which a suspicion is kept, in milliseconds. */
const KEEP_MS = 24 * 3_600_000;
/** Deaths by fingerprint. */
export class Suspicions {
    #rows = new Map();
    /** Different servers that died under the request. */
    getDeaths(fingerprint) {
        return this.#rows.get(fingerprint)?.servers.size ?? 0;
    }
    /**
     * Whether the request has ended too many servers. Where servers that it did
     * not run on died at about the same time, one more death is needed: it may
     * have been beside whatever took them.
     */
    isRefused(fingerprint) {
        const row = this.#rows.get(fingerprint);
        if (row === undefined || row.servers.size < MAX_DEATHS)
            return false;
        return row.servers.size > MAX_DEATHS || !this.#hasOtherDeath(row);
    }
    isSuspect(fingerprint) {
        return this.#rows.has(fingerprint);
    }
    /** Records a death; returns the news to spread. */
    record(fingerprint, server, nowMs) {
        const row = this.#rows.get(fingerprint) ??
            { servers: new Map(), updatedMs: nowMs };
        if (!row.servers.has(server))
            row.servers.set(server, nowMs);
        row.updatedMs = nowMs;
        this.#rows.set(fingerprint, row);
        return create(SuspicionSchema, {
            fingerprint,
            servers: [...row.servers.keys()],
        });
    }
    /** A suspect finished; it is one no more. Returns the news to spread. */
    tryClear(fingerprint) {
        if (this.isRefused(fingerprint))
            return undefined;
        if (!this.#rows.delete(fingerprint))
            return undefined;
        return create(SuspicionSchema, { fingerprint, cleared: true });
    }
    /** Merges news of another entry. */
    merge(news, nowMs) {
        if (news.cleared) {
            if (!this.isRefused(news.fingerprint)) {
                this.#rows.delete(news.fingerprint);
            }
            return;
        }
        news.servers.forEach((server) => this.record(news.fingerprint, server, nowMs));
    }
    /** All suspicions, for an entry that starts. */
    getAll() {
        return [...this.#rows].map(([fingerprint, row]) => create(SuspicionSchema, { fingerprint, servers: [...row.servers.keys()] }));
    }
    #hasOtherDeath(row) {
        const times = [...row.servers.values()];
        return [...this.#rows.values()].some((other) => [...other.servers].some(([server, atMs]) => !row.servers.has(server) &&
            times.some((time) => Math.abs(time - atMs) <= SAME_CAUSE_MS)));
    }
    /** Forgets what is old. */
    sweep(nowMs) {
        [...this.#rows].filter(([, row]) => nowMs - row.updatedMs > KEEP_MS)
            .forEach(([fingerprint]) => this.#rows.delete(fingerprint));
    }
}
//# sourceMappingURL=suspicions.js.map