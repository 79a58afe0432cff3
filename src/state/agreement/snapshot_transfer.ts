/** Snapshots on their way from a leader to a member that is far behind. */
import type { SnapshotMark, SnapshotRequest } from "../../schema/mod.ts";
import {
  encodeSnapshot,
  type SnapshotImage,
  tryDecodeSnapshot,
} from "../log/replica_store.ts";
import { SNAPSHOT_PART_BYTES } from "./timing.ts";

/** One part of a snapshot on its way. */
export interface SnapshotPart {
  readonly mark: SnapshotMark;
  readonly state: Uint8Array;
  readonly offset: number;
  readonly last: boolean;
}

/** The parts of a snapshot, in order. */
export function splitSnapshot(image: SnapshotImage): SnapshotPart[] {
  const bytes = encodeSnapshot(image);
  const count = Math.ceil(bytes.length / SNAPSHOT_PART_BYTES);
  return Array.from({ length: count }, (_, part) => {
    const offset = part * SNAPSHOT_PART_BYTES;
    const end = offset + SNAPSHOT_PART_BYTES;
    return {
      mark: image.mark,
      state: bytes.subarray(offset, end),
      offset,
      last: end >= bytes.length,
    };
  });
}

/** Puts the parts of one snapshot at a time together. */
export class IncomingSnapshot {
  #from = "";
  #index = 0n;
  #parts: Uint8Array[] = [];
  #bytes = 0;

  /** Takes a part; the whole snapshot after the last, when none is missing. */
  tryComplete(
    from: string,
    request: SnapshotRequest,
  ): SnapshotImage | undefined {
    const index = request.mark?.index ?? 0n;
    if (request.offset === 0n) this.#start(from, index);
    const fits = this.#from === from && this.#index === index &&
      BigInt(this.#bytes) === request.offset;
    if (!fits) return undefined;
    this.#parts.push(request.state);
    this.#bytes += request.state.length;
    if (!request.last) return undefined;
    const whole = Buffer.concat(this.#parts);
    this.#start("", 0n);
    return tryDecodeSnapshot(whole);
  }

  #start(from: string, index: bigint): void {
    this.#from = from;
    this.#index = index;
    this.#parts = [];
    this.#bytes = 0;
  }
}
