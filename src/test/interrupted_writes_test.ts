/** Starts on data folders that a killed process of this or an old build left. */
import {
  mkdir,
  mkdtemp,
  readdir,
  readFile,
  rm,
  writeFile,
} from "node:fs/promises";
import { type Dirent, readdirSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
  HardStateSchema,
  LogEntrySchema,
  SnapshotMarkSchema,
} from "../schema/mod.ts";
import {
  createEntryRecord,
  createHardStateRecord,
  ReplicaStore,
} from "../state/mod.ts";
import { DiskFolder } from "../sys/files.ts";
import { range } from "./fleet_helpers.ts";
import { MemoryFolder } from "./memory_folder.ts";

const SNAPSHOT_INDEX = 5;
const FIRST_SEGMENT = "segment-0000000000000001";
const SECOND_SEGMENT = "segment-0000000000000002";
const UNNUMBERED_SEGMENT = "segment-0000000000000NaN";

function createEntry(index: number) {
  return create(LogEntrySchema, {
    index: BigInt(index),
    term: 1n,
    payload: { case: "command", value: new Uint8Array(50).fill(index) },
  });
}

function createHardState() {
  return create(HardStateSchema, { term: 1n, votedFor: "a" });
}

const mark = create(SnapshotMarkSchema, {
  index: BigInt(SNAPSHOT_INDEX),
  term: 1n,
});

async function withDataFolder(use: (folder: string) => Promise<void>) {
  const folder = await mkdtemp(path.join(tmpdir(), "papayatally-"));
  try {
    await use(folder);
  } finally {
    await rm(folder, { recursive: true });
  }
}

/** Starts a store, checks that it has entries up to `last`, appends `append`. */
async function startAndAppend(
  folder: string,
  options: { last: number; append: number },
): Promise<void> {
  const store = new ReplicaStore(await DiskFolder.open(folder));
  const recovered = await store.recover();
  const first = Number(recovered.mark.index) + 1;
  expect(recovered.entries.map((entry) => Number(entry.index)))
    .deep.equal(range(options.last - first + 1).map((index) => first + index));
  expect(recovered.hardState.votedFor).equal("a");
  for (const index of range(options.append)) {
    await store.append([
      createEntryRecord(createEntry(options.last + 1 + index)),
    ]);
  }
  await store.close();
}

/** Three starts one after the other, each with two further entries. */
async function startThreeTimes(folder: string, last: number): Promise<void> {
  await startAndAppend(folder, { last, append: 2 });
  await startAndAppend(folder, { last: last + 2, append: 2 });
  await startAndAppend(folder, { last: last + 4, append: 0 });
}

/**
 * Writes a log of `count` entries and a snapshot, which the log has yet to be
 * compacted for. Returns the segment that the compaction writes.
 */
async function writeLog(folder: string, count: number): Promise<Buffer> {
  const store = new ReplicaStore(await DiskFolder.open(folder));
  await store.recover();
  await store.append([createHardStateRecord(createHardState())]);
  for (const index of range(count)) {
    await store.append([createEntryRecord(createEntry(index + 1))]);
  }
  await store.writeSnapshot({ mark, parts: [new Uint8Array([7])] });
  const first = await readFile(path.join(folder, FIRST_SEGMENT));
  await store.compact(mark, {
    hardState: createHardState(),
    entries: range(count).map((index) => createEntry(index + 1)),
  });
  await store.close();
  const second = await readFile(path.join(folder, SECOND_SEGMENT));
  await rm(path.join(folder, SECOND_SEGMENT));
  await writeFile(path.join(folder, FIRST_SEGMENT), first);
  return second;
}

/** Lengths of a segment of which a kill left a part. */
function getCuts(length: number): number[] {
  return [0, 1, 11, 12, Math.floor(length / 2), length - 1, length];
}

/** Checks that no other file can be seen while this build replaces `name`. */
async function expectNoFileBeside(name: string): Promise<void> {
  const found = new Set<string>();
  await withDataFolder(async (folder) => {
    const disk = await DiskFolder.open(folder);
    let isDone = false;
    const replaced = disk.replace(name, new Uint8Array(8 << 20))
      .then(() => isDone = true);
    let entries: Dirent[] = [];
    while (!isDone) {
      entries = [...entries, ...readdirSync(folder, { withFileTypes: true })];
      await new Promise((resolve) => setImmediate(resolve));
    }
    await replaced;
    expect(entries.length).above(0);
    entries.filter((entry) => entry.isFile())
      .forEach((entry) => found.add(entry.name));
  });
  found.delete(name);
  expect([...found]).deep.equal([]);
}

