/** Records of the log: their encoding in frames, and their replay. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  type HardState,
  HardStateSchema,
  type LogEntry,
  type LogRecord,
  LogRecordSchema,
  type SnapshotMark,
} from "../../schema/mod.ts";
import { encodeFrame } from "./frame.ts";

const LENGTH_BYTES = 4;

/** Creates the record of an entry. */
export function createEntryRecord(entry: LogEntry): LogRecord {
  return create(LogRecordSchema, { record: { case: "entry", value: entry } });
}

/** Creates the record of the hard state: the term and the vote. */
export function createHardStateRecord(hardState: HardState): LogRecord {
  return create(LogRecordSchema, {
    record: { case: "hardState", value: hardState },
  });
}

/** Creates the record of a snapshot that precedes the following entries. */
export function createSnapshotRecord(mark: SnapshotMark): LogRecord {
  return create(LogRecordSchema, { record: { case: "snapshot", value: mark } });
}

/**
 * Encodes records as frames of at most `maxBytes` each; a record that exceeds
 * that has a frame of its own. No more than one frame is held in memory.
 */
export function* encodeRecordFrames(
  records: Iterable<LogRecord>,
  maxBytes: number,
): Iterable<Uint8Array> {
  let parts: Uint8Array[] = [];
  let bytes = 0;
  for (const record of records) {
    const encoded = toBinary(LogRecordSchema, record);
    const length = Buffer.allocUnsafe(LENGTH_BYTES);
    length.writeUInt32LE(encoded.length);
    if (bytes > 0 && bytes + LENGTH_BYTES + encoded.length > maxBytes) {
      yield encodeFrame(parts);
      parts = [];
      bytes = 0;
    }
    parts.push(length, encoded);
    bytes += LENGTH_BYTES + encoded.length;
  }
  if (bytes > 0) yield encodeFrame(parts);
}

/** Decodes the records of a frame. */
export function decodeRecords(payload: Uint8Array): LogRecord[] {
  const view = Buffer.from(payload.buffer, payload.byteOffset, payload.length);
  const records: LogRecord[] = [];
  let offset = 0;
  while (offset < view.length) {
    const length = view.readUInt32LE(offset);
    const start = offset + LENGTH_BYTES;
    records.push(
      fromBinary(LogRecordSchema, view.subarray(start, start + length)),
    );
    offset = start + length;
  }
  return records;
}

/**
 * Rebuilds the log from its records, in the order in which they were written.
 */
export class LogReplay {
  hardState: HardState = create(HardStateSchema);
  #entries: LogEntry[] = [];
  readonly #snapshotIndex: bigint;

  constructor(mark: SnapshotMark) {
    this.#snapshotIndex = mark.index;
  }

  /**
   * Applies one record; false if entries or the snapshot before it are missing.
   */
  accept(record: LogRecord): boolean {
    switch (record.record.case) {
      case "hardState":
        this.hardState = record.record.value;
        return true;
      case "entry":
        return this.#acceptEntry(record.record.value);
      case "snapshot":
        return this.#acceptSnapshotMark(record.record.value);
      default:
        return true;
    }
  }

  /** Whether the snapshot covers entries that the log has never had. */
  get endsBeforeSnapshot(): boolean {
    const last = this.#entries.at(-1);
    return last !== undefined && last.index < this.#snapshotIndex;
  }

  getEntries(): LogEntry[] {
    return this.#entries.filter((entry) => entry.index > this.#snapshotIndex);
  }

  #acceptSnapshotMark(mark: SnapshotMark): boolean {
    if (mark.index > this.#snapshotIndex) return false;
    this.#entries = [];
    return true;
  }

  #acceptEntry(entry: LogEntry): boolean {
    const first = this.#entries[0]?.index ?? entry.index;
    const position = Number(entry.index - first);
    const follows = this.#entries.length > 0 && position >= 0 &&
      position <= this.#entries.length;
    if (follows) {
      this.#entries.length = position;
      this.#entries.push(entry);
      return true;
    }
    // The snapshot covers all entries of a gap before it: it was installed, and a
    // crash kept the segment from being replaced.
    if (position >= 0 && entry.index > this.#snapshotIndex + 1n) return false;
    this.#entries = [entry];
    return true;
  }
}
