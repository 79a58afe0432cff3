/** In-memory part of a replica's log. */
import type { LogEntry, SnapshotMark } from "../../schema/mod.ts";

/**
 * Log entries after a base index, addressed by log index. A snapshot covers the
 * entries up to the base index.
 */
export class EntryLog {
  #baseIndex: number;
  #baseTerm: number;
  #entries: LogEntry[];

  constructor(mark: SnapshotMark, entries: readonly LogEntry[]) {
    this.#baseIndex = Number(mark.index);
    this.#baseTerm = Number(mark.term);
    this.#entries = [...entries];
  }

  /** Index of the entry before the first one in the log. */
  get baseIndex(): number {
    return this.#baseIndex;
  }

  get lastIndex(): number {
    return this.#baseIndex + this.#entries.length;
  }

  get lastTerm(): number {
    return this.tryGetTerm(this.lastIndex) ?? 0;
  }

  /** Term of the entry at `index`; undefined if the log does not hold it. */
  tryGetTerm(index: number): number | undefined {
    if (index === this.#baseIndex) return this.#baseTerm;
    const entry = this.tryGet(index);
    return entry === undefined ? undefined : Number(entry.term);
  }

  tryGet(index: number): LogEntry | undefined {
    return this.#entries[index - this.#baseIndex - 1];
  }

  /**
   * Returns the entries from `index` on, limited to `maxEntries` and
   * `maxBytes`. The first entry is returned even if it exceeds `maxBytes`.
   */
  slice(index: number, maxEntries: number, maxBytes: number): LogEntry[] {
    const start = index - this.#baseIndex - 1;
    const candidates = this.#entries.slice(start, start + maxEntries);
    let bytes = 0;
    const end = candidates.findIndex((entry) => {
      bytes += getEntryBytes(entry);
      return bytes > maxBytes;
    });
    return end <= 0
      ? candidates.slice(0, end === 0 ? 1 : undefined)
      : candidates.slice(0, end);
  }

  /** Returns all entries after `index`. */
  getAfter(index: number): LogEntry[] {
    return this.#entries.slice(Math.max(0, index - this.#baseIndex));
  }

  /**
   * Returns the lowest index after which the entries up to `index` are within the
   * limits.
   */
  getRetainedAfter(
    index: number,
    limits: { entries: number; bytes: number },
  ): number {
    const earliest = Math.max(this.#baseIndex, index - limits.entries);
    let bytes = 0;
    let after = index;
    while (after > earliest) {
      const entry = this.tryGet(after);
      bytes += entry === undefined ? 0 : getEntryBytes(entry);
      if (bytes > limits.bytes) break;
      after -= 1;
    }
    return after;
  }

  append(entry: LogEntry): void {
    this.#entries.push(entry);
  }

  /** Removes the entry at `index` and all after it. */
  truncateFrom(index: number): void {
    this.#entries.length = Math.max(0, index - this.#baseIndex - 1);
  }

  /** Drops the entries up to `index`, which a stored snapshot covers. */
  compactTo(index: number, term: number): void {
    this.#entries = this.getAfter(index);
    this.#baseIndex = index;
    this.#baseTerm = term;
  }

  /** Drops all entries and continues after an installed snapshot. */
  reset(index: number, term: number): void {
    this.#entries = [];
    this.#baseIndex = index;
    this.#baseTerm = term;
  }

  /** Returns the last entry that satisfies `test`. */
  tryFindLast(test: (entry: LogEntry) => boolean): LogEntry | undefined {
    return this.#entries.findLast(test);
  }
}

/** Estimated bytes of an encoded entry besides its command. */
const ENTRY_OVERHEAD_BYTES = 32;

/** Returns the approximate size of an encoded entry in bytes. */
export function getEntryBytes(entry: LogEntry): number {
  const command = entry.payload.case === "command"
    ? entry.payload.value.length
    : 0;
  return command + ENTRY_OVERHEAD_BYTES;
}
