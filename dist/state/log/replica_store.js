/**
 * Durable part of one replica: segments of framed records and snapshots.
 *
 * A record with an index at or below the last one replaces everything from
 * that index on. A segment that follows a snapshot starts with the snapshot's
 * mark and the vote, so that older segments can be removed.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { HardStateSchema, LogRecordSchema, MessageCode, SnapshotMarkSchema, } from "../../schema/mod.js";
import { ServingError } from "../../sys/errors.js";
import { encodeFrame, hasFrameAfter, scanFrames } from "./frame.js";
const SEGMENT_PREFIX = "segment-";
const SNAPSHOT_PREFIX = "snapshot-";
const NAME_DIGITS = 16;
function formatName(prefix, number) {
    return prefix + String(number).padStart(NAME_DIGITS, "0");
}
function parseNumber(prefix, name) {
    return Number(name.slice(prefix.length));
}
/** Encodes a snapshot as a file's bytes. */
export function encodeSnapshot(image) {
    const mark = encodeFrame(toBinary(SnapshotMarkSchema, image.mark));
    return Buffer.concat([mark, ...image.parts.map(encodeFrame)]);
}
/** Decodes a snapshot; undefined when any byte of it is wrong. */
export function tryDecodeSnapshot(bytes) {
    const scan = scanFrames(bytes);
    if (scan.validBytes !== bytes.length)
        return undefined;
    const [mark, ...parts] = scan.payloads;
    if (mark === undefined)
        return undefined;
    return { mark: fromBinary(SnapshotMarkSchema, mark), parts };
}
/** Storage of one replica's log. */
export class ReplicaStore {
    #folder;
    #file;
    #segment = 0;
    #segmentBytes = 0;
    constructor(folder) {
        this.#folder = folder;
    }
    /** Bytes of the open segment. */
    get segmentBytes() {
        return this.#segmentBytes;
    }
    /** Reads everything that lasted and opens the log for appending. */
    async recover() {
        const names = await this.#folder.list();
        const snapshot = await this.#readSnapshot(names);
        const segments = names.filter((name) => name.startsWith(SEGMENT_PREFIX));
        const replay = new Replay(snapshot.mark);
        let recoveredBytes = 0;
        for (const name of segments) {
            const last = name === segments.at(-1);
            recoveredBytes += await this.#readSegment(name, { last, replay });
        }
        const lastName = segments.at(-1);
        this.#segment = lastName === undefined
            ? 1
            : parseNumber(SEGMENT_PREFIX, lastName);
        this.#file = await this.#folder.openAppend(formatName(SEGMENT_PREFIX, this.#segment), this.#segmentBytes);
        return {
            hardState: replay.hardState,
            mark: snapshot.mark,
            snapshotParts: [...snapshot.parts],
            entries: replay.getEntries(),
            recoveredBytes,
        };
    }
    /** Appends `records` as one frame and waits until they are durable. */
    async append(records) {
        const frame = encodeFrame(encodeRecords(records));
        const file = this.#getFile();
        await file.append(frame);
        await file.sync();
        this.#segmentBytes += frame.length;
    }
    /** Stores a snapshot beside the log; appends may go on meanwhile. */
    async writeSnapshot(image) {
        const name = formatName(SNAPSHOT_PREFIX, Number(image.mark.index));
        await this.#folder.replace(name, encodeSnapshot(image));
    }
    /**
     * Starts a segment that holds `kept` after the stored snapshot at `mark` and
     * removes what the snapshot replaces. No append may run meanwhile.
     */
    async compact(mark, kept) {
        await this.#startSegment(mark, kept);
        const names = await this.#folder.list();
        const stale = names.filter((name) => this.#isStale(name, Number(mark.index)));
        for (const name of stale)
            await this.#folder.remove(name);
    }
    /** The newest stored snapshot, or undefined when there is none. */
    async tryReadSnapshot() {
        const image = await this.#readSnapshot(await this.#folder.list());
        return image.mark.index === 0n ? undefined : image;
    }
    async close() {
        await this.#file?.close();
        this.#file = undefined;
    }
    #isStale(name, snapshotIndex) {
        if (name.startsWith(SEGMENT_PREFIX)) {
            return parseNumber(SEGMENT_PREFIX, name) < this.#segment;
        }
        if (name.startsWith(SNAPSHOT_PREFIX)) {
            return parseNumber(SNAPSHOT_PREFIX, name) < snapshotIndex;
        }
        return false;
    }
    #getFile() {
        if (this.#file === undefined)
            throw new Error("the store is not open");
        return this.#file;
    }
    async #startSegment(mark, kept) {
        const records = [
            create(LogRecordSchema, { record: { case: "snapshot", value: mark } }),
            createHardStateRecord(kept.hardState),
            ...kept.entries.map(createEntryRecord),
        ];
        const frame = encodeFrame(encodeRecords(records));
        const next = this.#segment + 1;
        await this.#folder.replace(formatName(SEGMENT_PREFIX, next), frame);
        await this.#file?.close();
        this.#segment = next;
        this.#segmentBytes = frame.length;
        this.#file = await this.#folder.openAppend(formatName(SEGMENT_PREFIX, next), frame.length);
    }
    async #readSnapshot(names) {
        const name = names.filter((one) => one.startsWith(SNAPSHOT_PREFIX) && !one.endsWith(".new")).at(-1);
        if (name === undefined) {
            return { mark: create(SnapshotMarkSchema), parts: [] };
        }
        const bytes = await this.#folder.tryRead(name) ?? new Uint8Array();
        const image = tryDecodeSnapshot(bytes);
        if (image === undefined) {
            throw this.#createCorruptError(name, 0, "the snapshot does not check");
        }
        return image;
    }
    async #readSegment(name, options) {
        const bytes = await this.#folder.tryRead(name) ?? new Uint8Array();
        const scan = scanFrames(bytes);
        const cut = scan.validBytes < bytes.length;
        if (cut && (!options.last || hasFrameAfter(bytes, scan.validBytes))) {
            throw this.#createCorruptError(name, scan.validBytes, "a record does not check and others follow it");
        }
        scan.payloads.flatMap(decodeRecords).forEach((record) => {
            if (!options.replay.accept(record)) {
                throw this.#createCorruptError(name, 0, "records are missing");
            }
        });
        this.#segmentBytes = scan.validBytes;
        return bytes.length;
    }
    #createCorruptError(name, offset, reason) {
        return new ServingError(MessageCode.RECORD_CORRUPT, {
            parameters: { path: `${this.#folder.path}/${name}`, offset, reason },
        });
    }
}
/** Rebuilds the log from records in the order they were written. */
class Replay {
    hardState = create(HardStateSchema);
    #entries = [];
    #markIndex;
    constructor(mark) {
        this.#markIndex = mark.index;
    }
    /** Takes one record; false when it leaves a gap. */
    accept(record) {
        switch (record.record.case) {
            case "hardState":
                this.hardState = record.record.value;
                return true;
            case "entry":
                return this.#acceptEntry(record.record.value);
            case "snapshot":
                return this.#acceptMark(record.record.value);
            default:
                return true;
        }
    }
    getEntries() {
        return this.#entries.filter((entry) => entry.index > this.#markIndex);
    }
    #acceptMark(mark) {
        if (mark.index > this.#markIndex)
            return false;
        this.#entries = [];
        return true;
    }
    #acceptEntry(entry) {
        const first = this.#entries[0]?.index;
        if (first === undefined) {
            if (entry.index > this.#markIndex + 1n)
                return false;
            this.#entries.push(entry);
            return true;
        }
        if (entry.index < first) {
            this.#entries = [entry];
            return true;
        }
        const position = Number(entry.index - first);
        if (position > this.#entries.length)
            return false;
        this.#entries.length = position;
        this.#entries.push(entry);
        return true;
    }
}
/** A record that holds one entry. */
export function createEntryRecord(entry) {
    return create(LogRecordSchema, { record: { case: "entry", value: entry } });
}
/** A record that holds the term and the vote. */
export function createHardStateRecord(hardState) {
    return create(LogRecordSchema, {
        record: { case: "hardState", value: hardState },
    });
}
const LENGTH_BYTES = 4;
function encodeRecords(records) {
    const parts = records.flatMap((record) => {
        const bytes = toBinary(LogRecordSchema, record);
        const length = Buffer.allocUnsafe(LENGTH_BYTES);
        length.writeUInt32LE(bytes.length);
        return [length, bytes];
    });
    return Buffer.concat(parts);
}
function decodeRecords(payload) {
    const view = Buffer.from(payload.buffer, payload.byteOffset, payload.length);
    const records = [];
    let offset = 0;
    while (offset < view.length) {
        const length = view.readUInt32LE(offset);
        const start = offset + LENGTH_BYTES;
        records.push(fromBinary(LogRecordSchema, view.subarray(start, start + length)));
        offset = start + length;
    }
    return records;
}
/** Whether two memberships name the same members in the same roles. */
export function isSameMembership(a, b) {
    const describe = (membership) => membership.members.map((member) => `${member.id}/${member.learner}`).sort()
        .join();
    return describe(a) === describe(b);
}
//# sourceMappingURL=replica_store.js.map