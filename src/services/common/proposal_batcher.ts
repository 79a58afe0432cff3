/**
 * Batches the commands that one process sends to one group. Commands queue up
 * while a call is in flight, so that under load the calls become larger rather
 * than more frequent. Commands reach the group in the order in which they were
 * added.
 */
import type { Clock, Timer } from "../../sys/clock.ts";
import { createUnknownOutcomeError } from "./state_errors.ts";

/** Reply to a command. */
export interface ProposalReply {
  readonly reply: Uint8Array;
  /**
   * Whether the command may still be applied, by an attempt whose outcome is
   * unknown. A refusal is not final then.
   */
  readonly mayRunLater: boolean;
}

interface QueuedCommand {
  readonly command: Uint8Array;
  readonly deadlineMs: number;
  readonly timer: Timer;
  readonly resolve: (reply: ProposalReply) => void;
  readonly reject: (error: unknown) => void;
}

/** Limits of one call. A call of a single command may exceed MAX_BYTES. */
const MAX_COMMANDS = 512;
const MAX_BYTES = 1 << 20;

/** Queues commands and sends them in batches, one call at a time. */
export class ProposalBatcher {
  readonly #clock: Clock;
  readonly #send: (
    commands: Uint8Array[],
    timeoutMs: number,
  ) => Promise<ProposalReply[]>;
  readonly #queue: QueuedCommand[] = [];
  #isSending = false;

  constructor(options: {
    clock: Clock;
    send: (
      commands: Uint8Array[],
      timeoutMs: number,
    ) => Promise<ProposalReply[]>;
  }) {
    this.#clock = options.clock;
    this.#send = options.send;
  }

  /** Queues a command; rejects if there is no reply within `timeoutMs`. */
  add(command: Uint8Array, timeoutMs: number): Promise<ProposalReply> {
    return new Promise((resolve, reject) => {
      const timer = this.#clock.startTimer(
        timeoutMs,
        () => reject(createUnknownOutcomeError("no answer in time")),
      );
      const deadlineMs = this.#clock.getMonotonicMs() + timeoutMs;
      this.#queue.push({
        command,
        deadlineMs,
        timer,
        resolve,
        reject,
      });
      if (!this.#isSending) this.#drainQueue();
    });
  }

  async #drainQueue(): Promise<void> {
    this.#isSending = true;
    // Lets commands added in the same turn of the event loop join the batch.
    await Promise.resolve();
    while (this.#queue.length > 0) await this.#sendBatch(this.#takeBatch());
    this.#isSending = false;
  }

  #takeBatch(): QueuedCommand[] {
    let bytes = 0;
    const end = this.#queue.findIndex((queued, index) => {
      bytes += queued.command.length;
      return index >= MAX_COMMANDS || (index > 0 && bytes > MAX_BYTES);
    });
    return this.#queue.splice(0, end < 0 ? this.#queue.length : end);
  }

  async #sendBatch(batch: readonly QueuedCommand[]): Promise<void> {
    const nowMs = this.#clock.getMonotonicMs();
    const remainingMs = Math.max(...batch.map((queued) => queued.deadlineMs)) -
      nowMs;
    try {
      const commands = batch.map((queued) => queued.command);
      const replies = await this.#send(commands, remainingMs);
      batch.forEach((queued, index) => {
        const reply = replies[index];
        if (reply !== undefined) queued.resolve(reply);
      });
    } catch (error) {
      batch.forEach((queued) => queued.reject(error));
    } finally {
      batch.forEach((queued) => queued.timer.cancel());
    }
  }
}
