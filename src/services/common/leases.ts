/**
 * Leases that a group's leader holds in memory. A new leader gives everybody a
 * full lease, so that a change of leader never takes work from one that lives.
 */
import type { Clock } from "../../sys/clock.ts";

/** Renewal times by holder. */
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

  /** Holders whose lease has run out; none while this replica doesn't lead. */
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
