/**
 * An entry host's view of the backend servers. A server announces its state
 * with a lease, and is available until the lease ends. Announcements are
 * delayed, so the entry counts its own sequences on each server exactly and
 * takes only those of other entries from the announcement.
 */
import { QuantileTracker } from "../policy/mod.ts";
import type { Announcement } from "../schema/mod.ts";

/** Number of sequences on a server that this entry runs, by kind. */
export interface OwnLoad {
  online: number;
  batch: number;
}

/** A backend server's latest announcement and the state kept about it. */
export interface BackendServer {
  readonly name: string;
  announcement: Announcement;
  /**
   * Monotonic time at which the server appeared, restarted, or announced itself
   * again after its lease had ended; slow start counts from it.
   */
  knownSinceMs: number;
  leaseEndMs: number;
  readonly own: OwnLoad;
  /** Recent totals of `own`; a delayed announcement includes one of them. */
  readonly ownHistory: number[];
  /**
   * Sequences of other entries: the total of the newest announcement minus the
   * largest recent total of `own`.
   */
  others: number;
  /** Batch sequences among them, as reported by the server's owner. */
  othersBatch: number;
  /** Sequences up to which the time between tokens meets its target. */
  sequenceTarget: number;
  /** Recent maximum of online sequences, which decays slowly. */
  onlinePeak: number;
  /** Failed requests since the last successful one. */
  failures: number;
  /** End of the back-off after a failure; no requests are sent before. */
  backoffUntilMs: number;
  /** Whether a probe request is in flight after a failure. */
  isProbed: boolean;
  /** Time between tokens of this entry's streams, in milliseconds. */
  readonly tokenGap: QuantileTracker;
}

/** Effects that an announcement can have on the view. */
export const AnnouncementEffect = {
  /** Not newer than the known announcement; ignored. */
  old: "old",
  /** Renewed the lease of a known server. */
  refreshed: "refreshed",
  /** The server was not known, or its lease had ended. */
  joined: "joined",
  /** The server has a new incarnation. */
  restarted: "restarted",
  /** The server announced that it is leaving. */
  left: "left",
} as const;

/** One of {@linkcode AnnouncementEffect}. */
export type AnnouncementEffect =
  typeof AnnouncementEffect[keyof typeof AnnouncementEffect];

/** Initial sequence target of a server that announces no limit. */
export const INITIAL_SEQUENCE_TARGET = 16;

/** Quantile of the time between tokens that must meet the target. */
const TOKEN_GAP_QUANTILE = 0.95;

/** Lease of an announcement that sets none, in milliseconds. */
const DEFAULT_LEASE_MS = 3_000;

/** Samples in `ownHistory`; an announcement may be this many samples old. */
const HISTORY_LENGTH = 10;

/**
 * Time for which a server is kept after its lease has ended, in milliseconds.
 */
const EXPIRED_RETENTION_MS = 60_000;

/**
 * Longest time between two ticks in which the process counts as running, in
 * milliseconds: more than twice the interval.
 */
const MAX_TICK_GAP_MS = 250;

const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 8_000;

/** Backend servers by name, including those whose lease ended recently. */
export class BackendView {
  readonly #servers = new Map<string, BackendServer>();
  /** Undefined while nothing ticks. */
  #lastTickMs: number | undefined;

  /**
   * Records that the process runs; to be called at an interval. No lease ends in a
   * time in which it stood still, since the announcements of that time are unread.
   */
  tick(nowMs: number): void {
    const stalledMs = this.#getStalledMs(nowMs);
    this.getAll()
      .filter((server) => !this.#hasLeaseEnded(server, nowMs))
      .forEach((server) => server.leaseEndMs += stalledMs);
    this.#lastTickMs = Math.max(nowMs, this.#lastTickMs ?? nowMs);
  }

  /** Applies an announcement unless a newer one of the server is known. */
  accept(announcement: Announcement, nowMs: number): AnnouncementEffect {
    if (this.#lastTickMs !== undefined) this.tick(nowMs);
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
    const wasExpired = this.#hasLeaseEnded(known, nowMs);
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

  /** Servers of a deployment that accept new work. */
  getServing(deployment: string, nowMs: number): BackendServer[] {
    return this.getAll().filter((server) =>
      server.announcement.deployment === deployment &&
      !server.announcement.leaving && !this.#hasLeaseEnded(server, nowMs)
    );
  }

  /** Records a failed request and starts an exponential back-off. */
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

  /** Records a successful request, which resets the back-off. */
  recordSuccess(name: string): void {
    const server = this.#servers.get(name);
    if (server === undefined) return;
    server.failures = 0;
    server.isProbed = false;
  }

  /** Samples `own` of each server; must be called at a fixed interval. */
  sampleOwnLoads(): void {
    this.#servers.forEach((server) => {
      server.ownHistory.push(server.own.online + server.own.batch);
      if (server.ownHistory.length > HISTORY_LENGTH) server.ownHistory.shift();
    });
  }

  /**
   * Removes servers whose retention time has passed. Returns the others whose
   * lease has ended.
   */
  removeExpired(nowMs: number): BackendServer[] {
    this.getAll()
      .filter((server) => nowMs > server.leaseEndMs + EXPIRED_RETENTION_MS)
      .forEach((server) => this.#servers.delete(server.name));
    return this.getAll().filter((server) => this.#hasLeaseEnded(server, nowMs));
  }

  #hasLeaseEnded(server: BackendServer, nowMs: number): boolean {
    return nowMs - this.#getStalledMs(nowMs) >= server.leaseEndMs;
  }

  /** Time until now in which the process stood still, in milliseconds. */
  #getStalledMs(nowMs: number): number {
    const elapsedMs = nowMs - (this.#lastTickMs ?? nowMs);
    return elapsedMs > MAX_TICK_GAP_MS ? elapsedMs : 0;
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
