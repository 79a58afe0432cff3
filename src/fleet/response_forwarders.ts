/**
 * Forwards a backend server's response to the caller: streamed as it arrives,
 * buffered until it is complete, or split at event boundaries so that another
 * server can continue it.
 */
import {
  type AcceptedBlocks,
  EventSplitter,
  EventStream,
  isEventStreamType,
  type NumberedEvent,
} from "../relay/mod.ts";
import { forEachChunk, limitChunks } from "../sys/body_chunks.ts";
import { getReason } from "../sys/errors.ts";
import type { HeadOptions } from "../sys/framed_response.ts";
import { discardBody, removeRawHopByHopHeaders } from "../sys/http.ts";
import type { BackendResponse } from "./backend_client.ts";
import type { CallerResponse } from "./caller_response.ts";

/** Result of forwarding one response. */
export type ForwardResult =
  | { readonly kind: "done" }
  /** The response ended prematurely, or skipped or repeated an event. */
  | { readonly kind: "broken"; readonly reason: string };

const DONE: ForwardResult = { kind: "done" };

/**
 * Maximum size of a response that is buffered until it is complete, in bytes.
 * Once a response exceeds it, the rest is streamed.
 */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Options of a {@linkcode ResponseForwarder}. */
export interface ForwarderOptions {
  /** Maximum size of the body of one response, in bytes; none by default. */
  readonly maxBytes?: number;
}

/**
 * Forwards the responses to one request to its caller. There are several if an
 * attempt fails and the request is retried.
 */
export abstract class ResponseForwarder {
  protected readonly caller: CallerResponse;
  readonly #maxBytes: number;
  #isSenderThere: () => Promise<boolean> = () => Promise.resolve(true);

  /** `maxBytes` is the largest body of a response that is forwarded. */
  constructor(caller: CallerResponse, { maxBytes }: ForwarderOptions = {}) {
    this.caller = caller;
    this.#maxBytes = maxBytes ?? Infinity;
  }

  /**
   * Number of the event after which the next server should resume; undefined to
   * start from the beginning.
   */
  abstract get resumeAfter(): number | undefined;

  /** Whether another server's response could still be forwarded. */
  abstract get canContinue(): boolean;

