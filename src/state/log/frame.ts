/**
 * Frames of durable records. A frame consists of the payload length, the
 * payload checksum, the header checksum and the payload. One frame holds
 * everything that one sync makes durable, so a frame truncated by a crash is
 * always the last one of its file.
 */
import { crc32 } from "node:zlib";

/** Bytes of the header that precedes the payload. */
export const FRAME_HEADER_BYTES = 12;

/** Bytes of a file that reach a disk together, or not at all. */
const PAGE_BYTES = 4096;

const LENGTH_OFFSET = 0;
const PAYLOAD_CRC_OFFSET = 4;
const HEADER_CRC_OFFSET = 8;

/** A decoded frame. */
export interface Frame {
  readonly payload: Uint8Array;
  /** Offset of the next frame. */
  readonly endOffset: number;
}

/** Encodes the concatenation of `parts` as a frame. */
export function encodeFrame(parts: readonly Uint8Array[]): Uint8Array {
  const length = parts.reduce((sum, part) => sum + part.length, 0);
  const bytes = Buffer.allocUnsafe(FRAME_HEADER_BYTES + length);
  let offset = FRAME_HEADER_BYTES;
  parts.forEach((part) => {
    bytes.set(part, offset);
    offset += part.length;
  });
  bytes.writeUInt32LE(length, LENGTH_OFFSET);
  const payloadCrc = crc32(bytes.subarray(FRAME_HEADER_BYTES));
  bytes.writeUInt32LE(payloadCrc, PAYLOAD_CRC_OFFSET);
  const crc = crc32(bytes.subarray(0, HEADER_CRC_OFFSET));
  bytes.writeUInt32LE(crc, HEADER_CRC_OFFSET);
  return bytes;
}

/** Decodes a header; undefined when its checksum is invalid. */
function tryDecodeHeader(
  header: Uint8Array,
): { length: number; payloadCrc: number } | undefined {
  const view = Buffer.from(header.buffer, header.byteOffset, header.length);
  const crc = crc32(view.subarray(0, HEADER_CRC_OFFSET));
  if (crc !== view.readUInt32LE(HEADER_CRC_OFFSET)) return undefined;
  return {
    length: view.readUInt32LE(LENGTH_OFFSET),
    payloadCrc: view.readUInt32LE(PAYLOAD_CRC_OFFSET),
  };
}

/** Decodes the frame at `offset`; undefined when it is invalid or truncated. */
export function tryDecodeFrame(
  bytes: Uint8Array,
  offset: number,
): Frame | undefined {
  const start = offset + FRAME_HEADER_BYTES;
  if (start > bytes.length) return undefined;
  const header = tryDecodeHeader(bytes.subarray(offset, start));
  if (header === undefined || start + header.length > bytes.length) {
    return undefined;
  }
  const payload = bytes.subarray(start, start + header.length);
  if (crc32(payload) !== header.payloadCrc) return undefined;
  return { payload, endOffset: start + header.length };
}

/**
 * Whether a crash alone explains that `bytes`, which follow the last valid frame of a
 * file and begin at `offset` in it, are no valid frame: they are what has reached the
 * disk of one frame. Otherwise a frame that was durable is damaged. Payloads have no
 * influence on this, since callers choose a part of their bytes.
 */
export function isTornFrame(bytes: Uint8Array, offset: number): boolean {
  if (bytes.length < FRAME_HEADER_BYTES) return true;
  const header = tryDecodeHeader(bytes.subarray(0, FRAME_HEADER_BYTES));
  // A frame is written only once the one before is durable.
  if (header !== undefined) {
    return bytes.length <= FRAME_HEADER_BYTES + header.length;
  }
  return isHeaderMissing(bytes, offset) || !hasHeader(bytes);
}

/**
 * Whether the header was not written to the disk, though later bytes may have been. A
 * file has zero bytes in place of a missing write, up to the end of a page at least.
 */
function isHeaderMissing(bytes: Uint8Array, offset: number): boolean {
  const start = bytes.subarray(0, FRAME_HEADER_BYTES)
    .findLastIndex((byte) => byte !== 0) + 1;
  if (start === FRAME_HEADER_BYTES) return false;
  const length = bytes.subarray(start).findIndex((byte) => byte !== 0);
  if (length < 0) return true;
  const pageEnd = (Math.floor((offset + start) / PAGE_BYTES) + 1) * PAGE_BYTES;
  return length >= FRAME_HEADER_BYTES && offset + start + length >= pageEnd;
}

