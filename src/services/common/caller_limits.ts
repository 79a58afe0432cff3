/** Limits the concurrent requests of each caller at this entry. */
import { MessageCode } from "../../schema/mod.ts";
import { ServingError } from "../../sys/errors.ts";

/** Counts open requests per caller and enforces the limit. */
export class CallerLimits {
  readonly #limit: number;
  readonly #open = new Map<string, number>();
  #openCount = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Number of open requests of all callers. */
  get openCount(): number {
    return this.#openCount;
  }

  /**
   * Counts a request; throws TOO_MANY_STREAMS, with verdict NOT_RUN, if its
   * caller is at the limit.
   */
  admit(caller: string): void {
    const open = this.#open.get(caller) ?? 0;
    if (open >= this.#limit) {
      throw new ServingError(MessageCode.TOO_MANY_STREAMS, {
        parameters: { caller, limit: this.#limit },
        retryAfterS: 1,
      });
    }
    this.#open.set(caller, open + 1);
    this.#openCount += 1;
  }

  /** Stops counting an admitted request that has ended. */
  release(caller: string): void {
    const open = this.#open.get(caller) ?? 1;
    if (open <= 1) this.#open.delete(caller);
    else this.#open.set(caller, open - 1);
    this.#openCount -= 1;
  }
}
