/**
 * Frames of durable records. A frame consists of the payload length, the
 * payload checksum, the header checksum and the payload. One frame holds
 * everything that one sync makes durable, so a frame truncated by a crash is
 * always the last one of its file.
 */
import { crc32 } from "node:zlib";

/** Bytes of the header that precedes the payload. */
export const FRAME_HEADER_BYTES = 12;

const LENGTH_OFFSET = 0;
const PAYLOAD_CRC_OFFSET = 4;
const HEADER_CRC_OFFSET = 8;

/** A decoded frame. */
export interface Frame {
  readonly payload: Uint8Array;
  /** Offset of the next frame. */
  readonly endOffset: number;
}

/** Encodes `payload` as a frame. */
export function encodeFrame(payload: Uint8Array): Uint8Array {
  const bytes = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
  bytes.writeUInt32LE(payload.length, LENGTH_OFFSET);
  bytes.writeUInt32LE(crc32(payload), PAYLOAD_CRC_OFFSET);
  const crc = crc32(bytes.subarray(0, HEADER_CRC_OFFSET));
  bytes.writeUInt32LE(crc, HEADER_CRC_OFFSET);
  bytes.set(payload, FRAME_HEADER_BYTES);
  return bytes;
}

/** Decodes the frame at `offset`; undefined when it is invalid or truncated. */
export function tryDecodeFrame(
  bytes: Uint8Array,
  offset: number,
): Frame | undefined {
  const view = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  if (offset + FRAME_HEADER_BYTES > view.length) return undefined;
  const crc = crc32(view.subarray(offset, offset + HEADER_CRC_OFFSET));
  if (crc !== view.readUInt32LE(offset + HEADER_CRC_OFFSET)) return undefined;
  const length = view.readUInt32LE(offset + LENGTH_OFFSET);
  const start = offset + FRAME_HEADER_BYTES;
  if (start + length > view.length) return undefined;
  const payload = view.subarray(start, start + length);
  const payloadCrc = view.readUInt32LE(offset + PAYLOAD_CRC_OFFSET);
  if (crc32(payload) !== payloadCrc) return undefined;
  return { payload, endOffset: start + length };
}

/** Whether a valid, non-empty frame starts at `offset` or anywhere after it. */
export function hasFrameAfter(bytes: Uint8Array, offset: number): boolean {
  const last = bytes.length - FRAME_HEADER_BYTES;
  for (let start = offset; start <= last; start += 1) {
    const frame = tryDecodeFrame(bytes, start);
    if (frame !== undefined && frame.payload.length > 0) return true;
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

/** Valid frames at the start of a file. */
export interface FrameScan {
  readonly payloads: Uint8Array[];
  /** Bytes that the frames occupy. */
  readonly validBytes: number;
}

/** Decodes frames from the start, up to the first invalid or truncated one. */
export function scanFrames(bytes: Uint8Array): FrameScan {
  const payloads: Uint8Array[] = [];
  let offset = 0;
  let frame = tryDecodeFrame(bytes, offset);
  while (frame !== undefined) {
    payloads.push(frame.payload);
    offset = frame.endOffset;
    frame = tryDecodeFrame(bytes, offset);
  }
  return { payloads, validBytes: offset };
}
