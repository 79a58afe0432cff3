/** Transfer of snapshots, in chunks, from a leader to a lagging member. */
import type { SnapshotMark, SnapshotRequest } from "../../schema/mod.ts";
import type { OpenSnapshot } from "../log/replica_store.ts";
import { type DecodedSnapshot, SnapshotDecoder } from "../log/snapshot_file.ts";
import { SNAPSHOT_CHUNK_BYTES } from "./timing.ts";

/** One chunk of an encoded snapshot. */
export interface SnapshotChunk {
  readonly mark: SnapshotMark;
  readonly state: Uint8Array;
  readonly offset: number;
  readonly last: boolean;
}

/** Reads the chunks of a stored snapshot, in order; holds one at a time. */
export async function* readSnapshotChunks(
  { mark, file }: OpenSnapshot,
): AsyncIterable<SnapshotChunk> {
  for (let offset = 0; offset < file.bytes; offset += SNAPSHOT_CHUNK_BYTES) {
    const state = await file.read(offset, SNAPSHOT_CHUNK_BYTES);
    const last = offset + SNAPSHOT_CHUNK_BYTES >= file.bytes;
    yield { mark, state, offset, last };
  }
}

/** Reassembles the chunks of one snapshot at a time. */
export class SnapshotAssembler {
  #sender = "";
  #index = 0n;
  #decoder = new SnapshotDecoder();
  #receivedBytes = 0;

  /**
   * Adds a chunk and returns the snapshot if it was the last one. Returns
   * undefined otherwise, and also if a chunk before it is missing or the
   * snapshot is corrupt.
   */
  tryAddChunk(
    from: string,
    request: SnapshotRequest,
  ): DecodedSnapshot | undefined {
    const index = request.mark?.index ?? 0n;
    if (request.offset === 0n) this.#reset(from, index);
    const isNextChunk = this.#sender === from && this.#index === index &&
      BigInt(this.#receivedBytes) === request.offset;
    if (!isNextChunk) return undefined;
    this.#decoder.add(request.state);
    this.#receivedBytes += request.state.length;
    if (!request.last) return undefined;
    const snapshot = this.#decoder.tryFinish();
    this.#reset("", 0n);
    return snapshot;
  }

  #reset(from: string, index: bigint): void {
    this.#sender = from;
    this.#index = index;
    this.#decoder = new SnapshotDecoder();
    this.#receivedBytes = 0;
  }
}
