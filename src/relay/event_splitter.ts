/**
 * Splits a byte stream at the boundaries of server-sent events, without parsing
 * them. An event that is truncated by a failed connection is never forwarded,
 * so that a resumed stream delivers each token exactly once.
 */

/** Complete events that became available together. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** Whether the last event is the one that terminates the stream. */
  readonly isDone: boolean;
}

/**
 * Maximum size of an event, in bytes. A server that sends more without the end of
 * the event sends no events.
 */
const MAX_EVENT_BYTES = 1 << 20;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EVENT_DELIMITER = Buffer.from("\n\n");
/** Ends of an event, with either form of a line end. */
const EVENT_ENDS = [EVENT_DELIMITER, Buffer.from("\n\r\n")];
const DONE_EVENT = Buffer.from("data: [DONE]\n\n");

/** Buffers chunks of a stream and splits them into complete events. */
export class EventSplitter {
  /** Begins with the incomplete event; there may be space after it. */
  #buffer: Buffer = Buffer.alloc(0);
  #restBytes = 0;

  /** Bytes of an event that is still incomplete. */
  get rest(): Buffer {
    return this.#buffer.subarray(0, this.#restBytes);
  }

  /** Whether more than line ends between two events has arrived since the last. */
  get isInsideEvent(): boolean {
    return this.rest.some((byte) => byte !== LINE_FEED);
  }

  /**
   * Adds a chunk and returns the events that are complete with it, or undefined
   * if there are none. Throws if an event is too large.
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    // Lines of an event stream may also end with carriage returns. They can all
    // be removed, because JSON data contains none.
    const normalized = chunk.includes(0x0d)
      ? Buffer.from(chunk.toString("latin1").replaceAll("\r", ""), "latin1")
      : chunk;
    // The bytes before hold no delimiter, except for its beginning.
    const searchStart = Math.max(
      0,
      this.#restBytes - (EVENT_DELIMITER.length - 1),
    );
    this.#append(normalized);
    const buffered = this.rest;
    const position = buffered.subarray(searchStart)
      .lastIndexOf(EVENT_DELIMITER);
    if (position < 0) {
      checkEventSize(buffered.length);
      return undefined;
    }
    const end = searchStart + position + EVENT_DELIMITER.length;
    this.#buffer = buffered.subarray(end);
    this.#restBytes = this.#buffer.length;
    const bytes = buffered.subarray(0, end);
    return {
      bytes,
      count: countEvents(bytes),
      isDone: endsWithDoneEvent(bytes),
    };
  }

  /**
   * Adds bytes to the incomplete event. The buffer doubles when it is full, so that
   * the cost of an event grows with its size and not with its number of chunks.
   */
  #append(bytes: Buffer): void {
    const length = this.#restBytes + bytes.length;
    if (this.#restBytes === 0) this.#buffer = bytes;
    else {
      if (length > this.#buffer.length) {
        const larger = Buffer.allocUnsafe(
          Math.max(length, 2 * this.#buffer.length),
        );
        this.rest.copy(larger);
        this.#buffer = larger;
      }
      bytes.copy(this.#buffer, this.#restBytes);
    }
    this.#restBytes = length;
  }
}

/** Throws if an event, which is not complete yet, is too large. */
function checkEventSize(bytes: number): void {
  if (bytes > MAX_EVENT_BYTES) {
    throw new Error(`an event is larger than ${MAX_EVENT_BYTES} bytes`);
  }
}

/** Tells whether a stream of events has stopped inside an event, unbuffered. */
export class EventBoundaryDetector {
  #isEmpty = true;
  /** Bytes since the end of an event. */
  #eventBytes = 0;
  /** Line feeds at the end of the stream so far. */
  #trailingLineFeeds = 0;

  /** Whether the last byte so far belongs to an event that has not ended. */
  get isInsideEvent(): boolean {
    return !this.#isEmpty &&
      this.#trailingLineFeeds < EVENT_DELIMITER.length;
  }

  /** Adds a chunk. Throws if an event is too large. */
  push(chunk: Buffer): void {
    this.#countEventBytes(chunk);
    const contentEnd =
      chunk.findLastIndex((byte) =>
        byte !== LINE_FEED && byte !== CARRIAGE_RETURN
      ) + 1;
    if (contentEnd > 0) this.#trailingLineFeeds = 0;
    this.#isEmpty &&= contentEnd === 0;
    this.#trailingLineFeeds += chunk.subarray(contentEnd)
      .filter((byte) => byte === LINE_FEED).length;
  }

  #countEventBytes(chunk: Buffer): void {
    // An end that is divided between two chunks.
    if (!this.isInsideEvent) this.#eventBytes = 0;
    const end = getLastEventEnd(chunk);
    this.#eventBytes = chunk.length - end + (end > 0 ? 0 : this.#eventBytes);
    checkEventSize(this.#eventBytes);
  }
}

/** Returns the position after the last end of an event in a chunk; 0 for none. */
function getLastEventEnd(chunk: Buffer): number {
  return Math.max(
    ...EVENT_ENDS.map((end) => {
      const position = chunk.lastIndexOf(end);
      return position < 0 ? 0 : position + end.length;
    }),
  );
}

function countEvents(bytes: Buffer): number {
  let count = 0;
  let position = bytes.indexOf(EVENT_DELIMITER);
  while (position >= 0) {
    count += 1;
    position = bytes.indexOf(
      EVENT_DELIMITER,
      position + EVENT_DELIMITER.length,
    );
  }
  return count;
}

function endsWithDoneEvent(bytes: Buffer): boolean {
  const start = bytes.length - DONE_EVENT.length;
  if (start < 0 || !bytes.subarray(start).equals(DONE_EVENT)) return false;
  return start === 0 ||
    bytes.subarray(start - EVENT_DELIMITER.length, start).equals(
      EVENT_DELIMITER,
    );
}
