/** Snapshots on their way from a leader to a member that is far behind. */
import type { SnapshotMark, SnapshotRequest } from "../../schema/mod.ts";
import {
  encodeSnapshot,
  type SnapshotImage,
  tryDecodeSnapshot,
} from "../log/replica_store.ts";
import { SNAPSHOT_CHUNK_BYTES } from "./timing.ts";

/** One part of a snapshot on its way. */
export interface SnapshotChunk {
  readonly mark: SnapshotMark;
  readonly state: Uint8Array;
  readonly offset: number;
  readonly last: boolean;
}

/** The parts of a snapshot, in order. */
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

/** Puts the parts of one snapshot at a time together. */
export class SnapshotAssembler {
  #sender = "";
  #index = 0n;
  #chunks: Uint8Array[] = [];
  #receivedBytes = 0;

  /** Takes a part; the whole snapshot after the last, when none is missing. */
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
    const whole = Buffer.concat(this.#chunks);
    this.#reset("", 0n);
    return tryDecodeSnapshot(whole);
  }

  #reset(from: string, index: bigint): void {
    this.#sender = from;
    this.#index = index;
    this.#chunks = [];
    this.#receivedBytes = 0;
  }
}
