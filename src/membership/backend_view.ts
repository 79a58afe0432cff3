/**
 * Backend servers as an entry knows them: announcements with leases, and the
 * entry's own sequences on each server, which a report that lags can't show.
 */
import { QuantileTracker } from "../policy/mod.ts";
import type { Announcement } from "../schema/mod.ts";

/** What an entry runs on a server by itself. */
export interface OwnLoad {
  online: number;
  batch: number;
}

/** One backend server. */
export interface BackendServer {
  readonly name: string;
  announcement: Announcement;
  /** Monotonic milliseconds. */
  knownSinceMs: number;
  leaseEndMs: number;
  readonly own: OwnLoad;
  /** Highest own load of the last looks, which a late report may still show. */
  readonly ownHistory: number[];
  /** Sequences of other entries, by the newest report. */
  others: number;
  /** Batch sequences among them, as the server's owner says. */
  othersBatch: number;
  sequenceTarget: number;
  onlinePeak: number;
  failures: number;
  backoffUntilMs: number;
  isProbed: boolean;
  /** Time between tokens of this entry's streams, in milliseconds. */
  readonly tokenGap: QuantileTracker;
}

/** What an announcement changed. */
export const AnnouncementEffect = {
  old: "old",
  refreshed: "refreshed",
  joined: "joined",
  restarted: "restarted",
  left: "left",
} as const;

/** What an announcement changed. */
export type AnnouncementEffect =
  typeof AnnouncementEffect[keyof typeof AnnouncementEffect];

/** Sequences that a server is taken to run well before it showed more. */
export const INITIAL_SEQUENCE_TARGET = 16;

/** Share of token gaps that have to meet their target. */
const TOKEN_GAP_QUANTILE = 0.95;

const DEFAULT_LEASE_MS = 3_000;

/** Looks at the own load that a report may lag behind. */
const HISTORY_LENGTH = 10;

/** Time for which a server that left is remembered, in milliseconds. */
const GONE_RETENTION_MS = 60_000;

const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 8_000;

/** All known backend servers. */
export class BackendView {
  readonly #servers = new Map<string, BackendServer>();

  /** Takes an announcement; older ones than the newest known change nothing. */
  accept(announcement: Announcement, nowMs: number): AnnouncementEffect {
    const known = this.#servers.get(announcement.name);
    const leaseMs = announcement.leaseMs || DEFAULT_LEASE_MS;
    if (known === undefined) {
      this.#servers.set(
        announcement.name,
        createServer(announcement, nowMs, leaseMs),
      );
      return announcement.leaving
        ? AnnouncementEffect.left
        : AnnouncementEffect.joined;
    }
    if (!isNewer(announcement, known.announcement)) {
      return AnnouncementEffect.old;
    }
    const restarted = announcement.incarnation > known.announcement.incarnation;
    const wasExpired = nowMs >= known.leaseEndMs;
    const left = announcement.leaving && !known.announcement.leaving;
    known.announcement = announcement;
    known.leaseEndMs = nowMs + leaseMs;
    known.others = Math.max(
      0,
      announcement.running + announcement.waiting -
        Math.max(...known.ownHistory, known.own.online + known.own.batch),
    );
    if (restarted || wasExpired) {
      known.knownSinceMs = nowMs;
      known.failures = 0;
      known.backoffUntilMs = 0;
      known.isProbed = false;
      known.tokenGap.reset();
    }
    if (left) return AnnouncementEffect.left;
    if (restarted) return AnnouncementEffect.restarted;
    return wasExpired
      ? AnnouncementEffect.joined
      : AnnouncementEffect.refreshed;
  }

  tryGet(name: string): BackendServer | undefined {
    return this.#servers.get(name);
  }

  getAll(): BackendServer[] {
    return [...this.#servers.values()];
  }

  /** Servers of a deployment that take new work. */
  getServing(deployment: string, nowMs: number): BackendServer[] {
    return this.getAll().filter((server) =>
      server.announcement.deployment === deployment &&
      !server.announcement.leaving && nowMs < server.leaseEndMs
    );
  }

  /** A request failed on the server; it is left alone for a while. */
  recordFailure(name: string, nowMs: number): void {
    const server = this.#servers.get(name);
    if (server === undefined) return;
    server.isProbed = false;
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** server.failures,
    );
    server.failures += 1;
    server.backoffUntilMs = nowMs + backoffMs;
  }

  /** A request succeeded on the server. */
  recordSuccess(name: string): void {
    const server = this.#servers.get(name);
    if (server === undefined) return;
    server.failures = 0;
    server.isProbed = false;
  }

  /** Notes the own load on each server; called at even times. */
  sampleOwnLoads(): void {
    this.#servers.forEach((server) => {
      server.ownHistory.push(server.own.online + server.own.batch);
      if (server.ownHistory.length > HISTORY_LENGTH) server.ownHistory.shift();
    });
  }

  /** Forgets servers that have been gone for long; returns lost ones. */
  removeExpired(nowMs: number): BackendServer[] {
    this.getAll()
      .filter((server) => nowMs > server.leaseEndMs + GONE_RETENTION_MS)
      .forEach((server) => this.#servers.delete(server.name));
    return this.getAll().filter((server) => nowMs >= server.leaseEndMs);
  }
}

function isNewer(a: Announcement, b: Announcement): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.sequence > b.sequence;
}

function createServer(
  announcement: Announcement,
  nowMs: number,
  leaseMs: number,
): BackendServer {
  return {
    name: announcement.name,
    announcement,
    knownSinceMs: nowMs,
    leaseEndMs: nowMs + leaseMs,
    own: { online: 0, batch: 0 },
    ownHistory: [],
    others: announcement.running + announcement.waiting,
    othersBatch: 0,
    sequenceTarget: announcement.sequenceLimit || INITIAL_SEQUENCE_TARGET,
    onlinePeak: 0,
    failures: 0,
    backoffUntilMs: 0,
    isProbed: false,
    tokenGap: new QuantileTracker(TOKEN_GAP_QUANTILE),
  };
}
