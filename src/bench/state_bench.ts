/**
 * Measures the replicated state: accepts a second and their tail next to the
 * bare sync rate of the same disk, what a group costs at rest, fail-over, and
 * the memory and recovery time of many items.
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { create, toBinary } from "@bufbuild/protobuf";
import { build } from "hdr-histogram-js";
import { ItemCommandSchema, ItemSchema, Verdict } from "../schema/mod.ts";
import { getItemGroup, getItemGroups, StateClient } from "../services/mod.ts";
import { ItemMachine, ReplicaStore } from "../state/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { DiskFolder } from "../sys/files.ts";
import { findFreePorts } from "../sys/ports.ts";
import { createCredentials } from "../sys/rpc.ts";
import { WorkerHandle } from "./worker_handle.ts";

const CALLERS = 64;
const APPEND_BYTES = 256;
const US_PER_MS = 1_000;
const clock = new SystemClock();

/** What the state bench found, one line for each measurement. */
export interface Measurement {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

async function withFolder<T>(use: (folder: string) => Promise<T>): Promise<T> {
  const folder = await mkdtemp(path.join(tmpdir(), "papayatally-state-"));
  try {
    return await use(folder);
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

/** Syncs a second of one file, each after a small append. */
async function measureSyncs(folder: string, ms: number): Promise<number> {
  const disk = await DiskFolder.open(folder);
  const file = await disk.openAppend("syncs", 0);
  const endMs = clock.getMonotonicMs() + ms;
  let syncs = 0;
  while (clock.getMonotonicMs() < endMs) {
    await file.append(new Uint8Array(APPEND_BYTES));
    await file.sync();
    syncs += 1;
  }
  await file.close();
  return syncs / ms * 1_000;
}

interface StateGroup {
  readonly parts: WorkerHandle[];
  readonly client: StateClient;
}

async function startStateGroup(
  folder: string,
  options: { replicas: number; itemGroups: number },
): Promise<StateGroup> {
  const ports = await findFreePorts(options.replicas);
  const members = ports.map((port, index) => ({
    id: `s${index + 1}`,
    address: `127.0.0.1:${port}`,
  }));
  const parts = members.map((member) =>
    new WorkerHandle({
      kind: "states",
      settings: [{
        id: member.id,
        data_centre: "dc-1",
        listen: member.address,
        data_folder: `${folder}/${member.id}`,
        members,
        item_groups: options.itemGroups,
        session_lease_ms: 600_000,
      }],
    })
  );
  await Promise.all(parts.map((part) => part.start()));
  const client = new StateClient({
    getAddresses: () => members.map((member) => member.address),
    credentials: createCredentials(),
    clock,
  });
  return { parts, client };
}

async function closeStateGroup(group: StateGroup): Promise<void> {
  group.client.close();
  await Promise.all(group.parts.map((part) => part.close()));
}

/** Accepts of keyed requests by 64 callers, each waiting for its answer. */
async function measureAccepts(
  group: StateGroup,
  options: { itemGroups: number; ms: number },
) {
  const { client } = group;
  const epochs = new Map<number, bigint>();
  for (const one of getItemGroups(options.itemGroups)) {
    const reply = await client.runItemCommand(one, {
      case: "openSession",
      value: { entry: "bench", incarnation: "1" },
    }, 20_000);
    epochs.set(one, reply.epoch);
  }
  const latencies = build({ numberOfSignificantValueDigits: 3 });
  const endMs = clock.getMonotonicMs() + options.ms;
  let accepted = 0;
  const runCaller = async (caller: number) => {
    for (let index = 0; clock.getMonotonicMs() < endMs; index += 1) {
      const key = `${caller}-${index}`;
      const one = getItemGroup(key, options.itemGroups);
      const startMs = clock.getMonotonicMs();
      await client.runItemCommand(one, {
        case: "beginRequest",
        value: {
          key,
          caller: "bench",
          epoch: epochs.get(one),
          attemptId: key,
          digest: new Uint8Array(32),
        },
      });
      latencies.recordValue((clock.getMonotonicMs() - startMs) * US_PER_MS);
      accepted += 1;
    }
  };
  await Promise.all(
    Array.from({ length: CALLERS }, (_, index) => runCaller(index)),
  );
  return {
    rate: accepted / options.ms * 1_000,
    p99: latencies.getValueAtPercentile(99) / US_PER_MS,
  };
}

/** What a host sends and spends while nothing happens. */
async function measureIdle(group: StateGroup, ms: number) {
  await Promise.all(group.parts.map((part) => part.count()));
  const before = await Promise.all(group.parts.map((part) => part.count()));
  await clock.delay(ms);
  const after = await Promise.all(group.parts.map((part) => part.count()));
  const getMaxRate = (get: (index: number) => number) =>
    Math.max(...group.parts.map((_, index) => get(index))) / ms * 1_000;
  return {
    bytes: getMaxRate((index) =>
      (after[index]?.sentBytes ?? 0) - (before[index]?.sentBytes ?? 0)
    ),
    messages: getMaxRate((index) =>
      (after[index]?.sentMessages ?? 0) - (before[index]?.sentMessages ?? 0)
    ),
    busy: Math.max(...after.map((counts) => counts.busy)),
  };
}

/** Time from the loss of a leader to the next accepted command. */
async function measureFailover(folder: string): Promise<number> {
  const group = await startStateGroup(folder, { replicas: 3, itemGroups: 1 });
  const openSession = (incarnation: string) =>
    group.client.runItemCommand(1, {
      case: "openSession",
      value: { entry: "bench", incarnation },
    }, 20_000);
  await openSession("before");
  const leader = group.client.getLeaderIndex(1);
  const startMs = clock.getMonotonicMs();
  await group.parts[leader]?.close();
  await openSession("after");
  const elapsedMs = clock.getMonotonicMs() - startMs;
  group.client.close();
  await Promise.all(
    group.parts.filter((_, index) => index !== leader)
      .map((part) => part.close()),
  );
  return elapsedMs;
}

const CHUNKS_PER_GROUP = 120;
const ITEM_BODY_BYTES = 200;
const ITEMS_PER_CHUNK = 256;

function fillMachine(machine: ItemMachine, count: number): void {
  const apply = (
    command: Parameters<typeof create<typeof ItemCommandSchema>>[1],
    index: number,
  ) =>
    machine.apply(
      toBinary(ItemCommandSchema, create(ItemCommandSchema, command)),
      { index, term: 1, timeMs: 1 },
    );
  const chunks = Math.ceil(count / ITEMS_PER_CHUNK);
  for (let index = 0; index < chunks; index += 1) {
    const items = Array.from(
      { length: ITEMS_PER_CHUNK },
      () =>
        create(ItemSchema, { body: new Uint8Array(ITEM_BODY_BYTES).fill(32) }),
    );
    apply({
      command: { case: "putChunk", value: { jobId: "j", index, items } },
    }, index + 1);
  }
  apply({
    command: {
      case: "commitJob",
      value: {
        id: "j",
        caller: "c",
        itemCount: BigInt(chunks * ITEMS_PER_CHUNK),
      },
    },
  }, chunks + 1);
}

function getUsedBytes(): number {
  Array.from({ length: 4 }).forEach(() => globalThis.gc?.());
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

const MAX_CLAIMED_ITEMS = 64;
const RESULT_BYTES = 200;

/** Items a second through submission, claims and recorded outcomes. */
async function measureItemRate(
  group: StateGroup,
  options: { itemGroups: number; chunks: number },
): Promise<number> {
  const startMs = clock.getMonotonicMs();
  const runs = getItemGroups(options.itemGroups).map((one) =>
    completeItems(group.client, one, options.chunks)
  );
  const counts = await Promise.all(runs);
  const elapsedMs = clock.getMonotonicMs() - startMs;
  return counts.reduce((sum, count) => sum + count, 0) / elapsedMs * 1_000;
}

async function completeItems(
  client: StateClient,
  group: number,
  chunks: number,
): Promise<number> {
  const jobId = `job-${group}`;
  const items = Array.from(
    { length: ITEMS_PER_CHUNK },
    () =>
      create(ItemSchema, { body: new Uint8Array(ITEM_BODY_BYTES).fill(32) }),
  );
  await Promise.all(
    Array.from({ length: chunks }, (_, index) =>
      client.runItemCommand(group, {
        case: "putChunk",
        value: { jobId, index, items },
      }, 30_000)),
  );
  await client.runItemCommand(group, {
    case: "commitJob",
    value: {
      id: jobId,
      deployment: "d",
      itemCount: BigInt(chunks * ITEMS_PER_CHUNK),
    },
  }, 30_000);
  const { epoch } = await client.runItemCommand(group, {
    case: "openSession",
    value: { entry: "bench", incarnation: "items" },
  });
  const outcome = {
    verdict: Verdict.RAN,
    status: 200,
    body: new Uint8Array(RESULT_BYTES),
  };
  let sequence = 0n;
  let count = 0;
  let pendingFinish: Promise<unknown> = Promise.resolve();
  for (;;) {
    sequence += 1n;
    const { claimed } = await client.runItemCommand(group, {
      case: "claimItems",
      value: {
        epoch,
        sequence,
        shares: [{ deployment: "d", maxItems: MAX_CLAIMED_ITEMS }],
      },
    }, 30_000);
    await pendingFinish;
    if (claimed.length === 0) return count;
    count += claimed.length;
    pendingFinish = client.runItemCommand(group, {
      case: "finishItems",
      value: {
        epoch,
        items: claimed.map(({ ref }) => ({ ref, outcome })),
      },
    }, 30_000);
  }
}

/** Memory of items in a machine, and time to bring them back from a disk. */
async function measureItemStorage(folder: string, count: number) {
  const bytesBefore = getUsedBytes();
  const machine = new ItemMachine();
  fillMachine(machine, count);
  const itemBytes = getUsedBytes() - bytesBefore;
  const store = new ReplicaStore(await DiskFolder.open(folder));
  const { mark } = await store.recover();
  const parts = [...machine.capture()];
  await store.writeSnapshot({ mark: { ...mark, index: 1n, term: 1n }, parts });
  await store.close();
  const startMs = clock.getMonotonicMs();
  const reopenedStore = new ReplicaStore(await DiskFolder.open(folder));
  const recovered = await reopenedStore.recover();
  new ItemMachine().restore(recovered.snapshotParts);
  const recoveryMs = clock.getMonotonicMs() - startMs;
  await reopenedStore.close();
  return { bytesPerItem: itemBytes / count, recoveryMs };
}

/** Runs all measurements. */
export async function runStateBench(
  onMeasurement: (figure: Measurement) => void,
): Promise<void> {
  const report = (name: string, value: number, unit: string) =>
    onMeasurement({ name, value, unit });
  const syncs = await withFolder((folder) => measureSyncs(folder, 2_000));
  report("bare syncs of one file", syncs, "1/s");
  for (
    const [replicas, itemGroups] of [[1, 1], [3, 1], [3, 2], [3, 4], [5, 1]]
  ) {
    if (replicas === undefined || itemGroups === undefined) continue;
    await withFolder(async (folder) => {
      const name = `${replicas} replicas, ${itemGroups} item groups`;
      const group = await startStateGroup(folder, { replicas, itemGroups });
      const ms = 4_000;
      const { rate, p99 } = await measureAccepts(group, { itemGroups, ms });
      report(`accepts, ${name}`, rate, "1/s");
      report(`accepts over syncs, ${name}`, rate / syncs, "times");
      report(`accept p99, ${name}`, p99, "ms");
      report(`accept p99, ${name}`, p99 * syncs / 1_000, "syncs");
      const items = await measureItemRate(group, {
        itemGroups,
        chunks: CHUNKS_PER_GROUP,
      });
      report(`items, ${name}`, items, "1/s");
      const idle = await measureIdle(group, ms);
      report(`sent at rest, ${name}`, idle.bytes, "bytes/s");
      report(`messages at rest, ${name}`, idle.messages, "1/s");
      report(`event loop at rest, ${name}`, idle.busy * 100, "%");
      await closeStateGroup(group);
    });
  }
  for (let run = 1; run <= 5; run += 1) {
    const ms = await withFolder((folder) => measureFailover(folder));
    report(`fail-over, run ${run}`, ms, "ms");
  }
  for (const count of [100_000, 200_000, 400_000]) {
    await withFolder(async (folder) => {
      const { bytesPerItem, recoveryMs } = await measureItemStorage(
        folder,
        count,
      );
      report(`memory of one of ${count} items`, bytesPerItem, "bytes");
      report(`recovery of ${count} items`, recoveryMs, "ms");
    });
  }
}