  /**
   * Forwards a response until it ends or `signal` is aborted. Errors are
   * returned as a "broken" result. `isSenderThere` tells whether the sender of the
   * response still is, and is asked if the response ended with its connection.
   */
  async forward(
    response: BackendResponse,
    signal: AbortSignal,
    isSenderThere: () => Promise<boolean> = () => Promise.resolve(true),
  ): Promise<ForwardResult> {
    this.#isSenderThere = isSenderThere;
    const abort = () => response.body.destroy();
    signal.addEventListener("abort", abort);
    try {
      const chunks = limitChunks(response.chunks, this.#maxBytes);
      return await this.forwardBody({ ...response, chunks });
    } catch (error) {
      return { kind: "broken", reason: getReason(error) };
    } finally {
      signal.removeEventListener("abort", abort);
    }
  }

  protected abstract forwardBody(
    response: BackendResponse,
  ): Promise<ForwardResult>;

  /**
   * Whether all of a response has arrived, as far as it can be known: one that
   * ends with its connection breaks off if its sender ended too.
   */
  protected async isWhole(response: BackendResponse): Promise<boolean> {
    return await response.isComplete() &&
      (response.isDelimited || await this.#isSenderThere());
  }

  /** Sends the head of a response without the headers in `omitted`. */
  protected sendHead(
    response: BackendResponse,
    options: HeadOptions & { readonly omitted?: ReadonlySet<string> } = {},
  ): void {
    const { omitted, isUnframed = !response.isDelimited } = options;
    this.caller.sendHead(
      response.status,
      removeRawHopByHopHeaders(response.body.rawHeaders, omitted),
      { isUnframed },
    );
  }
}

/** Forwards each chunk as it arrives. */
export class ChunkForwarder extends ResponseForwarder {
  override get resumeAfter(): number | undefined {
    return undefined;
  }

  override get canContinue(): boolean {
    return !this.caller.headSent;
  }

  protected override async forwardBody(
    response: BackendResponse,
  ): Promise<ForwardResult> {
    this.sendHead(response);
    await forEachChunk(response.chunks, (chunk) => this.caller.push(chunk));
    if (!(await this.isWhole(response))) return createTruncatedResult();
    this.caller.end();
    return DONE;
  }
}

/** Forwards the chunks of a stream of events that no other server continues. */
export class StreamForwarder extends ChunkForwarder {
  readonly #resumeAfter: number | undefined;

  constructor(
    caller: CallerResponse,
    resumeAfter: number | undefined,
    options: ForwarderOptions = {},
  ) {
    super(caller, options);
    this.#resumeAfter = resumeAfter;
  }

  override get resumeAfter(): number | undefined {
    return this.#resumeAfter;
  }

  protected override async forwardBody(
    response: BackendResponse,
  ): Promise<ForwardResult> {
    if (!isEventStream(response)) return await super.forwardBody(response);
    // Its events tell whether it broke off within one.
    this.sendHead(response, { isUnframed: false });
    const splitter = new EventSplitter();
    await forEachChunk(response.chunks, (chunk) => {
      splitter.push(chunk);
      return this.caller.push(chunk);
    });
    if (!(await this.isWhole(response))) return createTruncatedResult();
    if (splitter.isInsideEvent) return ENDED_INSIDE_EVENT;
    this.caller.end();
    return DONE;
  }
}

/**
 * Buffers a response until it is complete, unless it exceeds
 * {@linkcode MAX_BUFFERED_BYTES}. Until then, another server can be tried.
 */
export class BufferedForwarder extends ResponseForwarder {
  override get resumeAfter(): number | undefined {
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
    if (!(await this.isWhole(response))) return createTruncatedResult();
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
 * Forwards only complete events, so that another server can continue after the last
 * one. The status and headers are those of the first response that brought an event;
 * a response that breaks off before leaves nothing. A response that is no stream of
 * events is buffered.
 */
export class EventForwarder extends BufferedForwarder {
  readonly #stream: EventStream;
  /** Blocks before the first event, which are no events. */
  readonly #heldBlocks: Buffer[] = [];
  #heldBytes = 0;
  /** Number of the event after which an answer ended without any event. */
  #emptyAfter: number | undefined;
  readonly #onEvent: () => void;

  /**
   * `onEvent` is called before an event of a response becomes part of the caller's
   * stream, and throws if it must not.
   */
  constructor(
    caller: CallerResponse,
    resumeAfter: number | undefined,
    onEvent: () => void = () => {},
    options: ForwarderOptions = {},
  ) {
    super(caller, options);
    this.#stream = new EventStream(resumeAfter);
    this.#onEvent = onEvent;
  }

  override get resumeAfter(): number | undefined {
    return this.#stream.last;
  }

  /** Whether another server can continue: nothing was sent, or events were. */
  override get canContinue(): boolean {
    return !this.caller.headSent || this.#stream.last !== undefined;
  }

  protected override async forwardBody(
    response: BackendResponse,
  ): Promise<ForwardResult> {
    const isContinuation = this.caller.headSent;
    if (isContinuation && response.status !== 200) {
      discardBody(response.body);
      return { kind: "broken", reason: `status ${response.status}` };
    }
    if (isEventStream(response)) return await this.#forwardStream(response);
    if (isContinuation) {
      response.body.destroy();
      return { kind: "broken", reason: "the answer is no stream of events" };
    }
    return await super.forwardBody(response);
  }

  async #forwardStream(response: BackendResponse): Promise<ForwardResult> {
    const startEvent = this.#stream.last;
    const answer = this.#stream.readAnswer({
      onEvent: this.#onEvent,
      isContinuation: this.caller.headSent,
    });
    this.#takeHeld();
    await forEachChunk(response.chunks, (chunk) => {
      const blocks = answer.push(chunk);
      const forwarded = this.#forwardBlocks(blocks, response);
      if (blocks.fault === undefined) return forwarded;
      return Promise.resolve(forwarded).then(() => {
        throw blocks.fault;
      });
    });
    if (!(await this.isWhole(response))) return createTruncatedResult();
    if (answer.isInsideEvent) return ENDED_INSIDE_EVENT;
    const isEmptyContinuation = startEvent !== undefined &&
      this.#stream.last === startEvent;
    if (isEmptyContinuation && this.#emptyAfter !== startEvent) {
      this.#emptyAfter = startEvent;
      return {
        kind: "broken",
        reason:
          `one answer alone says that nothing follows event ${startEvent}`,
      };
    }
    await this.#sendHeld(response);
    if (answer.rest.length > 0) await this.caller.write(answer.rest);
    this.caller.end();
    return DONE;
  }

  /** Forwards complete blocks; before the first event, they are held back. */
  #forwardBlocks(
    { bytes, events }: AcceptedBlocks<NumberedEvent>,
    response: BackendResponse,
  ): true | Promise<true> {
    if (bytes.length === 0) return true;
    if (events.length === 0 && !this.caller.headSent) {
      this.#hold(bytes);
      return true;
    }
    const held = this.#sendHeld(response);
    return held === true
      ? this.caller.push(bytes)
      : held.then(() => this.caller.push(bytes));
  }

  #hold(bytes: Buffer): void {
    this.#heldBlocks.push(bytes);
    this.#heldBytes += bytes.length;
    if (this.#heldBytes > MAX_BUFFERED_BYTES) {
      throw new Error(`${MAX_BUFFERED_BYTES} bytes came without an event`);
    }
  }

  /** Sends the head, if it is not sent yet, and what was held back before it. */
  #sendHeld(response: BackendResponse): true | Promise<true> {
    // Another server may continue a stream with more bytes or fewer.
    if (!this.caller.headSent) {
      this.sendHead(response, { omitted: LENGTH_HEADERS, isUnframed: false });
    }
    const held = this.#takeHeld();
    return held.length === 0 || this.caller.push(held);
  }

  #takeHeld(): Buffer {
    this.#heldBytes = 0;
    return Buffer.concat(this.#heldBlocks.splice(0));
  }
}

const LENGTH_HEADERS: ReadonlySet<string> = new Set(["content-length"]);

const ENDED_INSIDE_EVENT: ForwardResult = {
  kind: "broken",
  reason: "the stream ended inside an event",
};

/** Whether the body of a response to a streaming request consists of events. */
function isEventStream({ status, headers }: BackendResponse): boolean {
  return status >= 200 && status < 300 && isEventStreamType(headers);
}

function createTruncatedResult(): ForwardResult {
  return { kind: "broken", reason: "the answer was cut short" };
}
