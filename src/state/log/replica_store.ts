/**
 * Durable storage of one replica: log segments of framed records, and
 * snapshots.
 *
 * Segments are append-only: an entry whose index is already in the log replaces
 * that entry and all after it. A segment that follows a snapshot starts with
 * the snapshot's mark (its metadata) and the hard state (term and vote), so
 * that older segments can be removed.
 *
 * Older builds may have left a segment without number. It is the newest one, and
 * zero bytes may precede its frames. A start replaces it by a numbered one.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  type HardState,
  HardStateSchema,
  type LogEntry,
  type LogRecord,
  LogRecordSchema,
  type Membership,
  MessageCode,
  type SnapshotMark,
  SnapshotMarkSchema,
} from "../../schema/mod.ts";
import type { AppendFile, Folder } from "../../sys/files.ts";
import { ServingError } from "../../sys/errors.ts";
import { encodeFrame, findFrame, hasFrameAfter, scanFrames } from "./frame.ts";

/** Durable state that a replica starts from. */
export interface RecoveredState {
  readonly hardState: HardState;
  readonly mark: SnapshotMark;
  /** State of the newest snapshot, in parts; empty without a snapshot. */
  readonly snapshotParts: Uint8Array[];
  /** Entries after the snapshot, in order of their index. */
  readonly entries: LogEntry[];
  /** Bytes of log segments that were read. */
  readonly recoveredBytes: number;
}

/** A snapshot: its mark and the state, in parts. */
export interface SnapshotImage {
  readonly mark: SnapshotMark;
  readonly parts: readonly Uint8Array[];
}

const SEGMENT_PREFIX = "segment-";
const SNAPSHOT_PREFIX = "snapshot-";
const FILE_NUMBER_DIGITS = 16;

function formatFileName(prefix: string, number: number): string {
  return prefix + String(number).padStart(FILE_NUMBER_DIGITS, "0");
}

/** Segment that older builds began after a rewrite that a crash cut short. */
const UNNUMBERED_SEGMENT = formatFileName(SEGMENT_PREFIX, NaN);

/** Returns the numbers of the files whose names are `prefix` and a number. */
function getFileNumbers(prefix: string, names: readonly string[]): number[] {
  return names.filter((name) => name.startsWith(prefix))
    .map((name) => ({ name, number: Number(name.slice(prefix.length)) }))
    .filter(({ name, number }) =>
      Number.isSafeInteger(number) && formatFileName(prefix, number) === name
    )
    .map(({ number }) => number)
    .sort((a, b) => a - b);
}

/** Encodes a snapshot as frames: its mark, then its parts. */
export function encodeSnapshot(image: SnapshotImage): Uint8Array {
  const mark = encodeFrame(toBinary(SnapshotMarkSchema, image.mark));
  return Buffer.concat([mark, ...image.parts.map(encodeFrame)]);
}

/** Decodes a snapshot; undefined unless all bytes are valid frames. */
export function tryDecodeSnapshot(
  bytes: Uint8Array,
): SnapshotImage | undefined {
  const scan = scanFrames(bytes);
  if (scan.validBytes !== bytes.length) return undefined;
  const [mark, ...parts] = scan.payloads;
  if (mark === undefined) return undefined;
  return { mark: fromBinary(SnapshotMarkSchema, mark), parts };
}

/** Storage of one replica's log and snapshots. */
export class ReplicaStore {
  readonly #folder: Folder;
  #file: AppendFile | undefined;
  #segment = 0;
  #segmentBytes = 0;

  constructor(folder: Folder) {
    this.#folder = folder;
  }

  /** Size of the open segment in bytes. */
  get segmentBytes(): number {
    return this.#segmentBytes;
  }

  /** Reads the durable state and opens the last segment for appending. */
  async recover(): Promise<RecoveredState> {
    await this.#folder.removeTemporaryFiles();
    const names = await this.#folder.list();
    const snapshot = await this.#readSnapshot(names);
    const numbers = getFileNumbers(SEGMENT_PREFIX, names);
    const hasUnnumbered = names.includes(UNNUMBERED_SEGMENT);
    const segments = [
      ...numbers.map((number) => formatFileName(SEGMENT_PREFIX, number)),
      ...hasUnnumbered ? [UNNUMBERED_SEGMENT] : [],
    ];
    const replay = new LogReplay(snapshot.mark);
    let recoveredBytes = 0;
    for (const name of segments) {
      const last = name === segments.at(-1);
      recoveredBytes += await this.#readSegment(name, { last, replay });
    }
    const { hardState } = replay;
    const entries = replay.getEntries();
    this.#segment = numbers.at(-1) ?? 0;
    if (hasUnnumbered || replay.endsBeforeSnapshot) {
      // Replaying the segment without number again leads to the same log, so a
      // crash before its removal does no harm.
      await this.compact(snapshot.mark, { hardState, entries });
      if (hasUnnumbered) await this.#folder.remove(UNNUMBERED_SEGMENT);
    } else {
      this.#segment = Math.max(1, this.#segment);
      await this.#openSegment(this.#segmentBytes);
    }
    return {
      hardState,
      mark: snapshot.mark,
      snapshotParts: [...snapshot.parts],
      entries,
      recoveredBytes,
    };
  }

  /** Appends `records` as one frame; resolves once they are durable. */
  async append(records: readonly LogRecord[]): Promise<void> {
    const frame = encodeFrame(encodeRecords(records));
    const file = this.#getFile();
    await file.append(frame);
    await file.sync();
    this.#segmentBytes += frame.length;
  }

