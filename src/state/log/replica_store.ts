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
import { create } from "@bufbuild/protobuf";
import {
  type HardState,
  type LogEntry,
  type LogRecord,
  type Membership,
  MessageCode,
  type SnapshotMark,
  SnapshotMarkSchema,
} from "../../schema/mod.ts";
import type { AppendFile, Folder, ReadFile } from "../../sys/files.ts";
import { ServingError } from "../../sys/errors.ts";
import { findFrame, FrameDecoder, isTornFrame } from "./frame.ts";
import {
  createEntryRecord,
  createHardStateRecord,
  createSnapshotRecord,
  decodeRecords,
  encodeRecordFrames,
  LogReplay,
} from "./log_records.ts";
import {
  type DecodedSnapshot,
  encodeSnapshot,
  FILE_CHUNK_BYTES,
  readChunks,
  SnapshotDecoder,
  type SnapshotImage,
} from "./snapshot_file.ts";

export { createEntryRecord, createHardStateRecord } from "./log_records.ts";
export type { SnapshotImage } from "./snapshot_file.ts";

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

/** The newest snapshot, open for reading; the caller closes its file. */
export interface OpenSnapshot {
  readonly mark: SnapshotMark;
  readonly file: ReadFile;
}

/**
 * Maximum bytes of records that are made durable by one sync. A frame must not
 * span syncs, and all of its bytes are in memory.
 */
const MAX_APPEND_FRAME_BYTES = 4 << 20;

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
    const snapshot = await this.#readNewestSnapshot();
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
    if (hasUnnumbered) {
      // Replaying the segment without number again leads to the same log, so a
      // crash before its removal does no harm.
      this.#segment = numbers.at(-1) ?? 0;
      await this.compact(snapshot.mark, { hardState, entries });
      await this.#folder.remove(UNNUMBERED_SEGMENT);
    } else {
      this.#segment = numbers.at(-1) ?? 1;
      await this.#openSegment(this.#segmentBytes);
      if (replay.endsBeforeSnapshot) {
        await this.compact(snapshot.mark, { hardState, entries });
      }
    }
    return {
      hardState,
      mark: snapshot.mark,
      snapshotParts: snapshot.parts,
      entries,
      recoveredBytes,
    };
  }

  /** Appends `records`; resolves once they are durable. */
  async append(records: readonly LogRecord[]): Promise<void> {
    const file = this.#getFile();
    for (const frame of encodeRecordFrames(records, MAX_APPEND_FRAME_BYTES)) {
      await file.append(frame);
      await file.sync();
      this.#segmentBytes += frame.length;
    }
  }

  /**
   * Stores a snapshot, one chunk after the other; may run concurrently with
   * appends.
   */
  async writeSnapshot(image: SnapshotImage): Promise<void> {
    const name = formatFileName(SNAPSHOT_PREFIX, Number(image.mark.index));
    await this.#folder.replaceInChunks(name, encodeSnapshot(image));
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

  /**
   * Opens the newest stored snapshot after checking all of it; undefined if there
   * is none.
   */
  async tryOpenSnapshot(): Promise<OpenSnapshot | undefined> {
    const opened = await this.#tryOpenNewest();
    if (opened === undefined) return undefined;
    try {
      const { mark } = await this.#readSnapshot({
        ...opened,
        keepsParts: false,
      });
      return { mark, file: opened.file };
    } catch (error) {
      await opened.file.close();
      throw error;
    }
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
    const next = this.#segment + 1;
    const bytes = await this.#folder.replaceInChunks(
      formatFileName(SEGMENT_PREFIX, next),
      encodeRecordFrames(createRecords(mark, retained), FILE_CHUNK_BYTES),
    );
    await this.#file?.close();
    this.#segment = next;
    await this.#openSegment(bytes);
  }

  async #openSegment(keepBytes: number): Promise<void> {
    const name = formatFileName(SEGMENT_PREFIX, this.#segment);
    this.#file = await this.#folder.openAppend(name, keepBytes);
    this.#segmentBytes = keepBytes;
  }

  async #tryOpenNewest(): Promise<
    { name: string; file: ReadFile } | undefined
  > {
    const names = await this.#folder.list();
    const number = getFileNumbers(SNAPSHOT_PREFIX, names).at(-1);
    if (number === undefined) return undefined;
    const name = formatFileName(SNAPSHOT_PREFIX, number);
    const file = await this.#folder.tryOpenRead(name);
    // If a compaction has removed it meanwhile, there is a newer one.
    return file === undefined ? await this.#tryOpenNewest() : { name, file };
  }

  async #readSnapshot(
    options: { name: string; file: ReadFile; keepsParts: boolean },
  ): Promise<DecodedSnapshot> {
    const decoder = new SnapshotDecoder(options);
    await readChunks(options.file, 0, (chunk) => decoder.add(chunk));
    const snapshot = decoder.tryFinish();
    if (snapshot !== undefined) return snapshot;
    throw this.#createCorruptError(
      options.name,
      0,
      "the snapshot is truncated or has an invalid checksum",
    );
  }

  async #readNewestSnapshot(): Promise<DecodedSnapshot> {
    const opened = await this.#tryOpenNewest();
    if (opened === undefined) {
      return { mark: create(SnapshotMarkSchema), parts: [] };
    }
    try {
      return await this.#readSnapshot({ ...opened, keepsParts: true });
    } finally {
      await opened.file.close();
    }
  }

  async #readSegment(
    name: string,
    options: { last: boolean; replay: LogReplay },
  ): Promise<number> {
    const file = await this.#folder.tryOpenRead(name);
    if (file === undefined) return 0;
    try {
      const start = name === UNNUMBERED_SEGMENT
        ? findFrame(await file.read(0, file.bytes))
        : 0;
      const decoder = new FrameDecoder();
      await readChunks(
        file,
        start,
        (chunk) =>
          decoder.add(chunk).flatMap(decodeRecords).forEach((record) => {
            if (options.replay.accept(record)) return;
            throw this.#createCorruptError(name, 0, "records are missing");
          }),
      );
      const end = start + decoder.validBytes;
      const rest = await file.read(end, file.bytes - end);
      const isCut = rest.length > 0;
      if (isCut && (!options.last || !isTornFrame(rest, end))) {
        throw this.#createCorruptError(
          name,
          end,
          "an invalid frame is not at the end of the log",
        );
      }
      this.#segmentBytes = decoder.validBytes;
      return file.bytes;
    } finally {
      await file.close();
    }
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

function* createRecords(
  mark: SnapshotMark,
  retained: { hardState: HardState; entries: readonly LogEntry[] },
): Iterable<LogRecord> {
  yield createSnapshotRecord(mark);
  yield createHardStateRecord(retained.hardState);
  for (const entry of retained.entries) yield createEntryRecord(entry);
}

/** Whether two memberships have the same voters and learners. */
export function isSameMembership(a: Membership, b: Membership): boolean {
  const describe = (membership: Membership) =>
    membership.members.map((member) => `${member.id}/${member.learner}`).sort()
      .join();
  return describe(a) === describe(b);
}
