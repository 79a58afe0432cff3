/** Tests of the policy's decisions and of the pool that applies them. */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import { FleetView, Suspicions } from "../membership/mod.ts";
import {
  adaptSequenceTarget,
  chooseServer,
  FairQueue,
  getBatchCapacity,
  QuantileTracker,
  RetryBudget,
  selectOrders,
  type ServerStatus,
  trySelectJob,
} from "../policy/mod.ts";
import {
  AnnouncementSchema,
  ConfigurationSchema,
  Emphasis,
  EntryRegistrationSchema,
  MessageCode,
  Verdict,
} from "../schema/mod.ts";
import { BackendPool } from "../services/online/backend_pool.ts";
import type { Placement } from "../services/online/placement.ts";
import { SuspectLeases } from "../services/online/suspect_leases.ts";
import { ManualClock } from "../sys/clock.ts";
import { createAbortError, ServingError } from "../sys/errors.ts";
import { Metrics } from "../sys/metrics.ts";
import { SeededRandom } from "../sys/random.ts";
import { createCredentials } from "../sys/rpc.ts";
import { range } from "./fleet_helpers.ts";

const SEQUENCE_LIMIT = 8;

function createServerStatus(changes: Partial<ServerStatus>): ServerStatus {
  return {
    name: "a",
    dataCentre: "dc-1",
    models: [],
    adapters: [],
    sequences: 0,
    batch: 0,
    sequenceTarget: 16,
    sequenceLimit: 32,
    backoffUntilMs: 0,
    isProbed: false,
    knownSinceMs: -1_000_000,
    ...changes,
  };
}

const request = {
  dataCentre: "dc-1",
  model: "",
  adapter: "",
  affinity: "",
  excluded: new Set<string>(),
};

function createPool() {
  const clock = new ManualClock();
  const view = new FleetView();
  const announcement = create(AnnouncementSchema, {
    name: "s1",
    incarnation: 1n,
    sequence: 1n,
    address: "127.0.0.1:1",
    deployment: "d",
    dataCentre: "dc-1",
    leaseMs: 1_000_000,
    sequenceLimit: SEQUENCE_LIMIT,
  });
  view.backends.accept(announcement, clock.getMonotonicMs() - 100_000);
  view.acceptConfiguration(create(ConfigurationSchema, {
    version: 1n,
    deployments: [{ name: "d", emphasis: Emphasis.THROUGHPUT }],
  }));
  const suspectLeases = new SuspectLeases({
    entryId: "e1",
    view,
    credentials: createCredentials(),
    clock,
    random: new SeededRandom(1),
  });
  const pool = new BackendPool({
    entryId: "e1",
    dataCentre: "dc-1",
    view,
    clock,
    metrics: new Metrics({ prefix: "test" }),
    suspectLeases,
    requestPreemption: () => {},
  });
  const place = (caller: string, timeoutMs = 1_000) =>
    pool.place({
      deployment: "d",
      model: "",
      adapter: "",
      affinity: "",
      caller,
      deadlineMs: clock.getMonotonicMs() + timeoutMs,
      excluded: new Set(),
      isSuspect: false,
      signal: new AbortController().signal,
    });
  return { clock, pool, place };
}

const batchRequest = {
  deployment: "d",
  model: "",
  excluded: new Set<string>(),
  isSuspect: false,
};

