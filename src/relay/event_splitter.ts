/**
 * Splits a byte stream into the blocks of server-sent events, without parsing them. A
 * block ends with an empty line; lines end with line feeds, carriage returns or pairs
 * of them. All bytes are kept as they are, so that callers get what servers sent.
 */

/** Complete blocks that became available together. */
export interface CompleteBlocks {
  /** Bytes of all blocks. */
  readonly bytes: Buffer;
  readonly blocks: readonly Buffer[];
}

/**
 * Maximum size of an event, in bytes. A server that sends more without the end of
 * the event sends no events.
 */
const MAX_EVENT_BYTES = 1 << 20;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY_LINE = Buffer.from("\n\n");
const EMPTY_RETURN_LINE = Buffer.from("\r\r");
/** A line end and the first byte of an empty line that may end with a pair. */
const EMPTY_PAIR_LINE_START = Buffer.from("\n\r");
const EMPTY_LINE_PATTERN = /(?:\r\n|\n|\r(?!\n)){2}/g;
const RETURN_PATTERN = /\r\n?/g;

/** Mark that may precede the first block. */
const BYTE_ORDER_MARK = Buffer.from("\uFEFF");

/** Returns `bytes` without a mark of the byte order at their start. */
export function removeByteOrderMark(bytes: Buffer): Buffer {
  const { length } = BYTE_ORDER_MARK;
  return bytes.subarray(0, length).equals(BYTE_ORDER_MARK)
    ? bytes.subarray(length)
    : bytes;
}

/** Returns blocks as text whose lines end with line feeds. */
export function decodeBlocks(bytes: Buffer): string {
  return bytes.toString("utf8").replaceAll(RETURN_PATTERN, "\n");
}

/** Buffers chunks of a stream and splits them into complete blocks. */
export class EventSplitter {
  /** Begins with the incomplete block; there may be space after it. */
  #buffer: Buffer = Buffer.alloc(0);
  #restBytes = 0;
  #isFirstBlock = true;

  /** Bytes of a block that is still incomplete. */
  get rest(): Buffer {
    return this.#buffer.subarray(0, this.#restBytes);
  }

  /** Whether more than comments and empty lines has arrived since the last block. */
  get isInsideEvent(): boolean {
    const rest = this.#isFirstBlock
      ? removeByteOrderMark(this.rest)
      : this.rest;
    return decodeBlocks(rest).split("\n")
      .some((line) => line !== "" && !line.startsWith(":"));
  }

  /**
   * Adds a chunk and returns the blocks that are complete with it, or undefined
   * if there are none. Throws if a block is too large.
   */
  push(chunk: Buffer): CompleteBlocks | undefined {
    // The bytes before hold no end of a block, except for its beginning.
    const searchStart = Math.max(0, this.#restBytes - EMPTY_LINE.length);
    this.#append(chunk);
    const buffered = this.rest;
    const length = findLastEnd(buffered.subarray(searchStart));
    if (length === undefined) {
      checkEventSize(buffered.length);
      return undefined;
    }
    const end = searchStart + length;
    this.#buffer = buffered.subarray(end);
    this.#restBytes = this.#buffer.length;
    this.#isFirstBlock = false;
    const bytes = buffered.subarray(0, end);
    return { bytes, blocks: splitBlocks(bytes) };
  }

  /**
   * Adds bytes to the incomplete block. The buffer doubles when it is full, so that
   * the cost of a block grows with its size and not with its number of chunks.
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

/** Returns the position after the last block that ends in `bytes`, if there is one. */
function findLastEnd(bytes: Buffer): number | undefined {
  const position = bytes.includes(CARRIAGE_RETURN)
    ? Math.max(
      bytes.lastIndexOf(EMPTY_LINE),
      bytes.lastIndexOf(EMPTY_RETURN_LINE),
      // The next byte tells whether it belongs to the end of the empty line.
      bytes.subarray(0, -1).lastIndexOf(EMPTY_PAIR_LINE_START),
    )
    : bytes.lastIndexOf(EMPTY_LINE);
  if (position < 0) return undefined;
  const end = position + EMPTY_LINE.length;
  const isPair = bytes[end - 1] === CARRIAGE_RETURN && bytes[end] === LINE_FEED;
  return isPair ? end + 1 : end;
}

/** Splits bytes that end with a block, or with an additional line end after one. */
function splitBlocks(bytes: Buffer): Buffer[] {
  const ends = bytes.includes(CARRIAGE_RETURN)
    ? findAllEnds(bytes)
    : findPlainEnds(bytes);
  return ends.map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end));
}

/** Returns the ends of blocks with any line ends; the last one is that of `bytes`. */
function findAllEnds(bytes: Buffer): number[] {
  const ends = [...bytes.toString("latin1").matchAll(EMPTY_LINE_PATTERN)]
    .map((match) => match.index + match[0].length);
  return ends.at(-1) === bytes.length ? ends : [...ends, bytes.length];
}

/** The same for blocks whose lines end with line feeds. */
function findPlainEnds(bytes: Buffer): number[] {
  const ends: number[] = [];
  let end = 0;
  while (end < bytes.length) {
    const position = bytes.indexOf(EMPTY_LINE, end);
    end = position < 0 ? bytes.length : position + EMPTY_LINE.length;
    ends.push(end);
  }
  return ends;
}
