/**
 * Files of snapshots: the mark (the metadata) in one frame, then each part of the
 * state in a frame of its own. A transfer sends the bytes of the file.
 */
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { type SnapshotMark, SnapshotMarkSchema } from "../../schema/mod.ts";
import type { ReadFile } from "../../sys/files.ts";
import { encodeFrame, FrameDecoder, joinChunks } from "./frame.ts";

/** A snapshot: its mark and the state, in parts. */
export interface SnapshotImage {
  readonly mark: SnapshotMark;
  readonly parts: Iterable<Uint8Array>;
}

/** Bytes that are written to or read from a file at a time. */
export const FILE_CHUNK_BYTES = 256 * 1024;

/** Encodes a snapshot in chunks; parts are taken as the chunks are. */
export function encodeSnapshot(image: SnapshotImage): Iterable<Uint8Array> {
  return joinChunks(encodeSnapshotFrames(image), FILE_CHUNK_BYTES);
}

function* encodeSnapshotFrames(image: SnapshotImage): Iterable<Uint8Array> {
  yield encodeFrame([toBinary(SnapshotMarkSchema, image.mark)]);
  for (const part of image.parts) yield encodeFrame([part]);
}

/** A decoded snapshot. */
export interface DecodedSnapshot {
  readonly mark: SnapshotMark;
  readonly parts: Uint8Array[];
}

/** Decodes a snapshot from chunks of any size, or only checks it. */
export class SnapshotDecoder {
  readonly #keepsParts: boolean;
  readonly #frames = new FrameDecoder();
  #mark: SnapshotMark | undefined;
  #parts: Uint8Array[] = [];

  constructor(options: { keepsParts?: boolean } = {}) {
    this.#keepsParts = options.keepsParts ?? true;
  }

  add(chunk: Uint8Array): void {
    this.#frames.add(chunk).forEach((payload) => {
      if (this.#mark === undefined) {
        this.#mark = fromBinary(SnapshotMarkSchema, payload);
      } else if (this.#keepsParts) this.#parts.push(payload);
    });
  }

  /** Returns the snapshot; undefined unless all bytes were valid frames. */
  tryFinish(): DecodedSnapshot | undefined {
    const mark = this.#mark;
    return mark === undefined || !this.#frames.isComplete
      ? undefined
      : { mark, parts: this.#parts };
  }
}

/** Reads a file from `offset` on in chunks; each is passed to `accept`. */
export async function readChunks(
  file: ReadFile,
  offset: number,
  accept: (chunk: Uint8Array) => void,
): Promise<void> {
  for (let at = offset; at < file.bytes; at += FILE_CHUNK_BYTES) {
    accept(await file.read(at, FILE_CHUNK_BYTES));
  }
}
