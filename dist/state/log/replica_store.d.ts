import { type HardState, type LogEntry, type LogRecord, type Membership, type SnapshotMark } from "../../schema/mod.ts";
import type { Folder } from "../../sys/files.ts";
/** What a replica knows when it starts. */
export interface RecoveredState {
    readonly hardState: HardState;
    readonly mark: SnapshotMark;
    /** Parts of the newest snapshot's state; empty without a snapshot. */
    readonly snapshotParts: Uint8Array[];
    /** Entries after the snapshot, in order. */
    readonly entries: LogEntry[];
    readonly recoveredBytes: number;
}
/** A snapshot that is ready to be stored or sent. */
export interface SnapshotImage {
    readonly mark: SnapshotMark;
    readonly parts: readonly Uint8Array[];
}
/** Encodes a snapshot as a file's bytes. */
export declare function encodeSnapshot(image: SnapshotImage): Uint8Array;
/** Decodes a snapshot; undefined when any byte of it is wrong. */
export declare function tryDecodeSnapshot(bytes: Uint8Array): SnapshotImage | undefined;
/** Storage of one replica's log. */
export declare class ReplicaStore {
    #private;
    constructor(folder: Folder);
    /** Bytes of the open segment. */
    get segmentBytes(): number;
    /** Reads everything that lasted and opens the log for appending. */
    recover(): Promise<RecoveredState>;
    /** Appends `records` as one frame and waits until they are durable. */
    append(records: readonly LogRecord[]): Promise<void>;
    /** Stores a snapshot beside the log; appends may go on meanwhile. */
    writeSnapshot(image: SnapshotImage): Promise<void>;
    /**
     * Starts a segment that holds `kept` after the stored snapshot at `mark` and
     * removes what the snapshot replaces. No append may run meanwhile.
     */
    compact(mark: SnapshotMark, kept: {
        hardState: HardState;
        entries: readonly LogEntry[];
    }): Promise<void>;
    /** The newest stored snapshot, or undefined when there is none. */
    tryReadSnapshot(): Promise<SnapshotImage | undefined>;
    close(): Promise<void>;
}
/** A record that holds one entry. */
export declare function createEntryRecord(entry: LogEntry): LogRecord;
/** A record that holds the term and the vote. */
export declare function createHardStateRecord(hardState: HardState): LogRecord;
/** Whether two memberships name the same members in the same roles. */
export declare function isSameMembership(a: Membership, b: Membership): boolean;
