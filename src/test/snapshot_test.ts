/** Transfer of a snapshot to a member whose entries were compacted away. */
import { expect } from "chai";
import {
  createMembership,
  Replica,
  ReplicaTransport,
  StateMachine,
} from "../state/mod.ts";
import { createProcessContext } from "../services/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { waitUntil } from "../bench/mod.ts";
import { MemoryFolder } from "./memory_folder.ts";
import { range } from "./fleet_helpers.ts";

type Message = Parameters<Replica["receive"]>[0];

/** Counts its commands; its snapshot takes several transfer chunks. */
class Counter extends StateMachine {
  count = 0;
  restored = 0;

  override apply(): Uint8Array {
    this.count += 1;
    return new Uint8Array();
  }

  override capture(): Iterable<Uint8Array> {
    const { count } = this;
    return range(4).map((index) => {
      const part = new Uint8Array(200_000).fill(index);
      new DataView(part.buffer).setUint32(0, count);
      return part;
    });
  }

  override restore(parts: readonly Uint8Array[]): void {
    const [first] = parts;
    if (first === undefined) return;
    this.restored += 1;
    this.count = new DataView(first.buffer, first.byteOffset).getUint32(0);
  }
}

class LocalTransport extends ReplicaTransport {
  readonly replicas = new Map<string, Replica>();
  #waitingChunks = 0;
  /** Highest number of chunks of snapshots that waited to be delivered. */
  maxWaitingChunks = 0;

  override send(message: Message): void {
    const isChunk = message.body.case === "snapshotRequest";
    if (isChunk) this.#waitingChunks += 1;
    this.maxWaitingChunks = Math.max(
      this.maxWaitingChunks,
      this.#waitingChunks,
    );
    setImmediate(() => {
      if (isChunk) this.#waitingChunks -= 1;
      this.replicas.get(message.to)?.receive(message);
    });
  }

  override isCongested(): boolean {
    return this.#waitingChunks > 0;
  }
}

/** Simulated milliseconds per turn of the event loop. */
const TURN_MS = 2;

/**
 * Advances the clock once per turn of the event loop, so that on a busy machine
 * it slows down with the replicas and no leader misses its heartbeats.
 */
function startClock(clock: ManualClock): () => void {
  let isRunning = true;
  const turn = () => {
    if (!isRunning) return;
    clock.advance(TURN_MS);
    setImmediate(turn);
  };
  setImmediate(turn);
  return () => {
    isRunning = false;
  };
}

const COMMANDS = 6_000;
const ids = ["a", "b", "c"];

describe("snapshots", () => {
  it("catch up a member whose entries were compacted", async () => {
    const clock = new ManualClock();
    const context = createProcessContext({ name: "test", clock });
    const stopClock = startClock(clock);
    const transport = new LocalTransport();
    const machines = ids.map(() => new Counter());
    const folders = ids.map(() => new MemoryFolder());
    const start = async (index: number) => {
      const id = ids[index] ?? "";
      const replica = new Replica({
        ...context,
        id,
        group: 1,
        folder: folders[index] ?? new MemoryFolder(),
        machine: machines[index] ?? new Counter(),
        transport,
        initialMembership: createMembership(ids),
        timing: { heartbeatMs: 20, electionTimeoutMs: 150 },
        snapshotBytes: 16_384,
        onFailure: (error) => {
          throw error;
        },
      });
      transport.replicas.set(id, replica);
      await replica.start();
      return replica;
    };
    const first = [await start(0), await start(1)];
    const findLeader = () => first.find((replica) => replica.canRead());
    await waitUntil(context.clock, "leader", () => findLeader() !== undefined);
    for (const _ of range(COMMANDS / 500)) {
      const leader = findLeader();
      await Promise.all(
        range(500).map(() => leader?.propose(new Uint8Array(16))),
      );
    }
    const lateReplica = await start(2);
    await waitUntil(
      context.clock,
      "the late member catching up",
      () => machines[2]?.count === machines[0]?.count,
    );
    expect(machines[2]?.restored).equal(1);
    expect(machines[2]?.count).equal(COMMANDS);
    // Guards against a leader that holds a whole snapshot in memory to send it.
    expect(transport.maxWaitingChunks).equal(1);
    await lateReplica.stop();
    const restartedReplica = await start(2);
    await waitUntil(
      context.clock,
      "the same state after a restart",
      () => machines[2]?.count === COMMANDS,
    );
    await Promise.all(
      [...first, restartedReplica].map((replica) => replica.stop()),
    );
    stopClock();
  });
});
