/**
 * Keeps items away from a server while a burst of online requests runs there.
 * Answers the load pattern of bursts that take every slot as it frees: an item
 * that starts then leaves again at once, delays a request and gets nowhere
 * (cartabaza-buylist trouble-2: one item started 20 times in 2 s).
 */

/** A run shorter than this was driven out by a burst, in milliseconds. */
const SHORT_RUN_MS = 400;

/**
 * Time for which no item starts after a short run, in milliseconds: a tenth of
 * a valley between bursts is lost by it at the most.
 */
const COOLDOWN_MS = 350;

/** The gates of all servers. */
export class PreemptionCooldown {
  readonly #cooldownUntilMs = new Map<string, number>();

  /** A run of an item gave way to an online request. */
  recordPreemption(server: string, ranMs: number, nowMs: number): void {
    if (ranMs >= SHORT_RUN_MS) return;
    this.#cooldownUntilMs.set(server, nowMs + COOLDOWN_MS);
  }

  /** Whether items may start at a server. */
  mayStart(server: string, nowMs: number): boolean {
    const untilMs = this.#cooldownUntilMs.get(server) ?? -Infinity;
    if (untilMs > nowMs) return false;
    this.#cooldownUntilMs.delete(server);
    return true;
  }
}
