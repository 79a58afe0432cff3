/**
 * Selects the merger that sends merged load reports to a process. Mergers are
 * the processes that receive the load reports of all others and merge them. A
 * process requests answers from one merger at a time, and switches when that
 * merger times out: in a large fleet, answers of all mergers to all processes
 * would cost more than the requests themselves.
 */
import { selectByRendezvous } from "../sys/random.ts";

/**
 * Time without an answer after which another merger is asked, in milliseconds.
 * A merger repeats an unchanged answer every 300 ms.
 */
const ANSWER_TIMEOUT_MS = 450;

/** Merger selection of one process. */
export class MergerSelector {
  readonly #name: string;
  #selected = "";
  /** Time of the last answer, or of the selection if there was none since. */
  #waitingSinceMs = 0;
  /** Last timeout of each merger; cleared when it answers while selected. */
  readonly #timedOutMs = new Map<string, number>();

  constructor(options: { name: string }) {
    this.#name = options.name;
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
    if (from !== this.#selected) return;
    this.#waitingSinceMs = nowMs;
    this.#timedOutMs.delete(from);
  }

  /**
   * Prefers a merger without a timeout, then the one with the oldest timeout.
   */
  #selectNext(mergers: readonly string[]): string {
    const getTimedOutMs = (merger: string) =>
      this.#timedOutMs.get(merger) ?? -Infinity;
    const oldestMs = Math.min(...mergers.map(getTimedOutMs));
    const candidates = mergers.filter((merger) =>
      getTimedOutMs(merger) === oldestMs
    );
    return selectByRendezvous(this.#name, candidates, {
      getName: (merger) => merger,
      count: 1,
    })[0] ?? "";
  }
}
