/** Transfer of snapshots, in chunks, from a leader to a lagging member. */
import type { SnapshotMark, SnapshotRequest } from "../../schema/mod.ts";
import {
  encodeSnapshot,
  type SnapshotImage,
  tryDecodeSnapshot,
} from "../log/replica_store.ts";
import { SNAPSHOT_CHUNK_BYTES } from "./timing.ts";

/** One chunk of an encoded snapshot. */
export interface SnapshotChunk {
  readonly mark: SnapshotMark;
  readonly state: Uint8Array;
  readonly offset: number;
  readonly last: boolean;
}

/** Encodes a snapshot and splits it into chunks, in order. */
export function splitSnapshot(image: SnapshotImage): SnapshotChunk[] {
  const bytes = encodeSnapshot(image);
  const count = Math.ceil(bytes.length / SNAPSHOT_CHUNK_BYTES);
  return Array.from({ length: count }, (_, index) => {
    const offset = index * SNAPSHOT_CHUNK_BYTES;
    const end = offset + SNAPSHOT_CHUNK_BYTES;
    return {
      mark: image.mark,
      state: bytes.subarray(offset, end),
      offset,
      last: end >= bytes.length,
    };
  });
}

/** Reassembles the chunks of one snapshot at a time. */
export class SnapshotAssembler {
  #sender = "";
  #index = 0n;
  #chunks: Uint8Array[] = [];
  #receivedBytes = 0;

  /**
   * Adds a chunk and returns the snapshot if it was the last one. Returns
   * undefined otherwise, and also if a chunk before it is missing or the
   * snapshot is corrupt.
   */
  tryAddChunk(
    from: string,
    request: SnapshotRequest,
  ): SnapshotImage | undefined {
    const index = request.mark?.index ?? 0n;
    if (request.offset === 0n) this.#reset(from, index);
    const isNextChunk = this.#sender === from && this.#index === index &&
      BigInt(this.#receivedBytes) === request.offset;
    if (!isNextChunk) return undefined;
    this.#chunks.push(request.state);
    this.#receivedBytes += request.state.length;
    if (!request.last) return undefined;
    const encoded = Buffer.concat(this.#chunks);
    this.#reset("", 0n);
    return tryDecodeSnapshot(encoded);
  }

  #reset(from: string, index: bigint): void {
    this.#sender = from;
    this.#index = index;
    this.#chunks = [];
    this.#receivedBytes = 0;
  }
}
