/**
 * Backend servers as an entry knows them: announcements with leases, and the
 * entry's own sequences on each server, which a report that lags can't show.
 */
import { QuantileTracker } from "../policy/mod.js";
/** What an announcement changed. */
export const AnnouncementEffect = {
    old: "old",
    refreshed: "refreshed",
    joined: "joined",
    restarted: "restarted",
    left: "left",
};
/** Sequences that a server is taken to run well before it showed more. */
export const FIRST_SEQUENCE_TARGET = 16;
/** Share of token gaps that have to meet their target. */
const GAP_QUANTILE = 0.95;
const DEFAULT_LEASE_MS = 3_000;
/** Looks at the own load that a report may lag behind. */
const HISTORY_LENGTH = 10;
/** Time for which a server that left is remembered, in milliseconds. */
const REMEMBER_MS = 60_000;
const FIRST_SET_ASIDE_MS = 250;
const MAX_SET_ASIDE_MS = 8_000;
/** All known backend servers. */
export class BackendView {
    #servers = new Map();
    /** Takes an announcement; older ones than the newest known change nothing. */
    accept(announcement, nowMs) {
        const known = this.#servers.get(announcement.name);
        const leaseMs = announcement.leaseMs || DEFAULT_LEASE_MS;
        if (known === undefined) {
            this.#servers.set(announcement.name, createServer(announcement, nowMs, leaseMs));
            return announcement.leaving
                ? AnnouncementEffect.left
                : AnnouncementEffect.joined;
        }
        if (!isNewer(announcement, known.announcement)) {
            return AnnouncementEffect.old;
        }
        const restarted = announcement.incarnation > known.announcement.incarnation;
        const wasGone = nowMs >= known.leaseEndMs;
        const left = announcement.leaving && !known.announcement.leaving;
        known.announcement = announcement;
        known.leaseEndMs = nowMs + leaseMs;
        known.others = Math.max(0, announcement.running + announcement.waiting -
            Math.max(...known.ownHistory, known.own.online + known.own.batch));
        if (restarted || wasGone) {
            known.knownSinceMs = nowMs;
            known.failures = 0;
            known.setAsideUntilMs = 0;
            known.isProbed = false;
            known.gap.reset();
        }
        if (left)
            return AnnouncementEffect.left;
        if (restarted)
            return AnnouncementEffect.restarted;
        return wasGone ? AnnouncementEffect.joined : AnnouncementEffect.refreshed;
    }
    tryGet(name) {
        return this.#servers.get(name);
    }
    getAll() {
        return [...this.#servers.values()];
    }
    /** Servers of a deployment that take new work. */
    getServing(deployment, nowMs) {
        return this.getAll().filter((server) => server.announcement.deployment === deployment &&
            !server.announcement.leaving && nowMs < server.leaseEndMs);
    }
    /** A request failed on the server; it is left alone for a while. */
    noteFailure(name, nowMs) {
        const server = this.#servers.get(name);
        if (server === undefined)
            return;
        server.isProbed = false;
        const waitMs = Math.min(MAX_SET_ASIDE_MS, FIRST_SET_ASIDE_MS * 2 ** server.failures);
        server.failures += 1;
        server.setAsideUntilMs = nowMs + waitMs;
    }
    /** A request succeeded on the server. */
    noteSuccess(name) {
        const server = this.#servers.get(name);
        if (server === undefined)
            return;
        server.failures = 0;
        server.isProbed = false;
    }
    /** Notes the own load on each server; called at even times. */
    noteOwnLoads() {
        this.#servers.forEach((server) => {
            server.ownHistory.push(server.own.online + server.own.batch);
            if (server.ownHistory.length > HISTORY_LENGTH)
                server.ownHistory.shift();
        });
    }
    /** Forgets servers that have been gone for long; returns lost ones. */
    sweep(nowMs) {
        this.getAll()
            .filter((server) => nowMs > server.leaseEndMs + REMEMBER_MS)
            .forEach((server) => this.#servers.delete(server.name));
        return this.getAll().filter((server) => nowMs >= server.leaseEndMs);
    }
}
function isNewer(a, b) {
    if (a.incarnation !== b.incarnation)
        return a.incarnation > b.incarnation;
    return a.sequence > b.sequence;
}
function createServer(announcement, nowMs, leaseMs) {
    return {
        name: announcement.name,
        announcement,
        knownSinceMs: nowMs,
        leaseEndMs: nowMs + leaseMs,
        own: { online: 0, batch: 0 },
        ownHistory: [],
        others: announcement.running + announcement.waiting,
        othersBatch: 0,
        sequenceTarget: announcement.sequenceLimit || FIRST_SEQUENCE_TARGET,
        onlinePeak: 0,
        failures: 0,
        setAsideUntilMs: 0,
        isProbed: false,
        gap: new QuantileTracker(GAP_QUANTILE),
    };
}
//# sourceMappingURL=backend_view.js.map