/**
 * Decides whether a store host may act on its applied state. Without its leader's
 * entries the host learns neither that a job has ended nor that other hosts run
 * its items.
 */
import type { Clock } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import { SuspensionDetector } from "../sys/suspension_detector.ts";

/** The part of a replica that shows its contact with the leader. */
export interface ContactReplica {
  /** Id of the known leader; empty when there is none. */
  readonly leader: string;
  readonly term: number;
  readonly appliedIndex: number;
  /** Whether it has applied what its leader had committed when last heard of. */
  isCaughtUp(): boolean;
}

/** Options of a {@linkcode LeaderContact}. */
export interface LeaderContactOptions {
  /** Returns the replica; undefined until it has started. */
  readonly getReplica: () => ContactReplica | undefined;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Time for which the state counts as current after it was last caught up, in
 * milliseconds: about the duration of an election. No item may run more than 3 s
 * after its job has ended, not even on a host that has not learned of the end.
 */
const CONTACT_GRACE_MS = 1_000;

/** Tracks the contact of one replica with its leader. */
export class LeaderContact {
  readonly #options: LeaderContactOptions;
  readonly #suspensionDetector: SuspensionDetector;
  /** Monotonic time at which the replica was last caught up. */
  #caughtUpMs = -Infinity;
  /** Whether it has been caught up since the last possible suspension. */
  #isConfirmed = false;
  #loggedLeader = "";
  #wasCurrent = false;

  constructor(options: LeaderContactOptions) {
    this.#options = options;
    this.#suspensionDetector = new SuspensionDetector(options.clock);
  }

  /**
   * Whether the applied state is caught up with the leader, or was recently, so
   * that this host may act on it.
   */
  isCurrent(): boolean {
    const wasRecently = this.wasCurrentRecently();
    const isCurrent = this.#isConfirmed && wasRecently;
    const replica = this.#options.getReplica();
    if (replica !== undefined) this.#logChange(replica, isCurrent);
    return isCurrent;
  }

  /**
   * Whether the state was current recently by this host's clock, which does not
   * count suspensions. Suffices to continue what runs already: after a short
   * suspension or a step of the wall clock nobody else has taken it over.
   */
  wasCurrentRecently(): boolean {
    const nowMs = this.#options.clock.getMonotonicMs();
    if (this.#suspensionDetector.check()) this.#isConfirmed = false;
    if (this.#options.getReplica()?.isCaughtUp() === true) {
      this.#caughtUpMs = nowMs;
      this.#isConfirmed = true;
    }
    return nowMs - this.#caughtUpMs < CONTACT_GRACE_MS;
  }

  #logChange(replica: ContactReplica, isCurrent: boolean): void {
    const { leader, term, appliedIndex } = replica;
    if (leader === this.#loggedLeader && isCurrent === this.#wasCurrent) return;
    this.#loggedLeader = leader;
    this.#wasCurrent = isCurrent;
    this.#options.log.info("store_leader", {
      leader,
      term,
      applied: appliedIndex,
      current: isCurrent,
    });
  }
}
