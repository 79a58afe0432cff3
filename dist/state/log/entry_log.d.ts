/** The part of a replica's log that follows its snapshot, in memory. */
import type { LogEntry, SnapshotMark } from "../../schema/mod.ts";
/** Entries after a snapshot, addressed by index. */
export declare class EntryLog {
    #private;
    constructor(mark: SnapshotMark, entries: readonly LogEntry[]);
    /** Index of the snapshot below the entries. */
    get markIndex(): number;
    get lastIndex(): number;
    get lastTerm(): number;
    /** Term of the entry at `index`; undefined when it is not here. */
    tryGetTerm(index: number): number | undefined;
    tryGet(index: number): LogEntry | undefined;
    /** Entries from `index` on, at most `maxEntries` and about `maxBytes`. */
    slice(index: number, maxEntries: number, maxBytes: number): LogEntry[];
    /** All entries after `index`. */
    getAfter(index: number): LogEntry[];
    append(entry: LogEntry): void;
    /** Removes the entry at `index` and all after it. */
    truncateFrom(index: number): void;
    /** Drops entries up to `index`, which a snapshot now holds. */
    compactTo(index: number, term: number): void;
    /** Starts anew after a snapshot from elsewhere. */
    reset(index: number, term: number): void;
    /** The newest entry that satisfies `test`. */
    tryFindLast(test: (entry: LogEntry) => boolean): LogEntry | undefined;
}
/** Approximate bytes of an entry on the wire. */
export declare function getEntryBytes(entry: LogEntry): number;
