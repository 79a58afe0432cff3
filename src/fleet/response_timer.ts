/**
 * Times of one response: how long its first bytes took, and the mean time between
 * events. Server speeds are learned from them.
 */
import type { Clock } from "../sys/clock.ts";

/** Times of a response that has been read to its end. */
export interface ResponseTimes {
  readonly firstMs: number;
  /** Mean time between chunks; undefined if there were too few. */
  readonly eventMs: number | undefined;
  /** Slowdown that the server stated with the response; 1 if none. */
  readonly slowdown: number;
}

/** Options of a {@linkcode ResponseTimer}. */
export interface ResponseTimerOptions {
  readonly startedMs: number;
  readonly slowdown: number;
  readonly clock: Pick<Clock, "getMonotonicMs">;
  readonly onTimes: (times: ResponseTimes) => void;
}

/**
 * Chunks from which on the mean time between them is usable: with fewer, one late
 * chunk decides it.
 */
const MIN_CHUNKS = 5;

/** Measures the times of one response. */
export class ResponseTimer {
  readonly #options: ResponseTimerOptions;
  #firstAtMs = 0;
  #lastAtMs = 0;
  #chunks = 0;

  constructor(options: ResponseTimerOptions) {
    this.#options = options;
  }

  recordChunk(): void {
    this.#lastAtMs = this.#options.clock.getMonotonicMs();
    if (this.#chunks === 0) this.#firstAtMs = this.#lastAtMs;
    this.#chunks += 1;
  }

  /** Called once the response has been read to its end. */
  recordEnd(): void {
    if (this.#chunks === 0) return;
    const { startedMs, slowdown, onTimes } = this.#options;
    onTimes({
      firstMs: this.#firstAtMs - startedMs,
      eventMs: this.#chunks < MIN_CHUNKS
        ? undefined
        : (this.#lastAtMs - this.#firstAtMs) / (this.#chunks - 1),
      slowdown,
    });
  }
}
