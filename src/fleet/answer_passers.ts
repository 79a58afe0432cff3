/**
 * How a backend server's answer reaches the caller: as it comes, held back
 * until it is whole, or cut at events so that another server can go on.
 */
import { EventSequence, EventSplitter, parseEvents } from "../relay/mod.ts";
import { getReason } from "../sys/errors.ts";
import { removeRawHopByHopHeaders } from "../sys/http.ts";
import type { BackendResponse } from "./backend_call.ts";
import type { CallerResponse } from "./caller_answer.ts";

/** How the passing of one answer ended. */
export type ForwardResult =
  | { readonly kind: "done" }
  /** The answer broke off, or did not go on where it should. */
  | { readonly kind: "broken"; readonly reason: string };

const DONE: ForwardResult = { kind: "done" };

/** Largest answer that is held back until it is whole, in bytes. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Passes answers of one request on to its caller. */
export abstract class ResponseForwarder {
  protected readonly caller: CallerResponse;

  constructor(caller: CallerResponse) {
    this.caller = caller;
  }

  /** Number of the last event that was passed on; undefined without. */
  abstract get resumeAfter(): number | undefined;

  /** Whether another server's answer could still follow. */
  abstract get canContinue(): boolean;

  /** Passes an answer on to its end. */
  async forward(
    response: BackendResponse,
    signal: AbortSignal,
  ): Promise<ForwardResult> {
    const abort = () => response.body.destroy();
    signal.addEventListener("abort", abort);
    try {
      return await this.forwardBody(response);
    } catch (error) {
      return { kind: "broken", reason: getReason(error) };
    } finally {
      signal.removeEventListener("abort", abort);
    }
  }

  protected abstract forwardBody(
    response: BackendResponse,
  ): Promise<ForwardResult>;

  protected sendHead(response: BackendResponse): void {
    this.caller.sendHead(
      response.status,
      removeRawHopByHopHeaders(response.body.rawHeaders),
    );
  }
}

/** Passes each piece on as it comes. */
export class StreamForwarder extends ResponseForwarder {
  readonly #resumeAfter: number | undefined;

  constructor(caller: CallerResponse, resumeAfter: number | undefined) {
    super(caller);
    this.#resumeAfter = resumeAfter;
  }

  override get resumeAfter(): number | undefined {
    return this.#resumeAfter;
  }

  override get canContinue(): boolean {
    return !this.caller.headSent;
  }

  protected override async forwardBody(
    response: BackendResponse,
  ): Promise<ForwardResult> {
    this.sendHead(response);
    for await (const chunk of response.chunks) await this.caller.write(chunk);
    if (!response.body.complete) return createTruncatedResult();
    this.caller.end();
    return DONE;
  }
}

/** Holds an answer back until it is whole, as long as it is small. */
export class BufferedForwarder extends ResponseForwarder {
  override get resumeAfter(): undefined {
    return undefined;
  }

  override get canContinue(): boolean {
    return !this.caller.headSent;
  }

  protected override async forwardBody(
    response: BackendResponse,
  ): Promise<ForwardResult> {
    const buffered: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of response.chunks) {
      bytes += chunk.length;
      if (this.caller.headSent) await this.caller.write(chunk);
      else buffered.push(chunk);
      if (bytes > MAX_BUFFERED_BYTES) await this.#flush(response, buffered);
    }
    if (!response.body.complete) return createTruncatedResult();
    await this.#flush(response, buffered);
    this.caller.end();
    return DONE;
  }

  async #flush(response: BackendResponse, buffered: Buffer[]): Promise<void> {
    if (this.caller.headSent) return;
    this.sendHead(response);
    for (const chunk of buffered.splice(0)) await this.caller.write(chunk);
  }
}

/**
 * Passes whole events on, so that another server can go on after the last one.
 * The answer keeps the head of its first server.
 */
export class EventForwarder extends ResponseForwarder {
  #sequence: EventSequence;

  constructor(caller: CallerResponse, resumeAfter: number | undefined) {
    super(caller);
    this.#sequence = new EventSequence(resumeAfter);
  }

  override get resumeAfter(): number | undefined {
    return this.#sequence.last;
  }

  /** An answer without numbered events can't be taken up in its midst. */
  override get canContinue(): boolean {
    return !this.caller.headSent || this.#sequence.last !== undefined;
  }

  protected override async forwardBody(
    response: BackendResponse,
  ): Promise<ForwardResult> {
    const isContinuation = this.caller.headSent;
    if (isContinuation && response.status !== 200) {
      response.body.resume();
      return { kind: "broken", reason: `status ${response.status}` };
    }
    const splitter = new EventSplitter();
    for await (const chunk of response.chunks) {
      const events = splitter.push(chunk);
      if (events === undefined) continue;
      const lastForwarded = this.#sequence.last;
      const isContiguous = parseEvents(events.bytes).every((event) =>
        this.#sequence.accept(event.id)
      );
      if (!isContiguous) {
        this.#sequence = new EventSequence(lastForwarded);
        response.body.destroy();
        return { kind: "broken", reason: "an event is missing" };
      }
      if (!this.caller.headSent) this.sendHead(response);
      await this.caller.write(events.bytes);
    }
    if (!response.body.complete) return createTruncatedResult();
    if (!this.caller.headSent) this.sendHead(response);
    if (splitter.rest.length > 0) await this.caller.write(splitter.rest);
    this.caller.end();
    return DONE;
  }
}

function createTruncatedResult(): ForwardResult {
  return { kind: "broken", reason: "the answer was cut short" };
}