describe("policy", () => {
  it("places an online request at once on a server full of batch items", async () => {
    const { pool, place } = createPool();
    const items = range(20).map(() => pool.tryPlaceBatch(batchRequest))
      .filter((one) => one !== undefined);
    expect(items.length).equal(SEQUENCE_LIMIT);
    const online = await place("caller");
    expect(online.server.name).equal("s1");
    expect(items.filter((one) => one.isPreempted).length).equal(1);
    expect(items.at(-1)?.isPreempted, "the most recently started").equal(true);
    expect(items.at(-1)?.signal.aborted).equal(true);
    pool.close();
  });

  it("queues callers fairly, however many requests one sends", async () => {
    const { pool, place } = createPool();
    const running: Placement[] = [];
    for (const _ of range(SEQUENCE_LIMIT)) running.push(await place("greedy"));
    const order: string[] = [];
    const waiting = [..."gggg"].map(() =>
      place("greedy").then((one) => {
        order.push("greedy");
        return one;
      })
    );
    waiting.push(
      place("modest").then((one) => {
        order.push("modest");
        return one;
      }),
    );
    running.slice(0, 3).forEach((one) =>
      one.release({ isServerFailure: false })
    );
    await Promise.race([waiting[4], Promise.resolve()]);
    await Promise.resolve();
    await Promise.resolve();
    expect(order.slice(0, 2)).include("modest");
    waiting.forEach((one) => one.catch(() => {}));
    pool.close();
  });

  it("rejects a queued request at its deadline", async () => {
    const { clock, pool, place } = createPool();
    for (const _ of range(SEQUENCE_LIMIT)) await place("caller");
    const waiting = place("caller", 300).then(
      () => undefined,
      (error) => error as ServingError,
    );
    clock.advance(500);
    const error = await waiting;
    expect(error).instanceOf(ServingError);
    expect(error?.code).equal(MessageCode.DEADLINE_PASSED);
    pool.close();
  });

  it("distinguishes a passed deadline from a disconnected caller", () => {
    const expired = AbortSignal.abort(new DOMException("late", "TimeoutError"));
    const disconnected = AbortSignal.abort();
    const pending = new AbortController().signal;
    const codes = [expired, disconnected, pending].map((signal) =>
      createAbortError(signal, Verdict.NOT_RUN).code
    );
    const { DEADLINE_PASSED, CALLER_LEFT } = MessageCode;
    expect(codes).deep.equal([DEADLINE_PASSED, CALLER_LEFT, DEADLINE_PASSED]);
  });

  it("prefers the local data centre and overflows to others", () => {
    const servers = [
      createServerStatus({ name: "near", sequences: 31 }),
      createServerStatus({ name: "far", dataCentre: "dc-2" }),
    ];
    expect(chooseServer(servers, request, 0)).include({ name: "near" });
    servers[0] = createServerStatus({ name: "near", sequences: 32 });
    expect(chooseServer(servers, request, 0)).include({ name: "far" });
  });

  it("keeps a prefix on its server unless the server exceeds its share", () => {
    const idle = range(4).map((index) =>
      createServerStatus({ name: `s${index}` })
    );
    const affinityRequest = { ...request, affinity: "a prompt" };
    const first = chooseServer(idle, affinityRequest, 0);
    const affinityServer = first.kind === "server" ? first.name : "";
    expect(chooseServer(idle, affinityRequest, 0)).include({
      name: affinityServer,
    });
    const loaded = idle.map((one) =>
      one.name === affinityServer
        ? createServerStatus({ ...one, sequences: 9 })
        : one
    );
    expect(chooseServer(loaded, affinityRequest, 0)).not.include({
      name: affinityServer,
    });
  });

  it("ramps up a new server's load and backs off from a failed one", () => {
    const newServer = createServerStatus({
      name: "new",
      knownSinceMs: 0,
      sequences: 4,
    });
    expect(chooseServer([newServer], request, 0).kind).equal("wait");
    expect(chooseServer([newServer], request, 1_000).kind).equal("server");
    const failed = createServerStatus({ backoffUntilMs: 500 });
    expect(chooseServer([failed], request, 499).kind).equal("wait");
    expect(chooseServer([failed], request, 500).kind).equal("server");
  });

  it("does not let a job of 340,000 items block a job of ten", () => {
    const large = {
      jobId: "large",
      caller: "a",
      deadlineMs: 0,
      waiting: 340_000,
    };
    const small = { jobId: "small", caller: "b", deadlineMs: 0, waiting: 10 };
    const usage = new Map([["a", 500], ["b", 0]]);
    expect(trySelectJob([large, small], usage, 0)?.jobId).equal("small");
    const urgent = { ...large, deadlineMs: 6_805_000 };
    expect(trySelectJob([urgent, small], usage, 0)?.jobId).equal("large");
  });

  it("reserves capacity for online bursts where latency is emphasized", () => {
    const occupancy = {
      online: 2,
      onlinePeak: 10,
      ownBatch: 0,
      sequenceTarget: 20,
    };
    const getCapacity = (emphasis: Emphasis) =>
      getBatchCapacity(occupancy, { emphasis, reserve: 0 });
    expect(getCapacity(Emphasis.LATENCY)).equal(5);
    expect(getCapacity(Emphasis.THROUGHPUT)).equal(18);
  });

  it("adapts the sequence target to the token gap", () => {
    const bounds = { gapTargetMs: 26, minimum: 2, maximum: 64 };
    const seen = { sequences: 20 };
    expect(adaptSequenceTarget(20, { ...seen, gapMs: 30 }, bounds)).lessThan(
      20,
    );
    expect(adaptSequenceTarget(20, { ...seen, gapMs: 20 }, bounds)).equal(21);
    expect(adaptSequenceTarget(40, { ...seen, gapMs: 20 }, bounds)).equal(40);
    expect(adaptSequenceTarget(2, { gapMs: 90, sequences: 2 }, bounds)).equal(
      2,
    );
  });

  it("estimates a quantile", () => {
    const tracker = new QuantileTracker(0.95);
    const random = new SeededRandom(3);
    range(20_000).forEach(() => tracker.note(random.getFraction() * 100));
    expect(tracker.estimate).within(88, 100);
  });

  it("allows retries only within the retry budget", () => {
    const budget = new RetryBudget(0);
    expect(budget.tryWithdraw()).equal(false);
    range(11).forEach(() => budget.deposit());
    expect(budget.tryWithdraw()).equal(true);
    expect(budget.tryWithdraw()).equal(false);
  });

  it("starts one order per server and a bounded number of loads", () => {
    const orders = range(6).map((index) => ({
      fencingNumber: index,
      backendServer: `s${index % 3}`,
      isLoad: true,
    }));
    const started = selectOrders(orders, [], 2);
    expect(started.map((order) => order.fencingNumber)).deep.equal([0, 1]);
    const later = selectOrders(orders.slice(1), orders.slice(0, 1), 9);
    expect(later.map((order) => order.fencingNumber)).deep.equal([1, 2]);
  });

  it("refuses after two crashes, or after three if others crashed too", () => {
    const isolated = new Suspicions();
    ["s1", "s2"].forEach((server) => isolated.record("poison", server, 0));
    isolated.record("beside", "s1", 0);
    expect(isolated.isPoisoned("poison")).equal(true);
    expect(isolated.isPoisoned("beside")).equal(false);
    const correlated = new Suspicions();
    ["s1", "s2"].forEach((server) => correlated.record("innocent", server, 0));
    correlated.record("other", "s3", 100);
    expect(correlated.isPoisoned("innocent")).equal(false);
    correlated.record("innocent", "s4", 200);
    expect(correlated.isPoisoned("innocent")).equal(true);
  });

  it("serves the callers of a queue in turn", () => {
    const queue = new FairQueue<string>();
    ["a1", "a2", "a3"].forEach((value) => queue.push("a", value));
    queue.push("b", "b1");
    const order = range(4).map(() => queue.tryShift());
    expect(order).deep.equal(["a1", "b1", "a2", "a3"]);
    expect(queue.tryShift()).equal(undefined);
  });

  it("assigns each server a bounded number of entries and one owner", () => {
    const entries = range(800).map((index) =>
      create(EntryRegistrationSchema, {
        id: `e${index}`,
        dataCentre: `dc-${index % 7}`,
      })
    );
    const view = new FleetView();
    view.acceptEntries(entries, 1);
    const owned = new Map<string, number>();
    range(480).forEach((index) => {
      const server = { name: `s${index}`, dataCentre: `dc-${index % 7}` };
      expect(view.getEntriesForServer(server).length).equal(4 + 6);
      const owner = view.tryGetOwner(server)?.id ?? "";
      owned.set(owner, (owned.get(owner) ?? 0) + 1);
    });
    expect(Math.max(...owned.values())).lessThan(8);
  });
});
