/**
 * Logs whose last write was cut short, or in which a byte is damaged, with entries
 * that hold bytes of the form of frames, as callers may put into the bodies of items.
 */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import { type LogEntry, LogEntrySchema, MessageCode } from "../schema/mod.ts";
import { createEntryRecord, ReplicaStore } from "../state/mod.ts";
import { encodeFrame } from "../state/log/frame.ts";
import { encodeRecordFrames } from "../state/log/log_records.ts";
import { ServingError } from "../sys/errors.ts";
import { MemoryFolder } from "./memory_folder.ts";

const SEGMENT = "segment-0000000000000001";
/** Bytes that the runtime writes to a file at a time. */
const WRITE_BYTES = 512 << 10;
const PAGE_BYTES = 4096;
const HEADER_BYTES = 12;

/** Payloads of frames that a caller puts into a body, by name. */
const EMBEDDED = {
  "short frames": encodeFrame([Buffer.from("x")]),
  "frames of records": [...encodeRecordFrames([
    createEntryRecord(createEntry(3, Buffer.alloc(10))),
  ], Infinity)][0] ?? new Uint8Array(),
  "headers of long frames": encodeFrame([Buffer.alloc(60_000, 1)])
    .subarray(0, HEADER_BYTES),
} as const;

function createEntry(index: number, command: Uint8Array): LogEntry {
  return create(LogEntrySchema, {
    index: BigInt(index),
    term: 1n,
    payload: { case: "command", value: command },
  });
}

/** Frames of entries whose commands repeat `embedded`, one frame for each size. */
function encodeEntries(
  embedded: Uint8Array,
  sizes: readonly number[],
): Buffer[] {
  return sizes.flatMap((bytes, index) => {
    const command = Buffer.alloc(bytes, embedded);
    const record = createEntryRecord(createEntry(index + 1, command));
    return [...encodeRecordFrames([record], Infinity)];
  }).map((frame) => Buffer.from(frame));
}

/** Starts on a log that consists of `bytes`, and appends an entry to it. */
async function recoverIndexes(bytes: Uint8Array): Promise<number[]> {
  const folder = new MemoryFolder();
  const file = await folder.openAppend(SEGMENT, 0);
  await file.append(bytes);
  await file.sync();
  const store = new ReplicaStore(folder);
  const { entries } = await store.recover();
  const next = createEntry(entries.length + 1, Buffer.from("next"));
  await store.append([createEntryRecord(next)]);
  const again = await new ReplicaStore(folder).recover();
  expect(again.entries).length(entries.length + 1);
  return entries.map((entry) => Number(entry.index));
}

async function expectDamage(bytes: Uint8Array, what: string): Promise<void> {
  const error = await recoverIndexes(bytes).then(() => undefined, (e) => e);
  expect(error, what).instanceOf(ServingError);
  expect(error.code, what).equal(MessageCode.RECORD_CORRUPT);
}

function invertByte(bytes: Uint8Array, offset: number): Buffer {
  const damaged = Buffer.from(bytes);
  damaged[offset] = (damaged[offset] ?? 0) ^ 0xff;
  return damaged;
}

/** Returns `bytes` with zeros from `start` to `end`, as far as there are any. */
function clear(bytes: Uint8Array, start: number, end: number): Buffer {
  const cleared = Buffer.from(bytes);
  cleared.subarray(start, end).fill(0);
  return cleared;
}

/** Positions of a file of `bytes` at which pages begin. */
function getPages(bytes: number): number[] {
  return Array.from(
    { length: Math.ceil(bytes / PAGE_BYTES) },
    (_, page) => page * PAGE_BYTES,
  );
}

describe("torn frames", () => {
  Object.entries(EMBEDDED).forEach(([name, embedded]) => {
    // Guards against a store host that ends at each start after a kill, because bytes of
    // a body in the frame that was being written were taken for a later frame.
    it(`are dropped after a kill if their payloads hold ${name}`, async () => {
      const [first, last] = encodeEntries(embedded, [200, 300]);
      for (let cut = 0; cut < (last?.length ?? 0); cut += 1) {
        const torn = last?.subarray(0, cut) ?? new Uint8Array();
        const log = Buffer.concat([first ?? new Uint8Array(), torn]);
        expect(await recoverIndexes(log), `${cut} bytes`).deep.equal([1]);
      }
    });

    // Guards against the same after a loss of power, which keeps any of the writes
    // that a frame consists of.
    it(`are dropped after a loss of power if their payloads hold ${name}`, async () => {
      const [first, last] = encodeEntries(embedded, [200, 3 * WRITE_BYTES]);
      if (first === undefined || last === undefined) {
        throw new Error("no frames");
      }
      for (const missing of [0, 1, 2, 3]) {
        for (const kept of [0, 1, 7, HEADER_BYTES, 5000]) {
          const start = missing * WRITE_BYTES;
          const torn = clear(last, start + kept, start + WRITE_BYTES);
          const log = Buffer.concat([first, torn]);
          expect(await recoverIndexes(log), `write ${missing}, ${kept} bytes`)
            .deep.equal(torn.equals(last) ? [1, 2] : [1]);
        }
      }
    });

    // The same for a file system that writes pages in any order.
    it(`are dropped without one of their pages if their payloads hold ${name}`, async () => {
      const [first, last] = encodeEntries(embedded, [PAGE_BYTES - 300, 20_000]);
      if (first === undefined || last === undefined) {
        throw new Error("no frames");
      }
      const log = Buffer.concat([first, last]);
      for (const page of getPages(log.length)) {
        const start = Math.max(page, first.length);
        const torn = clear(log, start, page + PAGE_BYTES);
        expect(await recoverIndexes(torn), `page at ${page}`).deep.equal([1]);
      }
    });

    // Guards against losing entries that were durable: a damaged frame before another
    // one is no torn write, however little of the other one is there.
    it(`are told from damaged frames whose payloads hold ${name}`, async () => {
      const [first, second, third] = encodeEntries(embedded, [150, 150, 150]);
      if (first === undefined || second === undefined || third === undefined) {
        throw new Error("no frames");
      }
      for (const kept of [third.length, third.length - 1, HEADER_BYTES]) {
        const log = Buffer.concat([first, second, third.subarray(0, kept)]);
        for (let at = 0; at < first.length + second.length; at += 1) {
          await expectDamage(invertByte(log, at), `byte ${at}, ${kept} bytes`);
        }
      }
    });
  });

  // Guards against an entry that is lost because less than a header follows it.
  it("are told from damaged payloads before any further byte", async () => {
    const [first, second] = encodeEntries(EMBEDDED["short frames"], [150, 150]);
    if (first === undefined || second === undefined) {
      throw new Error("no frames");
    }
    const log = Buffer.concat([first, second, Buffer.alloc(1, 1)]);
    for (let at = first.length + HEADER_BYTES; at < log.length - 1; at += 1) {
      await expectDamage(invertByte(log, at), `byte ${at}`);
    }
  });

  // Guards against a start that takes time with the square of the bytes.
  it("are recognised in a few passes over their bytes", async () => {
    const header = encodeFrame([Buffer.alloc(1 << 20, 1)])
      .subarray(0, HEADER_BYTES);
    const [first, second] = encodeEntries(header, [150, 2 << 20]);
    if (first === undefined || second === undefined) {
      throw new Error("no frames");
    }
    await expectDamage(
      invertByte(Buffer.concat([first, second]), first.length),
      "first byte of a header",
    );
  });
});
