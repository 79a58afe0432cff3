/** Memory that a replica's log and snapshots take, in bytes held at a time. */
import { waitUntil } from "../bench/mod.ts";
import { createProcessContext } from "../services/mod.ts";
import {
  createMembership,
  Replica,
  ReplicaTransport,
  StateMachine,
} from "../state/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { range } from "./fleet_helpers.ts";
import { MemoryFolder } from "./memory_folder.ts";

const MEGABYTE = 1 << 20;
const ENTRIES = 64;
const ENTRY_BYTES = MEGABYTE / 4;

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
});
