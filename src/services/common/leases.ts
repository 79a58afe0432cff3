/**
 * Leases that a group's leader tracks in memory. A new leader grants every
 * holder a full lease, so that a change of leader never expires the lease of a
 * holder that is alive.
 */
import type { Clock } from "../../sys/clock.ts";

/** Tracks the time of the last renewal per holder. */
export class Leases<H> {
  readonly #clock: Clock;
  readonly #leaseMs: number;
  readonly #renewalTimes = new Map<H, number>();

  constructor(options: { clock: Clock; leaseMs: number }) {
    this.#clock = options.clock;
    this.#leaseMs = options.leaseMs;
  }

  renew(holder: H): void {
    this.#renewalTimes.set(holder, this.#clock.getMonotonicMs());
  }

  /**
   * Returns the holders whose lease has expired. Without leadership, forgets all
   * renewals and returns none.
   */
  getExpired(isLeader: boolean, holders: readonly H[]): H[] {
    if (!isLeader) {
      this.#renewalTimes.clear();
      return [];
    }
    const nowMs = this.#clock.getMonotonicMs();
    holders.filter((holder) => !this.#renewalTimes.has(holder))
      .forEach((holder) => this.#renewalTimes.set(holder, nowMs));
    return holders.filter((holder) =>
      nowMs - (this.#renewalTimes.get(holder) ?? nowMs) > this.#leaseMs
    );
  }
}
