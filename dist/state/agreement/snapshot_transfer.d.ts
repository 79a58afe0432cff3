/** Snapshots on their way from a leader to a member that is far behind. */
import type { SnapshotMark, SnapshotRequest } from "../../schema/mod.ts";
import { type SnapshotImage } from "../log/replica_store.ts";
/** One part of a snapshot on its way. */
export interface SnapshotPart {
    readonly mark: SnapshotMark;
    readonly state: Uint8Array;
    readonly offset: number;
    readonly last: boolean;
}
/** The parts of a snapshot, in order. */
export declare function splitSnapshot(image: SnapshotImage): SnapshotPart[];
/** Puts the parts of one snapshot at a time together. */
export declare class IncomingSnapshot {
    #private;
    /** Takes a part; the whole snapshot after the last, when none is missing. */
    tryComplete(from: string, request: SnapshotRequest): SnapshotImage | undefined;
}
