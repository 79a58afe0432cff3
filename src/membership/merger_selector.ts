/**
 * Which of the processes that merge loads a gateway asks for an answer: one at
 * a time, another when it falls silent. Answers the load pattern of a large
 * fleet, where answers of all mergers to all gateways cost more than requests.
 */
import { selectByRendezvous } from "../sys/random.ts";

/**
 * Silence after which another merger is asked, in milliseconds: one says the
 * same again every 300 ms.
 */
const ANSWER_TIMEOUT_MS = 450;

/** The choice of one process. */
export class MergerSelector {
  readonly #name: string;
  #selected = "";
  /** Since when an answer is due. */
  #waitingSinceMs = 0;
  /** When each merger that was silent was left. */
  readonly #timedOutMs = new Map<string, number>();

  constructor(options: { name: string }) {
    this.#name = options.name;
  }

  /** The merger to ask now; empty when there is none. */
  select(mergers: readonly string[], nowMs: number): string {
    const hasTimedOut = nowMs - this.#waitingSinceMs > ANSWER_TIMEOUT_MS;
    if (mergers.includes(this.#selected) && !hasTimedOut) return this.#selected;
    if (this.#selected !== "") this.#timedOutMs.set(this.#selected, nowMs);
    this.#selected = this.#selectNext(mergers);
    this.#waitingSinceMs = nowMs;
    return this.#selected;
  }

  /** A merger answered. */
  recordAnswer(from: string, nowMs: number): void {
    if (from !== this.#selected) return;
    this.#waitingSinceMs = nowMs;
    this.#timedOutMs.delete(from);
  }

  /** One that was never silent, or the one that was so longest ago. */
  #selectNext(mergers: readonly string[]): string {
    const getTimedOutMs = (one: string) =>
      this.#timedOutMs.get(one) ?? -Infinity;
    const oldestMs = Math.min(...mergers.map(getTimedOutMs));
    const candidates = mergers.filter((one) => getTimedOutMs(one) === oldestMs);
    return selectByRendezvous(this.#name, candidates, {
      getName: (one) => one,
      count: 1,
    })[0] ?? "";
  }
}
