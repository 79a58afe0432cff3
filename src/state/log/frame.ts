/**
 * Frames of durable records: length, checksum of the payload, checksum of the
 * header, payload. One frame holds everything that one sync makes durable, so
 * a frame cut short by a crash is always the last of its file.
 */
import { crc32 } from "node:zlib";

/** Bytes before the payload of a frame. */
export const FRAME_HEADER_BYTES = 12;

const LENGTH_OFFSET = 0;
const PAYLOAD_CRC_OFFSET = 4;
const HEADER_CRC_OFFSET = 8;

/** A frame's payload and where the next frame starts. */
export interface Frame {
  readonly payload: Uint8Array;
  readonly endOffset: number;
}

/** Wraps `payload` in a frame. */
export function encodeFrame(payload: Uint8Array): Uint8Array {
  const bytes = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
  bytes.writeUInt32LE(payload.length, LENGTH_OFFSET);
  bytes.writeUInt32LE(crc32(payload), PAYLOAD_CRC_OFFSET);
  const crc = crc32(bytes.subarray(0, HEADER_CRC_OFFSET));
  bytes.writeUInt32LE(crc, HEADER_CRC_OFFSET);
  bytes.set(payload, FRAME_HEADER_BYTES);
  return bytes;
}

/** The frame at `offset`, or undefined when the bytes there are not one. */
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

/** Whether a whole frame starts anywhere at or after `offset`. */
export function hasFrameAfter(bytes: Uint8Array, offset: number): boolean {
  const last = bytes.length - FRAME_HEADER_BYTES;
  for (let start = offset; start <= last; start += 1) {
    const frame = tryDecodeFrame(bytes, start);
    if (frame !== undefined && frame.payload.length > 0) return true;
  }
  return false;
}

/** The frames of a file and how many of its bytes they take. */
export interface FrameScan {
  readonly payloads: Uint8Array[];
  readonly validBytes: number;
}

/** Reads frames from the start until the first bytes that are not one. */
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