  /** Stores a snapshot; may run concurrently with appends. */
  async writeSnapshot(image: SnapshotImage): Promise<void> {
    const name = formatFileName(SNAPSHOT_PREFIX, Number(image.mark.index));
    await this.#folder.replace(name, encodeSnapshot(image));
  }

  /**
   * Starts a segment that holds `retained` after the stored snapshot at `mark`,
   * and removes older segments and snapshots. Must not run concurrently with an
   * append.
   */
  async compact(
    mark: SnapshotMark,
    retained: { hardState: HardState; entries: readonly LogEntry[] },
  ): Promise<void> {
    await this.#startSegment(mark, retained);
    const names = await this.#folder.list();
    const obsolete = [
      ...getFileNumbers(SEGMENT_PREFIX, names)
        .filter((number) => number < this.#segment)
        .map((number) => formatFileName(SEGMENT_PREFIX, number)),
      ...getFileNumbers(SNAPSHOT_PREFIX, names)
        .filter((number) => number < Number(mark.index))
        .map((number) => formatFileName(SNAPSHOT_PREFIX, number)),
    ];
    for (const name of obsolete) await this.#folder.remove(name);
  }

  /** Reads the newest stored snapshot; undefined if there is none. */
  async tryReadSnapshot(): Promise<SnapshotImage | undefined> {
    const image = await this.#readSnapshot(await this.#folder.list());
    return image.mark.index === 0n ? undefined : image;
  }

  async close(): Promise<void> {
    await this.#file?.close();
    this.#file = undefined;
  }

  #getFile(): AppendFile {
    if (this.#file === undefined) throw new Error("the store is not open");
    return this.#file;
  }

  async #startSegment(
    mark: SnapshotMark,
    retained: { hardState: HardState; entries: readonly LogEntry[] },
  ): Promise<void> {
    const records = [
      create(LogRecordSchema, { record: { case: "snapshot", value: mark } }),
      createHardStateRecord(retained.hardState),
      ...retained.entries.map(createEntryRecord),
    ];
    const frame = encodeFrame(encodeRecords(records));
    const next = this.#segment + 1;
    await this.#folder.replace(formatFileName(SEGMENT_PREFIX, next), frame);
    await this.#file?.close();
    this.#segment = next;
    await this.#openSegment(frame.length);
  }

  async #openSegment(keepBytes: number): Promise<void> {
    const name = formatFileName(SEGMENT_PREFIX, this.#segment);
    this.#file = await this.#folder.openAppend(name, keepBytes);
    this.#segmentBytes = keepBytes;
  }

  async #readSnapshot(names: readonly string[]): Promise<SnapshotImage> {
    const newest = getFileNumbers(SNAPSHOT_PREFIX, names).at(-1);
    if (newest === undefined) {
      return { mark: create(SnapshotMarkSchema), parts: [] };
    }
    const name = formatFileName(SNAPSHOT_PREFIX, newest);
    const bytes = await this.#folder.tryRead(name);
    // If a compaction has removed it meanwhile, there is a newer one.
    if (bytes === undefined) {
      return await this.#readSnapshot(await this.#folder.list());
    }
    const image = tryDecodeSnapshot(bytes);
    if (image === undefined) {
      throw this.#createCorruptError(
        name,
        0,
        "the snapshot is truncated or has an invalid checksum",
      );
    }
    return image;
  }

  async #readSegment(
    name: string,
    options: { last: boolean; replay: LogReplay },
  ): Promise<number> {
    const file = await this.#folder.tryRead(name) ?? new Uint8Array();
    const bytes = name === UNNUMBERED_SEGMENT
      ? file.subarray(findFrame(file))
      : file;
    const scan = scanFrames(bytes);
    const isTruncated = scan.validBytes < bytes.length;
    if (
      isTruncated && (!options.last || hasFrameAfter(bytes, scan.validBytes))
    ) {
      throw this.#createCorruptError(
        name,
        scan.validBytes,
        "an invalid frame is not at the end of the log",
      );
    }
    scan.payloads.flatMap(decodeRecords).forEach((record) => {
      if (!options.replay.accept(record)) {
        throw this.#createCorruptError(name, 0, "records are missing");
      }
    });
    this.#segmentBytes = scan.validBytes;
    return bytes.length;
  }

  #createCorruptError(
    name: string,
    offset: number,
    reason: string,
  ): ServingError {
    return new ServingError(MessageCode.RECORD_CORRUPT, {
      parameters: { path: `${this.#folder.path}/${name}`, offset, reason },
    });
  }
}

/**
 * Rebuilds the log from its records, in the order in which they were written.
 */
class LogReplay {
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

const LENGTH_BYTES = 4;

function encodeRecords(records: readonly LogRecord[]): Uint8Array {
  const parts = records.flatMap((record) => {
    const bytes = toBinary(LogRecordSchema, record);
    const length = Buffer.allocUnsafe(LENGTH_BYTES);
    length.writeUInt32LE(bytes.length);
    return [length, bytes];
  });
  return Buffer.concat(parts);
}

function decodeRecords(payload: Uint8Array): LogRecord[] {
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

/** Whether two memberships have the same voters and learners. */
export function isSameMembership(a: Membership, b: Membership): boolean {
  const describe = (membership: Membership) =>
    membership.members.map((member) => `${member.id}/${member.learner}`).sort()
      .join();
  return describe(a) === describe(b);
}
