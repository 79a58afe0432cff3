/**
 * Which gateways a store host hears from. A gateway that it does not hear from may
 * serve callers without it, from its equal share of what all gateways may send.
 */

/**
 * Time after the last report for which a gateway counts as heard, in milliseconds:
 * more than two intervals of unchanged load reports.
 */
const HEARD_TTL_MS = 700;

/**
 * Time after the last report for which a share is deducted for a gateway, in
 * milliseconds. It is longer than data centres are usually cut off.
 */
const KNOWN_TTL_MS = 10 * 60_000;

/** The gateways that one store host knows. */
export class GatewayPresence {
  readonly #heardMs = new Map<string, number>();
  readonly #startedMs: number;
  /** Number of gateways as other store hosts told them. */
  #toldCount = 0;
  #heardCount = 0;
  #countedMs = -Infinity;

  constructor(nowMs: number) {
    this.#startedMs = nowMs;
  }

  /**
   * Records a load report or a request. `isGateway` is false if the sender may be
   * another process: it counts only if it is known as a gateway.
   */
  record(name: string, nowMs: number, isGateway = true): void {
    if (!isGateway && !this.#heardMs.has(name)) return;
    this.#heardMs.set(name, nowMs);
  }

  /**
   * Records the number of gateways that a gateway got from another store host. It
   * counts until this host has been running long enough to know all itself.
   */
  recordCount(count: number, nowMs: number): void {
    const isNew = nowMs - this.#startedMs <= KNOWN_TTL_MS;
    this.#toldCount = isNew ? Math.max(this.#toldCount, count) : 0;
  }

  /** Number of gateways, and of those that are heard from. */
  count(nowMs: number): { readonly known: number; readonly heard: number } {
    if (nowMs !== this.#countedMs) this.#countHeard(nowMs);
    const known = Math.max(1, this.#toldCount, this.#heardMs.size);
    return { known, heard: Math.min(known, this.#heardCount) };
  }

  #countHeard(nowMs: number): void {
    this.#heardMs.forEach((heardMs, name) => {
      if (nowMs - heardMs > KNOWN_TTL_MS) this.#heardMs.delete(name);
    });
    this.#heardCount = [...this.#heardMs.values()]
      .filter((heardMs) => nowMs - heardMs <= HEARD_TTL_MS).length;
    this.#countedMs = nowMs;
  }
}
