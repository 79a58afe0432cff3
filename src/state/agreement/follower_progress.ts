/**
 * What a leader knows of the other members: how far their logs match and when
 * they were surely in contact. Rounds of messages are numbered, so that a reply
 * proves contact at the time its round was sent, not when it arrived.
 */

/** What is known of one member. */
export interface Progress {
  matchIndex: number;
  nextIndex: number;
  /** When the newest acknowledged round was sent. */
  contactMs: number;
  /** Entries up to here are under way. */
  sentIndex: number;
  sentMs: number;
  snapshotSentMs: number;
}

/** Rounds for which a late reply still counts as contact. */
const ROUNDS_KEPT = 256;

/** Progress of all other members in one term. */
export class FollowerProgress {
  readonly #rows = new Map<string, Progress>();
  readonly #roundSentMs = new Map<number, number>();
  #round = 0;

  /** Number of the newest round. */
  get round(): number {
    return this.#round;
  }

  tryGet(id: string): Progress | undefined {
    return this.#rows.get(id);
  }

  forEach(action: (progress: Progress, id: string) => void): void {
    this.#rows.forEach(action);
  }

  /** Keeps a row for exactly the given members. */
  sync(
    ids: readonly string[],
    first: { nextIndex: number; contactMs: number },
  ): void {
    [...this.#rows.keys()].filter((id) => !ids.includes(id))
      .forEach((id) => this.#rows.delete(id));
    ids.filter((id) => !this.#rows.has(id)).forEach((id) =>
      this.#rows.set(id, {
        ...first,
        matchIndex: 0,
        sentIndex: 0,
        sentMs: 0,
        snapshotSentMs: -Infinity,
      })
    );
  }

  startRound(nowMs: number): void {
    this.#round += 1;
    this.#roundSentMs.set(this.#round, nowMs);
    this.#roundSentMs.delete(this.#round - ROUNDS_KEPT);
  }

  /** A member answered a message of a round. */
  noteReply(progress: Progress, round: number): void {
    const sentMs = this.#roundSentMs.get(round) ?? -Infinity;
    progress.contactMs = Math.max(progress.contactMs, sentMs);
  }

  /** Forgets everything, at the start and the end of a term. */
  clear(): void {
    this.#rows.clear();
    this.#roundSentMs.clear();
    this.#round = 0;
  }
}