/** Whether a valid header of a frame that is not empty starts anywhere. */
function hasHeader(bytes: Uint8Array): boolean {
  const last = bytes.length - FRAME_HEADER_BYTES;
  for (let start = 0; start <= last; start += 1) {
    const header = tryDecodeHeader(
      bytes.subarray(start, start + FRAME_HEADER_BYTES),
    );
    if (header !== undefined && header.length > 0) return true;
  }
  return false;
}

/** Returns the offset of the first frame after zero bytes at the start. */
export function findFrame(bytes: Uint8Array): number {
  let offset = 0;
  while (bytes[offset] === 0 && tryDecodeFrame(bytes, offset) === undefined) {
    offset += 1;
  }
  return offset;
}

/**
 * Decodes frames from chunks of any size, up to the first invalid frame. Holds no
 * more than the payload of one frame, and each payload has a buffer of its own.
 */
export class FrameDecoder {
  #header: Uint8Array = new Uint8Array(FRAME_HEADER_BYTES);
  #headerBytes = 0;
  #payload: Uint8Array | undefined;
  #payloadBytes = 0;
  #payloadCrc = 0;
  #isInvalid = false;
  #validBytes = 0;

  /** Bytes of the frames that were decoded. */
  get validBytes(): number {
    return this.#validBytes;
  }

  /** Whether the chunks so far end with a whole frame. */
  get isComplete(): boolean {
    return !this.#isInvalid && this.#headerBytes === 0;
  }

  /** Adds a chunk and returns the payloads of the frames that it completes. */
  add(chunk: Uint8Array): Uint8Array[] {
    const payloads: Uint8Array[] = [];
    let rest = chunk;
    while (rest.length > 0 && !this.#isInvalid) {
      rest = this.#payload === undefined
        ? this.#addToHeader(rest)
        : this.#addToPayload(this.#payload, rest);
      const payload = this.#tryTakePayload();
      if (payload !== undefined) payloads.push(payload);
    }
    return payloads;
  }

  #addToHeader(bytes: Uint8Array): Uint8Array {
    const part = bytes.subarray(0, FRAME_HEADER_BYTES - this.#headerBytes);
    this.#header.set(part, this.#headerBytes);
    this.#headerBytes += part.length;
    if (this.#headerBytes === FRAME_HEADER_BYTES) {
      const header = tryDecodeHeader(this.#header);
      this.#isInvalid = header === undefined;
      this.#payload = new Uint8Array(header?.length ?? 0);
      this.#payloadCrc = header?.payloadCrc ?? 0;
      this.#payloadBytes = 0;
    }
    return bytes.subarray(part.length);
  }

  #addToPayload(payload: Uint8Array, bytes: Uint8Array): Uint8Array {
    const part = bytes.subarray(0, payload.length - this.#payloadBytes);
    payload.set(part, this.#payloadBytes);
    this.#payloadBytes += part.length;
    return bytes.subarray(part.length);
  }

  #tryTakePayload(): Uint8Array | undefined {
    const payload = this.#payload;
    const isWhole = payload !== undefined && !this.#isInvalid &&
      this.#payloadBytes === payload.length;
    if (!isWhole) return undefined;
    this.#isInvalid = crc32(payload) !== this.#payloadCrc;
    this.#payload = undefined;
    if (this.#isInvalid) return undefined;
    this.#headerBytes = 0;
    this.#validBytes += FRAME_HEADER_BYTES + payload.length;
    return payload;
  }
}

/** Joins consecutive chunks while they have at most `maxBytes` together. */
export function* joinChunks(
  chunks: Iterable<Uint8Array>,
  maxBytes: number,
): Iterable<Uint8Array> {
  let pending: Uint8Array[] = [];
  let bytes = 0;
  for (const chunk of chunks) {
    if (bytes > 0 && bytes + chunk.length > maxBytes) {
      yield Buffer.concat(pending);
      pending = [];
      bytes = 0;
    }
    pending.push(chunk);
    bytes += chunk.length;
  }
  if (bytes > 0) yield Buffer.concat(pending);
}

/** Valid frames at the start of a file. */
export interface FrameScan {
  readonly payloads: Uint8Array[];
  /** Bytes that the frames occupy. */
  readonly validBytes: number;
}

/** Decodes frames from the start, up to the first invalid or truncated one. */
export function scanFrames(bytes: Uint8Array): FrameScan {
  const decoder = new FrameDecoder();
  const payloads = decoder.add(bytes);
  return { payloads, validBytes: decoder.validBytes };
}
