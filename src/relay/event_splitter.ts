/**
 * Cuts a stream of bytes after whole events, without reading them. An event
 * that is cut short by a broken connection never passes on, so that a resumed
 * stream delivers each token once.
 */

/** Whole events of one piece of a stream. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** The last of them is the end mark of the stream. */
  readonly isDone: boolean;
}

const EVENT_DELIMITER = Buffer.from("\n\n");
const DONE_EVENT = Buffer.from("data: [DONE]\n\n");

/** Joins pieces of a stream and cuts them at events. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not whole yet. */
  get rest(): Buffer {
    return this.#rest;
  }

  /** The whole events that `chunk` completes; undefined when it does none. */
  push(chunk: Buffer): CompleteEvents | undefined {
    // Carriage returns may end lines of an event stream too; JSON has none.
    const normalized = chunk.includes(0x0d)
      ? Buffer.from(chunk.toString("latin1").replaceAll("\r", ""), "latin1")
      : chunk;
    const buffered = this.#rest.length === 0
      ? normalized
      : Buffer.concat([this.#rest, normalized]);
    const end = buffered.lastIndexOf(EVENT_DELIMITER) + EVENT_DELIMITER.length;
    if (end < EVENT_DELIMITER.length) {
      this.#rest = buffered;
      return undefined;
    }
    this.#rest = buffered.subarray(end);
    const bytes = buffered.subarray(0, end);
    return {
      bytes,
      count: countEvents(bytes),
      isDone: endsWithDoneEvent(bytes),
    };
  }
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
