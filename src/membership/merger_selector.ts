/**
 * Selects the merger that sends merged load reports to a process. Mergers are
 * the processes that receive the load reports of all others and merge them. A
 * process requests answers from one merger at a time, and switches when that
 * merger times out: in a large fleet, answers of all mergers to all processes
 * would cost more than the requests themselves. Mergers of the own data centre come
 * first, because answers are the largest part of the traffic of load reports.
 */
import { selectByRendezvous } from "../sys/random.ts";

/**
 * Time without an answer after which another merger is asked, in milliseconds.
 * A merger repeats an unchanged answer every 300 ms.
 */
const ANSWER_TIMEOUT_MS = 450;

/**
 * Interval at which a process with a merger elsewhere also asks one of its own data
 * centre, in milliseconds. It moves there once that one has answered, so a merger
 * that has failed costs no answer.
 */
const RETURN_INTERVAL_MS = 5_000;

/** Merger selection of one process. */
export class MergerSelector {
  readonly #name: string;
  readonly #isLocal: (merger: string) => boolean;
  #selected = "";
  /** Time of the last answer, or of the selection if there was none since. */
  #waitingSinceMs = 0;
  /** Last timeout of each merger; cleared when it answers while selected. */
  readonly #timedOutMs = new Map<string, number>();

  /** Merger of the own data centre that is asked in addition; empty if none. */
  #candidate = "";
  #candidateSinceMs = -Infinity;

  constructor(options: {
    name: string;
    /** Whether a merger is in the own data centre; all are by default. */
    isLocal?: (merger: string) => boolean;
  }) {
    this.#name = options.name;
    this.#isLocal = options.isLocal ?? (() => true);
  }

  /**
   * Returns a merger of the own data centre to ask in addition to a selected one
   * elsewhere; empty if there is none to ask now.
   */
  selectCandidate(mergers: readonly string[], nowMs: number): string {
    const local = mergers.filter((merger) => this.#isLocal(merger));
    if (local.includes(this.#selected) || local.length === 0) {
      this.#candidate = "";
      this.#candidateSinceMs = nowMs;
      return "";
    }
    const elapsedMs = nowMs - this.#candidateSinceMs;
    if (elapsedMs >= RETURN_INTERVAL_MS) {
      if (this.#candidate !== "") this.#timedOutMs.set(this.#candidate, nowMs);
      this.#candidate = this.#selectNext(local);
      this.#candidateSinceMs = nowMs;
      return this.#candidate;
    }
    return elapsedMs <= ANSWER_TIMEOUT_MS ? this.#candidate : "";
  }

  /** Returns the merger to ask now; empty if there is none. */
  select(mergers: readonly string[], nowMs: number): string {
    const hasTimedOut = nowMs - this.#waitingSinceMs > ANSWER_TIMEOUT_MS;
    if (mergers.includes(this.#selected) && !hasTimedOut) return this.#selected;
    if (this.#selected !== "") this.#timedOutMs.set(this.#selected, nowMs);
    this.#selected = this.#selectNext(mergers);
    this.#waitingSinceMs = nowMs;
    return this.#selected;
  }

  /** Records that a merger answered. */
  recordAnswer(from: string, nowMs: number): void {
    if (from === this.#candidate) {
      this.#selected = from;
      this.#candidate = "";
    }
    if (from !== this.#selected) return;
    this.#waitingSinceMs = nowMs;
    this.#timedOutMs.delete(from);
  }

  /**
   * Prefers a merger without a timeout, then the one with the oldest timeout; among
   * those, one of the own data centre.
   */
  #selectNext(mergers: readonly string[]): string {
    const getTimedOutMs = (merger: string) =>
      this.#timedOutMs.get(merger) ?? -Infinity;
    const oldestMs = Math.min(...mergers.map(getTimedOutMs));
    const candidates = mergers.filter((merger) =>
      getTimedOutMs(merger) === oldestMs
    );
    const local = candidates.filter((merger) => this.#isLocal(merger));
    return selectByRendezvous(
      this.#name,
      local.length > 0 ? local : candidates,
      {
        getName: (merger) => merger,
        count: 1,
      },
    )[0] ?? "";
  }
}
