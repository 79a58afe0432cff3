/** The replica store under crashes, torn writes, a full disk and corruption. */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import {
  HardStateSchema,
  LogEntrySchema,
  MessageCode,
  SnapshotMarkSchema,
} from "../schema/mod.ts";
import {
  createEntryRecord,
  createHardStateRecord,
  ReplicaStore,
} from "../state/mod.ts";
import { ServingError } from "../sys/errors.ts";
import { MemoryFolder } from "./memory_folder.ts";

const SEGMENT = "segment-0000000000000001";

function createEntry(index: number, term = 1) {
  return create(LogEntrySchema, {
    index: BigInt(index),
    term: BigInt(term),
    payload: { case: "command", value: new Uint8Array(20).fill(index) },
  });
}

async function writeEntries(folder: MemoryFolder, count: number) {
  const store = new ReplicaStore(folder);
  await store.recover();
  for (let index = 1; index <= count; index += 1) {
    await store.append([createEntryRecord(createEntry(index))]);
  }
  return store;
}

async function recoverIndexes(folder: MemoryFolder): Promise<number[]> {
  const recovered = await new ReplicaStore(folder).recover();
  return recovered.entries.map((entry) => Number(entry.index));
}

describe("replica store", () => {
  it("recovers what was synced after a crash at every step", async () => {
    for (let steps = 0; steps < 30; steps += 1) {
      const folder = new MemoryFolder();
      const store = new ReplicaStore(folder);
      await store.recover();
      folder.operationsLeft = steps;
      let acknowledged = 0;
      try {
        for (let index = 1; index <= 12; index += 1) {
          await store.append([createEntryRecord(createEntry(index))]);
          acknowledged = index;
          if (index !== 6) continue;
          const mark = create(SnapshotMarkSchema, { index: 4n, term: 1n });
          await store.writeSnapshot({ mark, parts: [new Uint8Array([7])] });
          await store.compact(mark, {
            hardState: create(HardStateSchema, { term: 1n }),
            entries: [createEntry(5), createEntry(6)],
          });
        }
      } catch {
        // The simulated disk failed; only acknowledged entries must survive.
      }
      folder.crash(steps % 40);
      const recovered = await new ReplicaStore(folder).recover();
      const last = recovered.entries.at(-1)?.index ?? recovered.mark.index;
      expect(Number(last), `after ${steps} steps`).least(acknowledged);
      const first = recovered.entries[0]?.index;
      if (first !== undefined) expect(first).equal(recovered.mark.index + 1n);
    }
  });

  it("drops a torn last frame of every length", async () => {
    const whole = new MemoryFolder();
    await writeEntries(whole, 3);
    const size = whole.getSize(SEGMENT);
    for (let cut = 1; cut < size / 3; cut += 1) {
      const folder = new MemoryFolder();
      const store = await writeEntries(folder, 2);
      const start = folder.getSize(SEGMENT);
      const file = await folder.openAppend(SEGMENT, start);
      const bytes = await whole.tryRead(SEGMENT) ?? new Uint8Array();
      await file.append(bytes.subarray(start, start + cut));
      await store.close();
      expect(await recoverIndexes(folder)).deep.equal([1, 2]);
    }
  });

  it("reports corruption of every byte before the last frame", async () => {
    const size = await writeEntries(new MemoryFolder(), 3).then((store) =>
      store.segmentBytes
    );
    for (let offset = 0; offset < size * 2 / 3; offset += 1) {
      const folder = new MemoryFolder();
      await writeEntries(folder, 3);
      folder.corruptByte(SEGMENT, offset);
      const thrown = await recoverIndexes(folder).then(
        () => undefined,
        (error) => error,
      );
      expect(thrown, `byte ${offset}`).instanceOf(ServingError);
      expect(thrown.code).equal(MessageCode.RECORD_CORRUPT);
    }
  });

  it("replaces the end of the log by a later record", async () => {
    const folder = new MemoryFolder();
    const store = await writeEntries(folder, 4);
    await store.append([
      createHardStateRecord(create(HardStateSchema, { term: 2n })),
      createEntryRecord(createEntry(3, 2)),
    ]);
    const recovered = await new ReplicaStore(folder).recover();
    const terms = recovered.entries.map((entry) => Number(entry.term));
    expect(terms).deep.equal([1, 1, 2]);
    expect(recovered.hardState.term).equal(2n);
  });

  it("reports a full disk and keeps what it acknowledged", async () => {
    const folder = new MemoryFolder();
    const store = await writeEntries(folder, 2);
    folder.isFull = true;
    const failed = await store.append([createEntryRecord(createEntry(3))])
      .then(() => false, () => true);
    expect(failed).equal(true);
    folder.isFull = false;
    folder.crash(5);
    expect(await recoverIndexes(folder)).deep.equal([1, 2]);
  });

  // A compaction removed the snapshot between listing and reading it; the
  // process ended, as if its disk were corrupt.
  it("reads a snapshot although a compaction replaces it meanwhile", async () => {
    const folder = new MemoryFolder();
    const store = new ReplicaStore(folder);
    await store.recover();
    const write = async (index: bigint) => {
      const mark = create(SnapshotMarkSchema, { index, term: 1n });
      await store.writeSnapshot({ mark, parts: [new Uint8Array(1)] });
      return mark;
    };
    await write(1n);
    const open = folder.tryOpenRead.bind(folder);
    folder.tryOpenRead = async (name) => {
      folder.tryOpenRead = open;
      await store.compact(await write(2n), {
        hardState: create(HardStateSchema, { term: 1n }),
        entries: [],
      });
      return await open(name);
    };
    const snapshot = await store.tryOpenSnapshot();
    expect(snapshot?.mark.index).equal(2n);
    await snapshot?.file.close();
    await store.close();
  });
});
