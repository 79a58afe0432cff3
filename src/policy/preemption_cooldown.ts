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

/**
 * Longest time for which no item starts after several short runs in succession, in
 * milliseconds: the rest of a burst of 2.4 s after the first two cooldowns.
 */
const MAX_COOLDOWN_MS = 1_400;

/** Cooldowns of all servers. */
export class PreemptionCooldown {
  readonly #cooldownUntilMs = new Map<string, number>();
  /** Last cooldown of each server, where successive ones grow. */
  readonly #lastMs = new Map<string, number>();

  /**
   * Records that an item was preempted by an online request. With `grows`, each short
   * run that follows another one doubles the cooldown.
   */
  recordPreemption(
    server: string,
    ranMs: number,
    nowMs: number,
    { grows = false }: { readonly grows?: boolean } = {},
  ): void {
    if (ranMs >= SHORT_RUN_MS) {
      this.#lastMs.delete(server);
      return;
    }
    const untilMs = this.#cooldownUntilMs.get(server) ?? -Infinity;
    // Runs that are preempted together count as one.
    if (grows && untilMs > nowMs) return;
    const lastMs = grows ? this.#lastMs.get(server) ?? 0 : 0;
    const ms = Math.min(MAX_COOLDOWN_MS, Math.max(COOLDOWN_MS, lastMs * 2));
    this.#lastMs.set(server, ms);
    this.#cooldownUntilMs.set(server, nowMs + ms);
  }

  /** Whether items may start on a server. */
  mayStart(server: string, nowMs: number): boolean {
    const untilMs = this.#cooldownUntilMs.get(server) ?? -Infinity;
    if (untilMs > nowMs) return false;
    this.#cooldownUntilMs.delete(server);
    return true;
  }
}
