/** A worker thread of the bench: state hosts, an entry or some engines. */
import { performance } from "node:perf_hooks";
import { parentPort, workerData } from "node:worker_threads";
import { EntrySettingsSchema, StateSettingsSchema } from "../schema/mod.ts";
import { createProcessContext, EntryHost, StateHost } from "../services/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { Metrics } from "../sys/metrics.ts";
import { rpcTraffic } from "../sys/rpc.ts";
import { createSettings } from "../sys/settings.ts";
import { StandInEngine } from "./stand_in_engine.ts";
import type {
  WorkerCounts,
  WorkerReply,
  WorkerRequest,
  WorkerRole,
} from "./worker_messages.ts";

/** What runs here. */
interface WorkerRuntime {
  readonly addresses: string[];
  getTokens(): number;
  crash(count: number): void;
  close(): Promise<void>;
}

const clock = new SystemClock();
const metrics = new Metrics({ prefix: "bench" });

async function startStates(
  settings: readonly Record<string, unknown>[],
): Promise<WorkerRuntime> {
  const context = createProcessContext({ name: "bench", metrics });
  const hosts = settings.map((values) =>
    new StateHost(createSettings(StateSettingsSchema, values), context)
  );
  await Promise.all(hosts.map((host) => host.listen()));
  await Promise.all(hosts.map((host) => host.start()));
  return {
    addresses: hosts.map((host) => host.address),
    getTokens: () => 0,
    crash: () => {},
    close: async () => {
      await Promise.all(hosts.map((host) => host.halt()));
    },
  };
}

async function startEntry(
  settings: Record<string, unknown>,
): Promise<WorkerRuntime> {
  const context = createProcessContext({ name: "bench", metrics });
  const entry = new EntryHost(
    createSettings(EntrySettingsSchema, settings),
    context,
  );
  await entry.start();
  return {
    addresses: [entry.address, entry.peerAddress],
    getTokens: () => 0,
    crash: () => {},
    close: () => {
      entry.halt();
      return Promise.resolve();
    },
  };
}

async function startEngines(
  role: Extract<WorkerRole, { kind: "engines" }>,
): Promise<WorkerRuntime> {
  const engines = role.engines.map((options) =>
    new StandInEngine({ ...options, clock })
  );
  await Promise.all(engines.map((engine) => engine.start()));
  return {
    addresses: engines.map((engine) => engine.address),
    getTokens: () =>
      engines.reduce((sum, engine) => sum + engine.tokenCount, 0),
    crash: (count) =>
      engines.slice(0, count).forEach((engine) => engine.crash()),
    close: () => {
      engines.forEach((engine) => engine.crash());
      return Promise.resolve();
    },
  };
}

function startRole(role: WorkerRole): Promise<WorkerRuntime> {
  if (role.kind === "states") return startStates(role.settings);
  if (role.kind === "entry") return startEntry(role.settings);
  return startEngines(role);
}

function send(reply: WorkerReply): void {
  parentPort?.postMessage(reply);
}

const runtime = await startRole(workerData as WorkerRole);
let lastUtilization = performance.eventLoopUtilization();

function count(): WorkerCounts {
  const utilizationNow = performance.eventLoopUtilization();
  const { utilization } = performance.eventLoopUtilization(
    utilizationNow,
    lastUtilization,
  );
  lastUtilization = utilizationNow;
  return {
    tokens: runtime.getTokens(),
    busy: utilization,
    heapBytes: process.memoryUsage().heapUsed,
    ...rpcTraffic,
    metrics: metrics.getSums(),
  };
}

parentPort?.on("message", (request: WorkerRequest) => {
  if (request.kind === "count") send({ kind: "counts", counts: count() });
  else if (request.kind === "crash") runtime.crash(request.engines);
  else runtime.close().then(() => process.exit(0));
});
send({ kind: "ready", addresses: runtime.addresses });
