/**
 * Age of the state of a control host: a host that is cut off from its group goes on
 * sending what it knows, and can't tell that it is outdated.
 */
import type { Clock } from "../sys/clock.ts";
import { SuspensionDetector } from "../sys/suspension_detector.ts";

/** Measures the time since a replica was caught up with its leader. */
export class StateAge {
  readonly #isCaughtUp: () => boolean;
  readonly #clock: Clock;
  readonly #suspensionDetector: SuspensionDetector;
  #caughtUpMs = -Infinity;

  constructor(options: { isCaughtUp: () => boolean; clock: Clock }) {
    this.#isCaughtUp = options.isCaughtUp;
    this.#clock = options.clock;
    this.#suspensionDetector = new SuspensionDetector(options.clock);
  }

  /** Age in milliseconds; Infinity if the state was never confirmed. */
  getMs(): number {
    const nowMs = this.#clock.getMonotonicMs();
    // The monotonic clock does not count a suspension.
    if (this.#suspensionDetector.check()) this.#caughtUpMs = -Infinity;
    if (this.#isCaughtUp()) this.#caughtUpMs = nowMs;
    return nowMs - this.#caughtUpMs;
  }
}
