/**
 * Events of a stream, over all answers that bring a part of it. Only this module decides
 * what an event is, which number it has, and what is kept of an answer that breaks off.
 *
 * By the format of server-sent events, an event is a block of lines with a data field.
 * Other blocks, such as comments, are no events: callers get them, and they count for
 * nothing. A block with an unknown field and no data is not of the format; it ends its
 * answer.
 *
 * In a numbered stream, the id of an event is its number. The first event is event 1,
 * and a server that is asked to go on after event n answers with event n + 1 and those
 * that follow it. Data without a number has no place in the stream, so no other answer
 * could go on after it: it ends its answer. Empty data without a number adds nothing and
 * counts as a comment. What is kept of an answer are the blocks before the one that
 * ended it.
 */
import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { IncomingHttpHeaders } from "../sys/http.ts";
import {
  decodeBlocks,
  EventSplitter,
  removeByteOrderMark,
} from "./event_splitter.ts";

/** An event that has a place in its stream. */
export interface NumberedEvent {
  /** Position in the stream; 1 for the first event. */
  readonly number: number;
  /** Lines of the data, separated by line feeds. */
  readonly data: string;
}

/** Blocks that became available together and belong to the stream. */
export interface AcceptedBlocks<E> {
  /** Bytes of the blocks, also of those that are no events. */
  readonly bytes: Buffer;
  readonly events: readonly E[];
  /** Why the block after them ends the answer; undefined if none does. */
  readonly fault: unknown;
}

/** An answer that is no part of the stream that was asked for. */
export class EventStreamError extends Error {
  /** Whether an event has another number than the next one. */
  readonly isMisnumbered: boolean;

  constructor(message: string, { isMisnumbered = false } = {}) {
    super(message);
    this.name = "EventStreamError";
    this.isMisnumbered = isMisnumbered;
  }
}

const EVENT_STREAM_TYPE = /^text\/event-stream\b/i;

/**
 * Whether a body may consist of events: it is encoded in no other way, and of that
 * type or of none.
 */
export function isEventStreamType(headers: IncomingHttpHeaders): boolean {
  const type = headers["content-type"];
  const encoding = headers["content-encoding"] ?? "identity";
  return (type === undefined || EVENT_STREAM_TYPE.test(type)) &&
    encoding === "identity";
}

/** Parses single blocks. */
class BlockParser {
  #event: EventSourceMessage | undefined;
  #unknownField: string | undefined;
  readonly #parser = createParser({
    onEvent: (event) => {
      this.#event = event;
    },
    onError: ({ type, field }) => {
      if (type === "unknown-field") this.#unknownField = field ?? "";
    },
  });

  /** Returns the event of a block; throws if the block is not of the format. */
  parse(block: Buffer): EventSourceMessage | undefined {
    this.#event = undefined;
    this.#unknownField = undefined;
    this.#parser.feed(decodeBlocks(block));
    // Servers may add lines of their own to an event.
    if (this.#event === undefined && this.#unknownField !== undefined) {
      throw new EventStreamError(`unknown field "${this.#unknownField}"`);
    }
    return this.#event;
  }
}

/** Options of an {@linkcode EventAnswer}. */
export interface EventAnswerOptions<E> {
  /**
   * Returns what the event of a block is in the stream, or undefined if it counts for
   * nothing. Throws if it has no place there.
   */
  readonly accept: (event: EventSourceMessage) => E | undefined;
  /** Whether bytes of an earlier answer precede this one; false by default. */
  readonly isContinuation?: boolean;
}

/** One answer that brings events of a stream. */
export class EventAnswer<E> {
  readonly #accept: (event: EventSourceMessage) => E | undefined;
  readonly #isContinuation: boolean;
  readonly #splitter = new EventSplitter();
  readonly #parser = new BlockParser();
  #isFirstBlock = true;
  #fault: unknown;

  constructor({ accept, isContinuation = false }: EventAnswerOptions<E>) {
    this.#accept = accept;
    this.#isContinuation = isContinuation;
  }

