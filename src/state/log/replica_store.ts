/**
 * Durable storage of one replica: log segments of framed records, and
 * snapshots.
 *
 * Segments are append-only: an entry whose index is already in the log replaces
 * that entry and all after it. A segment that follows a snapshot starts with
 * the snapshot's mark (its metadata) and the hard state (term and vote), so
 * that older segments can be removed.
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
import { encodeFrame, hasFrameAfter, scanFrames } from "./frame.ts";

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

function parseFileNumber(prefix: string, name: string): number {
  return Number(name.slice(prefix.length));
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
    const names = await this.#folder.list();
    const snapshot = await this.#readSnapshot(names);
    const segments = names.filter((name) => name.startsWith(SEGMENT_PREFIX));
    const replay = new LogReplay(snapshot.mark);
    let recoveredBytes = 0;
    for (const name of segments) {
      const last = name === segments.at(-1);
      recoveredBytes += await this.#readSegment(name, { last, replay });
    }
    const lastName = segments.at(-1);
    this.#segment = lastName === undefined
      ? 1
      : parseFileNumber(SEGMENT_PREFIX, lastName);
    this.#file = await this.#folder.openAppend(
      formatFileName(SEGMENT_PREFIX, this.#segment),
      this.#segmentBytes,
    );
    return {
      hardState: replay.hardState,
      mark: snapshot.mark,
      snapshotParts: [...snapshot.parts],
      entries: replay.getEntries(),
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
    const obsolete = names.filter((name) =>
      this.#isObsolete(name, Number(mark.index))
    );
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

  #isObsolete(name: string, snapshotIndex: number): boolean {
    if (name.startsWith(SEGMENT_PREFIX)) {
      return parseFileNumber(SEGMENT_PREFIX, name) < this.#segment;
    }
    if (name.startsWith(SNAPSHOT_PREFIX)) {
      return parseFileNumber(SNAPSHOT_PREFIX, name) < snapshotIndex;
    }
    return false;
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
    this.#segmentBytes = frame.length;
    this.#file = await this.#folder.openAppend(
      formatFileName(SEGMENT_PREFIX, next),
      frame.length,
    );
  }

  async #readSnapshot(names: readonly string[]): Promise<SnapshotImage> {
    const name = names.filter((fileName) =>
      fileName.startsWith(SNAPSHOT_PREFIX) && !fileName.endsWith(".new")
    ).at(-1);
    if (name === undefined) {
      return { mark: create(SnapshotMarkSchema), parts: [] };
    }
    const bytes = await this.#folder.tryRead(name) ?? new Uint8Array();
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
    const bytes = await this.#folder.tryRead(name) ?? new Uint8Array();
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

  getEntries(): LogEntry[] {
    return this.#entries.filter((entry) => entry.index > this.#snapshotIndex);
  }

  #acceptSnapshotMark(mark: SnapshotMark): boolean {
    if (mark.index > this.#snapshotIndex) return false;
    this.#entries = [];
    return true;
  }

  #acceptEntry(entry: LogEntry): boolean {
    const first = this.#entries[0]?.index;
    if (first === undefined) {
      if (entry.index > this.#snapshotIndex + 1n) return false;
      this.#entries.push(entry);
      return true;
    }
    if (entry.index < first) {
      this.#entries = [entry];
      return true;
    }
    const position = Number(entry.index - first);
    if (position > this.#entries.length) return false;
    this.#entries.length = position;
    this.#entries.push(entry);
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
