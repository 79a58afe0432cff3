/**
 * Replication progress of the other members, as tracked by the leader: how far
 * their logs match and when they were last in contact. The leader sends
 * messages in numbered rounds, and a reply carries the number of its round. It
 * proves contact only at the time when the round was sent, from which the lease
 * counts, not when the reply arrived.
 */
import type { AppendReply } from "../../schema/mod.ts";
import { MAX_APPEND_BYTES } from "./timing.ts";

/** Entries of an append request that is not acknowledged yet. */
interface InflightEntries {
  readonly lastIndex: number;
  readonly bytes: number;
}

/** Replication progress of one member. */
export interface Progress {
  /** Last index up to which the member's log is known to match. */
  matchIndex: number;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Send time of the newest acknowledged round. */
  lastContactMs: number;
  /**
   * The leader is searching for the last matching index, with append requests
   * that carry no entries: one after each rejection, or one per heartbeat.
   */
  isProbing: boolean;
  /** Round of the newest probe; rejections of earlier rounds are ignored. */
  probeRound: number;
  probeSentMs: number;
  /** Append requests with entries that are not acknowledged yet, in order. */
  sent: InflightEntries[];
  /** Time of the last snapshot transfer; -Infinity if none is pending. */
  snapshotSentMs: number;
  /** Contact check that the member sent last, which is sent back to it. */
  contactCheck: bigint;
  /** Newest version of commands that the member applies; 0 until it replies. */
  commandVersion: number;
}

/**
 * Limit on unacknowledged bytes per member: two append requests. Without a
 * limit, the messages queued for an unreachable member would fill memory and
 * delay the heartbeats queued behind them.
 */
const MAX_INFLIGHT_BYTES = 2 * MAX_APPEND_BYTES;

/** Rounds whose send time is kept; replies to older ones prove no contact. */
const MAX_TRACKED_ROUNDS = 256;

/** Tracks the progress of all other members during one term. */
export class ProgressTracker {
  readonly #progressById = new Map<string, Progress>();
  readonly #sentMsByRound = new Map<number, number>();
  #round = 0;

  /** Number of the current round; 0 before the first one. */
  get round(): number {
    return this.#round;
  }

  tryGet(id: string): Progress | undefined {
    return this.#progressById.get(id);
  }

  forEach(action: (progress: Progress, id: string) => void): void {
    this.#progressById.forEach(action);
  }

  /** Tracks exactly the given members; new ones start with `initial`. */
  setMembers(
    ids: readonly string[],
    initial: { nextIndex: number; lastContactMs: number },
  ): void {
    [...this.#progressById.keys()].filter((id) => !ids.includes(id))
      .forEach((id) => this.#progressById.delete(id));
    ids.filter((id) => !this.#progressById.has(id)).forEach((id) =>
      this.#progressById.set(id, {
        ...initial,
        matchIndex: 0,
        isProbing: true,
        probeRound: 0,
        probeSentMs: -Infinity,
        sent: [],
        snapshotSentMs: -Infinity,
        contactCheck: 0n,
        commandVersion: 0,
      })
    );
  }

  /** Starts a round; messages sent until the next one belong to it. */
  startRound(nowMs: number): void {
    this.#round += 1;
    this.#sentMsByRound.set(this.#round, nowMs);
    this.#sentMsByRound.delete(this.#round - MAX_TRACKED_ROUNDS);
  }

  /** Records that a member replied to a message of a round. */
  recordReply(progress: Progress, reply: AppendReply): void {
    const sentMs = this.#sentMsByRound.get(Number(reply.round)) ?? -Infinity;
    progress.lastContactMs = Math.max(progress.lastContactMs, sentMs);
    progress.contactCheck = reply.contactCheck;
    progress.commandVersion = reply.commandVersion;
  }

  /** Records entries as in flight and advances `nextIndex` past them. */
  recordSent(progress: Progress, count: number, bytes: number): void {
    if (count === 0) return;
    progress.nextIndex += count;
    progress.sent.push({ lastIndex: progress.nextIndex - 1, bytes });
  }

  /** Whether another append request with entries may be sent. */
  hasInflightCapacity(progress: Progress): boolean {
    const bytes = progress.sent.reduce(
      (sum, request) => sum + request.bytes,
      0,
    );
    return bytes < MAX_INFLIGHT_BYTES;
  }

  /** Records that a member's log matches up to `index`. */
  recordMatch(progress: Progress, index: number): void {
    progress.matchIndex = Math.max(progress.matchIndex, index);
    const { matchIndex } = progress;
    progress.nextIndex = progress.isProbing
      ? matchIndex + 1
      : Math.max(progress.nextIndex, matchIndex + 1);
    progress.isProbing = false;
    progress.sent = progress.sent.filter((request) =>
      request.lastIndex > matchIndex
    );
  }

  /**
   * Records that a member's log did not match; it may match up to `hint`.
   * Returns false if the rejection is older than the newest probe.
   */
  recordRejection(progress: Progress, round: number, hint: number): boolean {
    if (progress.isProbing && round < progress.probeRound) return false;
    progress.isProbing = true;
    progress.sent = [];
    progress.nextIndex = Math.max(progress.matchIndex, hint) + 1;
    return true;
  }

  /** Starts a probe in a round of its own. */
  startProbe(progress: Progress, nowMs: number): void {
    this.startRound(nowMs);
    progress.probeRound = this.#round;
    progress.probeSentMs = nowMs;
  }

  /** Discards all state, at the start and the end of a term. */
  clear(): void {
    this.#progressById.clear();
    this.#sentMsByRound.clear();
    this.#round = 0;
  }
}
