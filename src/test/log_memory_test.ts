/** Memory that a replica's log and snapshots take, in bytes held at a time. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { waitUntil } from "../bench/mod.ts";
import {
  HardStateSchema,
  LogEntrySchema,
  SnapshotMarkSchema,
} from "../schema/mod.ts";
import { createProcessContext } from "../services/mod.ts";
import {
  createEntryRecord,
  createMembership,
  Replica,
  ReplicaStore,
  ReplicaTransport,
  StateMachine,
} from "../state/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import type { AppendFile, ReadFile } from "../sys/files.ts";
import { range } from "./fleet_helpers.ts";
import { MemoryFolder } from "./memory_folder.ts";

const MEGABYTE = 1 << 20;
const ENTRIES = 64;
const STEADY_ENTRIES = 400;
const STEADY_ENTRY_BYTES = 1_024;
const ENTRY_BYTES = MEGABYTE / 4;

/** Limit of what may be written or read at a time in these tests. */
const MAX_CHUNK_BYTES = MEGABYTE;

/** Records the largest chunks that were written and read. */
class RecordingFolder extends MemoryFolder {
  replacedBytes = 0;
  largestChunk = 0;
  largestAppend = 0;
  largestRead = 0;
  /** Called for each chunk of a replacement, once the one before is written. */
  onChunk: () => void = () => {};

  override replaceInChunks(
    name: string,
    chunks: Iterable<Uint8Array>,
  ): Promise<number> {
    return super.replaceInChunks(name, this.#record(chunks));
  }

  *#record(chunks: Iterable<Uint8Array>): Iterable<Uint8Array> {
    for (const chunk of chunks) {
      this.largestChunk = Math.max(this.largestChunk, chunk.length);
      this.replacedBytes += chunk.length;
      this.onChunk();
      yield chunk;
    }
  }

  override async tryOpenRead(name: string): Promise<ReadFile | undefined> {
    const file = await super.tryOpenRead(name);
    return file && {
      ...file,
      read: async (offset, length) => {
        const bytes = await file.read(offset, length);
        this.largestRead = Math.max(this.largestRead, bytes.length);
        return bytes;
      },
    };
  }

  override async openAppend(
    name: string,
    keepBytes: number,
  ): Promise<AppendFile> {
    const file = await super.openAppend(name, keepBytes);
    return {
      ...file,
      append: (bytes) => {
        this.largestAppend = Math.max(this.largestAppend, bytes.length);
        return file.append(bytes);
      },
    };
  }
}

function createEntry(index: number) {
  return create(LogEntrySchema, {
    index: BigInt(index),
    term: 1n,
    payload: {
      case: "command",
      value: new Uint8Array(ENTRY_BYTES).fill(index),
    },
  });
}

const entries = range(ENTRIES).map((index) => createEntry(index + 1));
const hardState = create(HardStateSchema, { term: 1n });
const mark = create(SnapshotMarkSchema, { index: 1n, term: 1n });

/** Returns a store whose log was rewritten, and its folder. */
async function rewriteLog() {
  const folder = new RecordingFolder();
  const store = new ReplicaStore(folder);
  await store.recover();
  await store.writeSnapshot({ mark, parts: [] });
  await store.compact(mark, { hardState, entries });
  return { folder, store };
}

/** Has no state; its snapshots have one small part. */
class EmptyMachine extends StateMachine {
  override apply(): Uint8Array {
    return new Uint8Array();
  }

  override capture(): Iterable<Uint8Array> {
    return [new Uint8Array(1)];
  }

  override restore(): void {}
}

class NoTransport extends ReplicaTransport {
  override send(): void {}
}

/** Calls back during each append, as for a proposal that arrives meanwhile. */
class SteadyLoadFolder extends MemoryFolder {
  onAppend: () => void = () => {};
  rewritesUnderLoad = 0;

  override replaceInChunks(
    name: string,
    chunks: Iterable<Uint8Array>,
  ): Promise<number> {
    if (name.startsWith("segment-")) this.rewritesUnderLoad += 1;
    return super.replaceInChunks(name, chunks);
  }

  override async openAppend(
    name: string,
    keepBytes: number,
  ): Promise<AppendFile> {
    const file = await super.openAppend(name, keepBytes);
    return {
      ...file,
      sync: async () => {
        this.onAppend();
        await file.sync();
      },
    };
  }
}

/** Starts the only replica of a group; the clock runs until the stop. */
async function startReplica(folder: MemoryFolder, snapshotBytes: number) {
  const clock = new ManualClock();
  const replica = new Replica({
    ...createProcessContext({ name: "test", clock }),
    id: "a",
    group: 1,
    folder,
    machine: new EmptyMachine(),
    transport: new NoTransport(),
    initialMembership: createMembership(["a"]),
    snapshotBytes,
    onFailure: (error) => {
      throw error;
    },
  });
  await replica.start();
  let isRunning = true;
  const turn = () => {
    clock.advance(2);
    if (isRunning) setImmediate(turn);
  };
  turn();
  await waitUntil(clock, "leader", () => replica.canServe());
  const stop = async () => {
    await replica.stop();
    isRunning = false;
  };
  return { clock, replica, stop };
}

