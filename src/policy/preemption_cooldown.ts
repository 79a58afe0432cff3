/**
 * Prevents batch items from starting on a server during a burst of online
 * requests there. In such a burst every free slot is taken at once, so an item
 * that starts is preempted immediately: it delays a request and makes no
 * progress. In scenario trouble-2 of cartabaza-buylist, one item started 20
 * times in 2 s.
 */

/** Run time below which a preemption indicates a burst, in milliseconds. */
const SHORT_RUN_MS = 400;

/**
 * Time for which no item starts after a short run, in milliseconds. It costs at
 * most a tenth of the time between two bursts.
 */
const COOLDOWN_MS = 350;

/** Cooldowns of all servers. */
export class PreemptionCooldown {
  readonly #cooldownUntilMs = new Map<string, number>();

  /** Records that an item was preempted by an online request. */
  recordPreemption(server: string, ranMs: number, nowMs: number): void {
    if (ranMs >= SHORT_RUN_MS) return;
    this.#cooldownUntilMs.set(server, nowMs + COOLDOWN_MS);
  }

  /** Whether items may start on a server. */
  mayStart(server: string, nowMs: number): boolean {
    const untilMs = this.#cooldownUntilMs.get(server) ?? -Infinity;
    if (untilMs > nowMs) return false;
    this.#cooldownUntilMs.delete(server);
    return true;
  }
}
