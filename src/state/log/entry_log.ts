/** The part of a replica's log that follows its snapshot, in memory. */
import type { LogEntry, SnapshotMark } from "../../schema/mod.ts";

/** Entries after a snapshot, addressed by index. */
export class EntryLog {
  #markIndex: number;
  #markTerm: number;
  #entries: LogEntry[];

  constructor(mark: SnapshotMark, entries: readonly LogEntry[]) {
    this.#markIndex = Number(mark.index);
    this.#markTerm = Number(mark.term);
    this.#entries = [...entries];
  }

  /** Index of the snapshot below the entries. */
  get markIndex(): number {
    return this.#markIndex;
  }

  get lastIndex(): number {
    return this.#markIndex + this.#entries.length;
  }

  get lastTerm(): number {
    return this.tryGetTerm(this.lastIndex) ?? 0;
  }

  /** Term of the entry at `index`; undefined when it is not here. */
  tryGetTerm(index: number): number | undefined {
    if (index === this.#markIndex) return this.#markTerm;
    const entry = this.tryGet(index);
    return entry === undefined ? undefined : Number(entry.term);
  }

  tryGet(index: number): LogEntry | undefined {
    return this.#entries[index - this.#markIndex - 1];
  }

  /** Entries from `index` on, at most `maxEntries` and about `maxBytes`. */
  slice(index: number, maxEntries: number, maxBytes: number): LogEntry[] {
    const start = index - this.#markIndex - 1;
    const window = this.#entries.slice(start, start + maxEntries);
    let bytes = 0;
    const end = window.findIndex((entry) => {
      bytes += getEntryBytes(entry);
      return bytes > maxBytes;
    });
    return end <= 0
      ? window.slice(0, end === 0 ? 1 : undefined)
      : window.slice(0, end);
  }

  /** All entries after `index`. */
  getAfter(index: number): LogEntry[] {
    return this.#entries.slice(Math.max(0, index - this.#markIndex));
  }

  append(entry: LogEntry): void {
    this.#entries.push(entry);
  }

  /** Removes the entry at `index` and all after it. */
  truncateFrom(index: number): void {
    this.#entries.length = Math.max(0, index - this.#markIndex - 1);
  }

  /** Drops entries up to `index`, which a snapshot now holds. */
  compactTo(index: number, term: number): void {
    this.#entries = this.getAfter(index);
    this.#markIndex = index;
    this.#markTerm = term;
  }

  /** Starts anew after a snapshot from elsewhere. */
  reset(index: number, term: number): void {
    this.#entries = [];
    this.#markIndex = index;
    this.#markTerm = term;
  }

  /** The newest entry that satisfies `test`. */
  tryFindLast(test: (entry: LogEntry) => boolean): LogEntry | undefined {
    return this.#entries.findLast(test);
  }
}

const ENTRY_OVERHEAD_BYTES = 32;

/** Approximate bytes of an entry on the wire. */
export function getEntryBytes(entry: LogEntry): number {
  const command = entry.payload.case === "command"
    ? entry.payload.value.length
    : 0;
  return command + ENTRY_OVERHEAD_BYTES;
}
