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
const SILENT_MS = 450;

/** The choice of one process. */
export class MergerSelector {
  readonly #name: string;
  #chosen = "";
  /** Since when an answer is due. */
  #dueSinceMs = 0;
  /** When each merger that was silent was left. */
  readonly #leftMs = new Map<string, number>();

  constructor(options: { name: string }) {
    this.#name = options.name;
  }

  /** The merger to ask now; empty when there is none. */
  select(mergers: readonly string[], nowMs: number): string {
    const isSilent = nowMs - this.#dueSinceMs > SILENT_MS;
    if (mergers.includes(this.#chosen) && !isSilent) return this.#chosen;
    if (this.#chosen !== "") this.#leftMs.set(this.#chosen, nowMs);
    this.#chosen = this.#selectNext(mergers);
    this.#dueSinceMs = nowMs;
    return this.#chosen;
  }

  /** A merger answered. */
  recordAnswer(from: string, nowMs: number): void {
    if (from !== this.#chosen) return;
    this.#dueSinceMs = nowMs;
    this.#leftMs.delete(from);
  }

  /** One that was never silent, or the one that was so longest ago. */
  #selectNext(mergers: readonly string[]): string {
    const leftMs = (one: string) => this.#leftMs.get(one) ?? -Infinity;
    const longestAgo = Math.min(...mergers.map(leftMs));
    const among = mergers.filter((one) => leftMs(one) === longestAgo);
    return selectByRendezvous(this.#name, among, {
      getName: (one) => one,
      count: 1,
    })[0] ?? "";
  }
}
