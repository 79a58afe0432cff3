/**
 * What a leader knows of the other members: how far their logs match and when
 * they were surely in contact. Rounds of messages are numbered, so that a reply
 * proves contact at the time its round was sent, not when it arrived.
 */
import { MAX_APPEND_BYTES } from "./timing.ts";

/** Entries that were sent and are not acknowledged. */
interface InflightEntries {
  readonly lastIndex: number;
  readonly bytes: number;
}

/** What is known of one member. */
export interface Progress {
  matchIndex: number;
  nextIndex: number;
  /** When the newest acknowledged round was sent. */
  lastContactMs: number;
  /**
   * Where its log matches is being looked for, by messages without entries:
   * one after each refusal, or one a heartbeat.
   */
  isProbing: boolean;
  /** Round of the newest probe; refusals of earlier rounds say nothing new. */
  probeRound: number;
  probeSentMs: number;
  sent: InflightEntries[];
  snapshotSentMs: number;
}

/**
 * Bytes sent to one member that may wait for its acknowledgement: two appends.
 * Without a bound, what is queued for a member that was cut off fills memory
 * and delays the heartbeats behind it.
 */
const MAX_INFLIGHT_BYTES = 2 * MAX_APPEND_BYTES;

/** Rounds for which a late reply still counts as contact. */
const MAX_TRACKED_ROUNDS = 256;

/** Progress of all other members in one term. */
export class ProgressTracker {
  readonly #progressById = new Map<string, Progress>();
  readonly #sentMsByRound = new Map<number, number>();
  #round = 0;

  /** Number of the newest round. */
  get round(): number {
    return this.#round;
  }

  tryGet(id: string): Progress | undefined {
    return this.#progressById.get(id);
  }

  forEach(action: (progress: Progress, id: string) => void): void {
    this.#progressById.forEach(action);
  }

  /** Keeps a row for exactly the given members. */
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
      })
    );
  }

  startRound(nowMs: number): void {
    this.#round += 1;
    this.#sentMsByRound.set(this.#round, nowMs);
    this.#sentMsByRound.delete(this.#round - MAX_TRACKED_ROUNDS);
  }

  /** A member answered a message of a round. */
  recordReply(progress: Progress, round: number): void {
    const sentMs = this.#sentMsByRound.get(round) ?? -Infinity;
    progress.lastContactMs = Math.max(progress.lastContactMs, sentMs);
  }

  /** Notes entries as sent; `nextIndex` moves past them. */
  recordSent(progress: Progress, count: number, bytes: number): void {
    if (count === 0) return;
    progress.nextIndex += count;
    progress.sent.push({ lastIndex: progress.nextIndex - 1, bytes });
  }

  /** Whether another message with entries may be under way. */
  hasInflightCapacity(progress: Progress): boolean {
    const bytes = progress.sent.reduce((sum, one) => sum + one.bytes, 0);
    return bytes < MAX_INFLIGHT_BYTES;
  }

  /** A member's log matches up to an index. */
  recordMatch(progress: Progress, index: number): void {
    progress.matchIndex = Math.max(progress.matchIndex, index);
    const { matchIndex } = progress;
    progress.nextIndex = progress.isProbing
      ? matchIndex + 1
      : Math.max(progress.nextIndex, matchIndex + 1);
    progress.isProbing = false;
    progress.sent = progress.sent.filter((one) => one.lastIndex > matchIndex);
  }

  /**
   * A member's log does not match; it may up to `hint`. False when a newer
   * probe is under way.
   */
  recordRejection(progress: Progress, round: number, hint: number): boolean {
    if (progress.isProbing && round < progress.probeRound) return false;
    progress.isProbing = true;
    progress.sent = [];
    progress.nextIndex = Math.max(progress.matchIndex, hint) + 1;
    return true;
  }

  /** Begins a probe in a round of its own. */
  startProbe(progress: Progress, nowMs: number): void {
    this.startRound(nowMs);
    progress.probeRound = this.#round;
    progress.probeSentMs = nowMs;
  }

  /** Forgets everything, at the start and the end of a term. */
  clear(): void {
    this.#progressById.clear();
    this.#sentMsByRound.clear();
    this.#round = 0;
  }
}
