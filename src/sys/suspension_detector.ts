/**
 * Detects that the process may have been suspended. The monotonic clock stands
 * still while a host is suspended and the wall clock does not, so the two
 * disagree afterwards. A wall clock that is adjusted looks the same. The answer
 * may therefore only make a process check again what it believes.
 */
import type { Clock } from "./clock.ts";

/** Difference between the two clocks that is no suspension, in milliseconds. */
const CLOCK_TOLERANCE_MS = 10;

/** Additional difference by drift, as a fraction of the elapsed time. */
const CLOCK_DRIFT_TOLERANCE = 0.05;

/** Compares the progress of the wall clock with that of the monotonic clock. */
export class SuspensionDetector {
  readonly #clock: Pick<Clock, "getWallMs" | "getMonotonicMs">;
  #wallMs: number;
  #monotonicMs: number;

  constructor(clock: Pick<Clock, "getWallMs" | "getMonotonicMs">) {
    this.#clock = clock;
    this.#wallMs = clock.getWallMs();
    this.#monotonicMs = clock.getMonotonicMs();
  }

  /** Whether the process may have been suspended since the previous call. */
  check(): boolean {
    const wallMs = this.#clock.getWallMs();
    const monotonicMs = this.#clock.getMonotonicMs();
    const elapsedMs = monotonicMs - this.#monotonicMs;
    const differenceMs = wallMs - this.#wallMs - elapsedMs;
    this.#wallMs = wallMs;
    this.#monotonicMs = monotonicMs;
    return Math.abs(differenceMs) >
      CLOCK_TOLERANCE_MS + elapsedMs * CLOCK_DRIFT_TOLERANCE;
  }
}