describe("memory of a log", () => {
  // The rewrite held the log four times; store processes ended for their memory.
  it("is bounded while the log is rewritten", async () => {
    const { folder, store } = await rewriteLog();
    expect(folder.largestChunk).below(MAX_CHUNK_BYTES);
    expect(folder.replacedBytes).above(ENTRIES * ENTRY_BYTES);
    await store.close();
    const recovered = await new ReplicaStore(folder).recover();
    expect(recovered.entries.map((entry) => entry.index))
      .deep.equal(entries.slice(1).map((entry) => entry.index));
    expect(recovered.entries.at(-1)?.payload).deep
      .equal(entries.at(-1)?.payload);
  });

  // A start read whole segments, which stayed in memory while one entry did.
  it("is bounded while a start reads the log", async () => {
    const { folder, store } = await rewriteLog();
    await store.close();
    const { entries } = await new ReplicaStore(folder).recover();
    expect(folder.largestRead).below(MAX_CHUNK_BYTES);
    entries.forEach(({ payload }) => {
      const command = payload.case === "command" ? payload.value : undefined;
      expect(command?.buffer.byteLength).below(MAX_CHUNK_BYTES);
    });
  });

  // A batch that waited for a slow disk was copied three times as a whole.
  it("is bounded while many entries are appended at once", async () => {
    const folder = new RecordingFolder();
    const store = new ReplicaStore(folder);
    await store.recover();
    await store.append(entries.map(createEntryRecord));
    expect(folder.largestAppend).most(5 * MEGABYTE);
    await store.close();
    const recovered = await new ReplicaStore(folder).recover();
    expect(recovered.entries.length).equal(ENTRIES);
  });

  // All parts of a snapshot were encoded and joined before the first byte was
  // written.
  it("is bounded while a snapshot is written", async () => {
    const folder = new RecordingFolder();
    const store = new ReplicaStore(folder);
    await store.recover();
    let encoded = 0;
    function* encodeParts() {
      for (const part of range(ENTRIES)) {
        encoded += 1;
        yield new Uint8Array(ENTRY_BYTES).fill(part);
      }
    }
    let waiting = 0;
    let chunks = 0;
    folder.onChunk = () => {
      chunks += 1;
      waiting = Math.max(waiting, encoded - chunks);
    };
    await store.writeSnapshot({ mark, parts: encodeParts() });
    expect(waiting).most(2);
    expect(folder.largestChunk).below(MAX_CHUNK_BYTES);
    const { snapshotParts } = await new ReplicaStore(folder).recover();
    expect(snapshotParts.length).equal(ENTRIES);
    expect(snapshotParts.every((part, index) => part[0] === index)).equal(true);
    expect(folder.largestRead).below(MAX_CHUNK_BYTES);
  });

  // 2,000 entries stayed in the log, whatever their size.
  it("is bounded by the size of the entries that a compaction retains", async () => {
    const folder = new MemoryFolder();
    const { clock, replica, stop } = await startReplica(folder, 4 * MEGABYTE);
    for (const _ of range(ENTRIES * 2)) {
      await replica.propose(new Uint8Array(ENTRY_BYTES));
    }
    await waitUntil(
      clock,
      "compaction",
      () => replica.getDump().segmentBytes < 16 * MEGABYTE,
    );
    await stop();
  });

  // Only bytes since the last start counted; a log that many starts shared was
  // never compacted.
  it("is bounded although no run of the process appends much", async () => {
    const folder = new MemoryFolder();
    for (const _ of range(8)) {
      const { replica, stop } = await startReplica(folder, MEGABYTE);
      await replica.propose(new Uint8Array(ENTRY_BYTES));
      await stop();
    }
    const { clock, replica, stop } = await startReplica(folder, MEGABYTE);
    await replica.propose(new Uint8Array(ENTRY_BYTES));
    await waitUntil(clock, "snapshot", async () => {
      const names = await folder.list();
      return names.some((name) => name.startsWith("snapshot-"));
    });
    await stop();
  });

  // Under a load that always left something to store, the log was never rewritten
  // and grew until the process was over the memory of its host.
  it("is rewritten under a steady load", async () => {
    const folder = new SteadyLoadFolder();
    const snapshotBytes = 64 * STEADY_ENTRY_BYTES;
    const { clock, replica, stop } = await startReplica(folder, snapshotBytes);
    let proposed = 0;
    folder.onAppend = () => {
      if (proposed >= STEADY_ENTRIES) return;
      proposed += 1;
      replica.propose(new Uint8Array(STEADY_ENTRY_BYTES)).catch(() => {});
    };
    folder.onAppend();
    await waitUntil(clock, "the load", () => proposed >= STEADY_ENTRIES);
    const snapshots = (await folder.list())
      .filter((name) => name.startsWith("snapshot-"));
    await stop();
    expect(folder.rewritesUnderLoad).above(0);
    expect(snapshots.length).equal(1);
  });
});
