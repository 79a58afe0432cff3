/**
 * Frames of durable records: length, checksum of the payload, checksum of the
 * header, payload. One frame holds everything that one sync makes durable, so
 * a frame cut short by a crash is always the last of its file.
 */
import { crc32 } from "node:zlib";
/** Bytes before the payload of a frame. */
export const FRAME_HEADER_BYTES = 12;
const LENGTH_OFFSET = 0;
const PAYLOAD_SUM_OFFSET = 4;
const HEADER_SUM_OFFSET = 8;
/** Wraps `payload` in a frame. */
export function encodeFrame(payload) {
    const bytes = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
    bytes.writeUInt32LE(payload.length, LENGTH_OFFSET);
    bytes.writeUInt32LE(crc32(payload), PAYLOAD_SUM_OFFSET);
    const sum = crc32(bytes.subarray(0, HEADER_SUM_OFFSET));
    bytes.writeUInt32LE(sum, HEADER_SUM_OFFSET);
    bytes.set(payload, FRAME_HEADER_BYTES);
    return bytes;
}
/** The frame at `offset`, or undefined when the bytes there are not one. */
export function tryDecodeFrame(bytes, offset) {
    const view = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    if (offset + FRAME_HEADER_BYTES > view.length)
        return undefined;
    const sum = crc32(view.subarray(offset, offset + HEADER_SUM_OFFSET));
    if (sum !== view.readUInt32LE(offset + HEADER_SUM_OFFSET))
        return undefined;
    const length = view.readUInt32LE(offset + LENGTH_OFFSET);
    const start = offset + FRAME_HEADER_BYTES;
    if (start + length > view.length)
        return undefined;
    const payload = view.subarray(start, start + length);
    const expected = view.readUInt32LE(offset + PAYLOAD_SUM_OFFSET);
    if (crc32(payload) !== expected)
        return undefined;
    return { payload, endOffset: start + length };
}
/** Whether a whole frame starts anywhere at or after `offset`. */
export function hasFrameAfter(bytes, offset) {
    const last = bytes.length - FRAME_HEADER_BYTES;
    for (let at = offset; at <= last; at += 1) {
        const frame = tryDecodeFrame(bytes, at);
        if (frame !== undefined && frame.payload.length > 0)
            return true;
    }
    return false;
}
/** Reads frames from the start until the first bytes that are not one. */
export function scanFrames(bytes) {
    const payloads = [];
    let offset = 0;
    let frame = tryDecodeFrame(bytes, offset);
    while (frame !== undefined) {
        payloads.push(frame.payload);
        offset = frame.endOffset;
        frame = tryDecodeFrame(bytes, offset);
    }
    return { payloads, validBytes: offset };
}
//# sourceMappingURL=frame.js.map