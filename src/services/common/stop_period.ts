/**
 * The last part of a planned stop, in which a process takes only requests that end
 * in time. What is still open at its end is given up.
 */
import { setMaxListeners } from "node:events";
import { MessageCode, Verdict } from "../../schema/mod.ts";
import { ServingError } from "../../sys/errors.ts";

/** Creates the error of a request that another host can take at once. */
export function createStoppingError(
  verdict: Verdict = Verdict.NOT_RUN,
): ServingError {
  return new ServingError(MessageCode.HOST_STOPPING, {
    verdict,
    retryAfterS: verdict === Verdict.NOT_RUN ? 0 : undefined,
  });
}

/** What a process that stops still takes. */
export class StopPeriod {
  readonly #end = new AbortController();
  #lastDeadlineMs = Infinity;

  constructor() {
    // Each open request listens.
    setMaxListeners(0, this.#end.signal);
  }

  /** Aborted when the period ends. */
  get ended(): AbortSignal {
    return this.#end.signal;
  }

  /** Takes only requests with deadlines up to `lastDeadlineMs` from now on. */
  begin(lastDeadlineMs: number): void {
    this.#lastDeadlineMs = lastDeadlineMs;
  }

  /** Gives up what is still open. */
  end(): void {
    this.#end.abort();
  }

  /** Whether a request that may take until `deadlineMs` may be cut. */
  isTooLate(deadlineMs: number): boolean {
    return deadlineMs > this.#lastDeadlineMs;
  }

  /** Throws HOST_STOPPING if a request that may take until `deadlineMs` may be cut. */
  throwIfTooLate(deadlineMs: number): void {
    if (this.isTooLate(deadlineMs)) throw createStoppingError();
  }

  /**
   * Waits for a call, at most until the period ends; throws HOST_STOPPING with
   * `verdict` then.
   */
  async waitFor<T>(call: Promise<T>, verdict: Verdict): Promise<T> {
    let stop = () => {};
    const stopped = new Promise<never>((_, reject) => {
      stop = () => reject(createStoppingError(verdict));
    });
    if (this.ended.aborted) stop();
    this.ended.addEventListener("abort", stop);
    try {
      return await Promise.race([call, stopped]);
    } finally {
      this.ended.removeEventListener("abort", stop);
    }
  }
}
