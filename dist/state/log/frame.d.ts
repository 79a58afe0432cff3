/** Bytes before the payload of a frame. */
export declare const FRAME_HEADER_BYTES = 12;
/** A frame's payload and where the next frame starts. */
export interface Frame {
    readonly payload: Uint8Array;
    readonly endOffset: number;
}
/** Wraps `payload` in a frame. */
export declare function encodeFrame(payload: Uint8Array): Uint8Array;
/** The frame at `offset`, or undefined when the bytes there are not one. */
export declare function tryDecodeFrame(bytes: Uint8Array, offset: number): Frame | undefined;
/** Whether a whole frame starts anywhere at or after `offset`. */
export declare function hasFrameAfter(bytes: Uint8Array, offset: number): boolean;
/** The frames of a file and how many of its bytes they take. */
export interface FrameScan {
    readonly payloads: Uint8Array[];
    readonly validBytes: number;
}
/** Reads frames from the start until the first bytes that are not one. */
export declare function scanFrames(bytes: Uint8Array): FrameScan;