describe("interrupted writes", () => {
  // A left-over "segment-N.new" was taken for a log segment; the replica never
  // started again after the next start.
  it("start again after a kill at each point of a log rewrite", async () => {
    for (const isOldBuild of [true, false]) {
      for (const cut of [-1, ...range(7)]) {
        await withDataFolder(async (folder) => {
          const segment = await writeLog(folder, 9);
          const length = getCuts(segment.length)[cut];
          const file = path.join(folder, `${SECOND_SEGMENT}.new`);
          const temporary = path.join(
            folder,
            `${SECOND_SEGMENT}.folder.new`,
            "content",
          );
          if (!isOldBuild) await mkdir(path.dirname(temporary));
          if (length !== undefined) {
            await writeFile(
              isOldBuild ? file : temporary,
              segment.subarray(0, length),
            );
          }
          await startThreeTimes(folder, 9);
        });
      }
    }
  });

  // Both segments are there if a kill came before the old one was removed.
  it("start again after a kill between rename and removal", () =>
    withDataFolder(async (folder) => {
      const segment = await writeLog(folder, 9);
      await writeFile(path.join(folder, SECOND_SEGMENT), segment);
      await startThreeTimes(folder, 9);
    }));

  // Left-over files of snapshots and small files were never removed.
  it("leave no temporary file behind after the next start", () =>
    withDataFolder(async (folder) => {
      await writeLog(folder, 9);
      const names = [
        `${SECOND_SEGMENT}.new`,
        "snapshot-0000000000000009.new",
        "last-view.new",
      ];
      for (const name of names) {
        await writeFile(path.join(folder, name), "left over");
      }
      const temporary = path.join(folder, `${SECOND_SEGMENT}.folder.new`);
      await mkdir(temporary);
      await writeFile(path.join(temporary, "content"), "left over");
      await startAndAppend(folder, { last: 9, append: 0 });
      expect((await readdir(folder)).filter((name) => name.includes("new")))
        .deep.equal([]);
    }));

  // An old build takes each file whose name begins like a segment for one.
  it("show an old build no file that is not whole", async () => {
    for (const name of [SECOND_SEGMENT, "snapshot-0000000000000009"]) {
      await expectNoFileBeside(name);
    }
  });

  // The start after the kill appended to "segment-NaN", past as many zero bytes
  // as the left-over file had; no later start read it.
  it("keep what an old build appended to a segment without number", async () => {
    for (const cut of range(7).reverse()) {
      await withDataFolder(async (folder) => {
        const segment = await writeLog(folder, 9);
        const length = getCuts(segment.length)[cut] ?? 0;
        const isWhole = length === segment.length;
        const appended = path.join(folder, "appended");
        await mkdir(appended);
        const store = new ReplicaStore(await DiskFolder.open(appended));
        await store.recover();
        for (const index of [10, 11, 12]) {
          // A snapshot mark allows a log to begin after its first entry.
          await store.append([createEntryRecord(createEntry(index))]);
        }
        await store.close();
        const frames = await readFile(path.join(appended, FIRST_SEGMENT));
        await rm(appended, { recursive: true });
        await writeFile(
          path.join(folder, `${SECOND_SEGMENT}.new`),
          segment.subarray(0, length),
        );
        await writeFile(
          path.join(folder, UNNUMBERED_SEGMENT),
          Buffer.concat([Buffer.alloc(isWhole ? length : 0), frames]),
        );
        await startThreeTimes(folder, 12);
        expect((await readdir(folder)).includes(UNNUMBERED_SEGMENT))
          .equal(false);
      });
    }
  });

  // The rewrite that replaces a segment without number may be cut short as well.
  it("start again while a segment without number is replaced", () =>
    withDataFolder(async (folder) => {
      const segment = await writeLog(folder, 9);
      await writeFile(path.join(folder, UNNUMBERED_SEGMENT), segment);
      await startAndAppend(folder, { last: 9, append: 0 });
      await writeFile(path.join(folder, UNNUMBERED_SEGMENT), segment);
      await startThreeTimes(folder, 9);
    }));

  // Entries after an installed snapshot followed older ones in the same segment,
  // which later starts took for a gap.
  it("start again after a kill while a snapshot is installed", () =>
    withDataFolder(async (folder) => {
      const store = new ReplicaStore(await DiskFolder.open(folder));
      await store.recover();
      await store.append([
        createHardStateRecord(createHardState()),
        ...range(3).map((index) => createEntryRecord(createEntry(index + 1))),
      ]);
      await store.writeSnapshot({ mark, parts: [new Uint8Array([7])] });
      await store.close();
      await startThreeTimes(folder, SNAPSHOT_INDEX);
    }));

  // The same log, as an old build wrote it.
  it("read entries after a snapshot that follow older ones", () =>
    withDataFolder(async (folder) => {
      const store = new ReplicaStore(await DiskFolder.open(folder));
      await store.recover();
      await store.append([
        createHardStateRecord(createHardState()),
        ...[1, 2, 3, 6, 7].map((index) =>
          createEntryRecord(createEntry(index))
        ),
      ]);
      await store.writeSnapshot({ mark, parts: [new Uint8Array([7])] });
      await store.close();
      await startThreeTimes(folder, 7);
    }));

  // The segment before the new one had a torn end; only the last one may.
  it("start again after a kill while an installed snapshot is recovered", async () => {
    for (const steps of range(8)) {
      const folder = new MemoryFolder();
      const store = new ReplicaStore(folder);
      await store.recover();
      await store.append([
        createHardStateRecord(createHardState()),
        ...range(3).map((index) => createEntryRecord(createEntry(index + 1))),
      ]);
      await store.writeSnapshot({ mark, parts: [new Uint8Array([7])] });
      const torn = await folder.openAppend(FIRST_SEGMENT, store.segmentBytes);
      await torn.append(new Uint8Array(20).fill(1));
      await torn.sync();
      folder.operationsLeft = steps;
      await new ReplicaStore(folder).recover().catch(() => {});
      folder.crash(0);
      const { entries, hardState } = await new ReplicaStore(folder).recover();
      expect(entries).deep.equal([]);
      expect(hardState.votedFor, `after ${steps} steps`).equal("a");
    }
  });
});
