/**
 * How a backend server's answer reaches the caller: as it comes, held back
 * until it is whole, or cut at events so that another server can go on.
 */
import { EventSequence, EventSplitter, parseEvents } from "../relay/mod.ts";
import { getReason } from "../sys/errors.ts";
import { removeRawHopByHopHeaders } from "../sys/http.ts";
import type { BackendAnswer } from "./backend_call.ts";
import type { CallerAnswer } from "./caller_answer.ts";

/** How the passing of one answer ended. */
export type PassEnd =
  | { readonly kind: "done" }
  /** The answer broke off, or did not go on where it should. */
  | { readonly kind: "broken"; readonly reason: string };

const DONE: PassEnd = { kind: "done" };

/** Largest answer that is held back until it is whole, in bytes. */
const MAX_HELD_BYTES = 256 * 1024;

/** Passes answers of one request on to its caller. */
export abstract class AnswerPasser {
  protected readonly answer: CallerAnswer;

  constructor(answer: CallerAnswer) {
    this.answer = answer;
  }

  /** Number of the last event that was passed on; undefined without. */
  abstract get resumeAfter(): number | undefined;

  /** Whether another server's answer could still follow. */
  abstract get canGoOn(): boolean;

  /** Passes an answer on to its end. */
  async pass(answer: BackendAnswer, signal: AbortSignal): Promise<PassEnd> {
    const stop = () => answer.body.destroy();
    signal.addEventListener("abort", stop);
    try {
      return await this.passBody(answer);
    } catch (error) {
      return { kind: "broken", reason: getReason(error) };
    } finally {
      signal.removeEventListener("abort", stop);
    }
  }

  protected abstract passBody(answer: BackendAnswer): Promise<PassEnd>;

  protected begin(answer: BackendAnswer): void {
    this.answer.begin(
      answer.status,
      removeRawHopByHopHeaders(answer.body.rawHeaders),
    );
  }
}

/** Passes each piece on as it comes. */
export class StreamPasser extends AnswerPasser {
  readonly #resumeAfter: number | undefined;

  constructor(answer: CallerAnswer, resumeAfter: number | undefined) {
    super(answer);
    this.#resumeAfter = resumeAfter;
  }

  override get resumeAfter(): number | undefined {
    return this.#resumeAfter;
  }

  override get canGoOn(): boolean {
    return !this.answer.hasBegun;
  }

  protected override async passBody(answer: BackendAnswer): Promise<PassEnd> {
    this.begin(answer);
    for await (const chunk of answer.chunks) await this.answer.write(chunk);
    if (!answer.body.complete) return createCutShort();
    this.answer.end();
    return DONE;
  }
}

/** Holds an answer back until it is whole, as long as it is small. */
export class BufferedPasser extends AnswerPasser {
  override get resumeAfter(): undefined {
    return undefined;
  }

  override get canGoOn(): boolean {
    return !this.answer.hasBegun;
  }

  protected override async passBody(answer: BackendAnswer): Promise<PassEnd> {
    const held: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of answer.chunks) {
      bytes += chunk.length;
      if (this.answer.hasBegun) await this.answer.write(chunk);
      else held.push(chunk);
      if (bytes > MAX_HELD_BYTES) await this.#letGo(answer, held);
    }
    if (!answer.body.complete) return createCutShort();
    await this.#letGo(answer, held);
    this.answer.end();
    return DONE;
  }

  async #letGo(answer: BackendAnswer, held: Buffer[]): Promise<void> {
    if (this.answer.hasBegun) return;
    this.begin(answer);
    for (const chunk of held.splice(0)) await this.answer.write(chunk);
  }
}

/**
 * Passes whole events on, so that another server can go on after the last one.
 * The answer keeps the head of its first server.
 */
export class EventPasser extends AnswerPasser {
  #sequence: EventSequence;

  constructor(answer: CallerAnswer, resumeAfter: number | undefined) {
    super(answer);
    this.#sequence = new EventSequence(resumeAfter);
  }

  override get resumeAfter(): number | undefined {
    return this.#sequence.last;
  }

  /** An answer without numbered events can't be taken up in its midst. */
  override get canGoOn(): boolean {
    return !this.answer.hasBegun || this.#sequence.last !== undefined;
  }

  protected override async passBody(answer: BackendAnswer): Promise<PassEnd> {
    const isFollowUp = this.answer.hasBegun;
    if (isFollowUp && answer.status !== 200) {
      answer.body.resume();
      return { kind: "broken", reason: `status ${answer.status}` };
    }
    const splitter = new EventSplitter();
    for await (const chunk of answer.chunks) {
      const events = splitter.push(chunk);
      if (events === undefined) continue;
      const passed = this.#sequence.last;
      const isDue = parseEvents(events.bytes).every((event) =>
        this.#sequence.accept(event.id)
      );
      if (!isDue) {
        this.#sequence = new EventSequence(passed);
        answer.body.destroy();
        return { kind: "broken", reason: "an event is missing" };
      }
      if (!this.answer.hasBegun) this.begin(answer);
      await this.answer.write(events.bytes);
    }
    if (!answer.body.complete) return createCutShort();
    if (!this.answer.hasBegun) this.begin(answer);
    if (splitter.rest.length > 0) await this.answer.write(splitter.rest);
    this.answer.end();
    return DONE;
  }
}

function createCutShort(): PassEnd {
  return { kind: "broken", reason: "the answer was cut short" };
}
