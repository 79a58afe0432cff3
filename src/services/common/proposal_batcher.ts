/**
 * Commands of one process for one group, sent together. While a call is under
 * way others gather, so that calls grow with the load and their cost does not;
 * commands reach the group in the order in which they were given.
 */
import { MessageCode, Verdict } from "../../schema/mod.ts";
import type { Clock, Timer } from "../../sys/clock.ts";
import { ServingError } from "../../sys/errors.ts";

interface QueuedCommand {
  readonly command: Uint8Array;
  readonly deadlineMs: number;
  readonly timer: Timer;
  readonly resolve: (reply: Uint8Array) => void;
  readonly reject: (error: unknown) => void;
}

/** Most commands and bytes of one call. */
const MAX_COMMANDS = 512;
const MAX_BYTES = 1 << 20;

/** Gathers commands and sends them. */
export class ProposalBatcher {
  readonly #clock: Clock;
  readonly #send: (
    commands: Uint8Array[],
    timeoutMs: number,
  ) => Promise<Uint8Array[]>;
  readonly #queue: QueuedCommand[] = [];
  #isSending = false;

  constructor(options: {
    clock: Clock;
    send: (commands: Uint8Array[], timeoutMs: number) => Promise<Uint8Array[]>;
  }) {
    this.#clock = options.clock;
    this.#send = options.send;
  }

  /** Sends a command with others; its reply comes within `timeoutMs`. */
  add(command: Uint8Array, timeoutMs: number): Promise<Uint8Array> {
    return new Promise((resolve, reject) => {
      const timer = this.#clock.startTimer(
        timeoutMs,
        () => reject(createTimeoutError()),
      );
      const deadlineMs = this.#clock.getMonotonicMs() + timeoutMs;
      this.#queue.push({
        command,
        deadlineMs: deadlineMs,
        timer,
        resolve,
        reject,
      });
      if (!this.#isSending) this.#drainQueue();
    });
  }

  async #drainQueue(): Promise<void> {
    this.#isSending = true;
    // Commands given in the same turn go together.
    await Promise.resolve();
    while (this.#queue.length > 0) await this.#sendBatch(this.#takeBatch());
    this.#isSending = false;
  }

  #takeBatch(): QueuedCommand[] {
    let bytes = 0;
    const end = this.#queue.findIndex((waiting, index) => {
      bytes += waiting.command.length;
      return index >= MAX_COMMANDS || (index > 0 && bytes > MAX_BYTES);
    });
    return this.#queue.splice(0, end < 0 ? this.#queue.length : end);
  }

  async #sendBatch(batch: readonly QueuedCommand[]): Promise<void> {
    const nowMs = this.#clock.getMonotonicMs();
    const remainingMs =
      Math.max(...batch.map((waiting) => waiting.deadlineMs)) - nowMs;
    try {
      const commands = batch.map((waiting) => waiting.command);
      const replies = await this.#send(commands, remainingMs);
      batch.forEach((waiting, index) =>
        waiting.resolve(replies[index] ?? new Uint8Array())
      );
    } catch (error) {
      batch.forEach((waiting) => waiting.reject(error));
    } finally {
      batch.forEach((waiting) => waiting.timer.cancel());
    }
  }
}

function createTimeoutError(): ServingError {
  return new ServingError(MessageCode.STATE_UNREACHABLE, {
    verdict: Verdict.MAY_HAVE_RUN,
    parameters: { reason: "no answer in time" },
    retryAfterS: 1,
  });
}