  /** Whether the answer so far ends inside an event, so that it has broken off. */
  get isInsideEvent(): boolean {
    return this.#splitter.isInsideEvent;
  }

  /** Bytes after the last complete block. */
  get rest(): Buffer {
    return this.#getForwardedBytes(this.#splitter.rest);
  }

  /**
   * Adds a chunk and returns the blocks that are complete with it. Once a block has
   * ended the answer, no further ones are returned. Throws if a block is too large.
   */
  push(chunk: Buffer): AcceptedBlocks<E> {
    const blocks = this.#fault === undefined
      ? this.#splitter.push(chunk)?.blocks ?? []
      : [];
    const accepted: Buffer[] = [];
    const events: E[] = [];
    // A block that can't be accepted ends the answer.
    blocks.every((block) => {
      try {
        const event = this.#parse(block);
        const acceptedEvent = event && this.#accept(event);
        accepted.push(this.#getForwardedBytes(block));
        if (acceptedEvent !== undefined) events.push(acceptedEvent);
        this.#isFirstBlock = false;
        return true;
      } catch (error) {
        this.#fault = error;
        return false;
      }
    });
    return {
      bytes: accepted.length === 1 && accepted[0] !== undefined
        ? accepted[0]
        : Buffer.concat(accepted),
      events,
      fault: this.#fault,
    };
  }

  #parse(block: Buffer): EventSourceMessage | undefined {
    return this.#parser.parse(
      this.#isFirstBlock ? removeByteOrderMark(block) : block,
    );
  }

  /** A mark of the byte order inside a stream would be taken for a part of a field. */
  #getForwardedBytes(bytes: Buffer): Buffer {
    return this.#isFirstBlock && this.#isContinuation
      ? removeByteOrderMark(bytes)
      : bytes;
  }
}

/** Returns the events of blocks that were accepted before. */
export function parseEvents(bytes: Buffer): EventSourceMessage[] {
  const events: EventSourceMessage[] = [];
  const answer = new EventAnswer({ accept: (event) => events.push(event) });
  answer.push(bytes);
  return events;
}

const NUMBER_PATTERN = /^\d+$/;

/** Returns the number of an event; undefined unless it is one of 53 bits. */
function tryGetNumber({ id = "" }: EventSourceMessage): number | undefined {
  const number = NUMBER_PATTERN.test(id) ? Number(id) : undefined;
  return Number.isSafeInteger(number) ? number : undefined;
}

/** Options of one answer of an {@linkcode EventStream}. */
export interface StreamAnswerOptions {
  /** Called before an event becomes part of the stream; throws if it must not. */
  readonly onEvent?: () => void;
  readonly isContinuation?: boolean;
}

/** The numbered events of one stream, in order and without gaps or repetitions. */
export class EventStream {
  #last: number | undefined;

  /** `after` is the last event that is there already; undefined for none. */
  constructor(after?: number) {
    this.#last = after;
  }

  /** Number of the last event; undefined before the first. */
  get last(): number | undefined {
    return this.#last;
  }

  /** Begins to read an answer that was asked for the events after the last one. */
  readAnswer(
    { onEvent = () => {}, isContinuation = false }: StreamAnswerOptions = {},
  ): EventAnswer<NumberedEvent> {
    return new EventAnswer({
      accept: (event) => this.#accept(event, onEvent),
      isContinuation,
    });
  }

  #accept(
    event: EventSourceMessage,
    onEvent: () => void,
  ): NumberedEvent | undefined {
    const number = tryGetNumber(event);
    if (number === undefined && event.data === "") return undefined;
    if (number === undefined) {
      throw new EventStreamError("an event with data has no number");
    }
    const expected = (this.#last ?? 0) + 1;
    if (number !== expected) {
      throw new EventStreamError(
        `event ${number} came in place of event ${expected}`,
        { isMisnumbered: true },
      );
    }
    onEvent();
    this.#last = number;
    return { number, data: event.data };
  }
}
