/**
 * Which gateways a store host hears from. A gateway that it does not hear from may
 * serve callers without it, from its equal share of what all gateways may send.
 */

/**
 * Time after the last report for which a gateway counts as heard, in milliseconds:
 * more than two intervals of unchanged load reports.
 */
export const HEARD_TTL_MS = 700;

/**
 * Time after the last report for which a share is deducted for a gateway, in
 * milliseconds. It is longer than data centres are usually cut off.
 */
const KNOWN_TTL_MS = 10 * 60_000;

/** A period in which a gateway was not heard from. */
export interface Absence {
  readonly fromMs: number;
  readonly toMs: number;
}

interface KnownGatewayTimes {
  readonly heardMs: number;
  /** The last absence that has ended. */
  readonly absence: Absence | undefined;
}

/** The gateways that one store host knows. */
export class GatewayPresence {
  readonly #gateways = new Map<string, KnownGatewayTimes>();
  readonly #absent = new Set<string>();
  readonly #startedMs: number;
  /** Number of gateways as other store hosts told them. */
  #toldCount = 0;
  #lossCount = 0;
  #countedMs = -Infinity;

  constructor(nowMs: number) {
    this.#startedMs = nowMs;
  }

  /**
   * Records a load report or a request. `isGateway` is false if the sender may be
   * another process: it counts only if it is known as a gateway.
   */
  record(name: string, nowMs: number, isGateway = true): void {
    const known = this.#gateways.get(name);
    if (!isGateway && known === undefined) return;
    const heardMs = known?.heardMs ?? nowMs;
    const absence = nowMs - heardMs > HEARD_TTL_MS
      ? { fromMs: heardMs, toMs: nowMs }
      : known?.absence;
    this.#gateways.set(name, { heardMs: nowMs, absence });
    this.#absent.delete(name);
  }

  /** The last period for which a gateway's share was deducted. */
  tryGetAbsence(name: string): Absence | undefined {
    return this.#gateways.get(name)?.absence;
  }

  /** Whether a gateway is heard from. */
  isHeard(name: string, nowMs: number): boolean {
    const { heardMs = -Infinity } = this.#gateways.get(name) ?? {};
    return nowMs - heardMs <= HEARD_TTL_MS;
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
    if (nowMs !== this.#countedMs) this.#findAbsent(nowMs);
    const known = Math.max(1, this.#toldCount, this.#gateways.size);
    // After a start, the reports of all gateways arrive within this time.
    if (nowMs - this.#startedMs <= HEARD_TTL_MS) return { known, heard: known };
    return { known, heard: this.#gateways.size - this.#absent.size };
  }

  /**
   * How often a gateway was found to be absent. Each of them may have sent requests
   * without this host for {@linkcode HEARD_TTL_MS} before.
   */
  get lossCount(): number {
    return this.#lossCount;
  }

  #findAbsent(nowMs: number): void {
    this.#countedMs = nowMs;
    this.#gateways.forEach(({ heardMs }, name) => {
      if (nowMs - heardMs > KNOWN_TTL_MS) {
        this.#gateways.delete(name);
        this.#absent.delete(name);
        return;
      }
      if (nowMs - heardMs <= HEARD_TTL_MS || this.#absent.has(name)) return;
      this.#absent.add(name);
      this.#lossCount += 1;
    });
  }
}
