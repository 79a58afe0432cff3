/**
 * Requests that leave their data centre: whether they are worth it, and how many of
 * them processes let go that decide on loads of the past and don't ask each other.
 * The simulation names its loads; it has no network.
 */
import { expect } from "chai";
import {
  DataCentreFlow,
  type DataCentreSummary,
  FlowReason,
  type FlowRequest,
  type ServerCandidate,
  tryGetLeastLoaded,
  trySelectServer,
} from "../policy/mod.ts";
import { getPlacementHash, SeededRandom } from "../sys/random.ts";
import { FlowSimulation, FlowStrategy } from "./flow_simulation.ts";
import { range } from "./fleet_helpers.ts";

const RESERVE = 0.2;

const createFlow = (options: { byteCostMs?: number } = {}) =>
  new DataCentreFlow({
    dataCentre: "a",
    byteCostMs: options.byteCostMs ?? 1,
    reserve: RESERVE,
    latencyMs: 1.4,
    getFraction: () => 0.999,
  });

const createSummary = (
  dataCentre: string,
  values: Partial<DataCentreSummary> = {},
): DataCentreSummary => ({
  dataCentre,
  slots: 100,
  online: 0,
  batch: 0,
  ageMs: 80,
  ...values,
});

const ONLINE: FlowRequest = {
  service: "s",
  kind: "online",
  queues: false,
  hasLocalServer: true,
  own: 10,
  serviceMs: 1_000,
  lateAfterMs: 60,
  bytes: 4_000,
};

const ITEM: FlowRequest = { ...ONLINE, kind: "batch", lateAfterMs: 10_000 };

const decide = (
  flow: DataCentreFlow,
  summaries: readonly DataCentreSummary[],
  req: FlowRequest,
) => {
  flow.observe("s", summaries, 0);
  const { reason, remote } = flow.decide(req, 0);
  return [reason, ...remote].join();
};

const FULL = createSummary("a", { online: 100 });
const IDLE = createSummary("b");

describe("data centre flow", () => {
  it("lets a request leave if the wait here exceeds the price of its bytes", () => {
    const full = [FULL, IDLE];
    expect(decide(createFlow(), full, ONLINE)).equal("wait,b");
    expect(decide(createFlow({ byteCostMs: 5 }), full, ONLINE)).equal("cost");
  });

  it("lets a request that would be late leave whatever its bytes cost", () => {
    const flow = createFlow({ byteCostMs: 1_000 });
    const late = { ...ONLINE, lateAfterMs: 5 };
    expect(decide(flow, [FULL, IDLE], late)).equal("late,b");
    const noGain = { ...late, serviceMs: 200, lateAfterMs: 0 };
    expect(decide(flow, [FULL, IDLE], noGain), "a round trip is longer")
      .equal("cost");
  });

  it("lets no request into the reserve, also if it would be late", () => {
    const late = { ...ONLINE, lateAfterMs: 0 };
    const reserved = createSummary("b", { online: 80 });
    expect(decide(createFlow(), [FULL, reserved], late)).equal("reserve");
  });

  it("queues in the own data centre while items there can be preempted", () => {
    const items = createSummary("a", { online: 40, batch: 60 });
    const queues = { ...ONLINE, queues: true };
    expect(decide(createFlow(), [items, IDLE], queues)).equal("cost");
    expect(decide(createFlow(), [items, IDLE], ONLINE), "a free slot")
      .equal("wait,b");
    expect(decide(createFlow(), [FULL, IDLE], queues)).equal("wait,b");
  });

  it("keeps an item unless it can't end in time here", () => {
    const full = [FULL, IDLE];
    expect(decide(createFlow(), full, ITEM)).equal("cost");
    const short = { ...ITEM, lateAfterMs: 1_000 };
    expect(decide(createFlow(), full, short)).equal("late,b");
    const tooLate = { ...ITEM, lateAfterMs: -1 };
    expect(decide(createFlow(), full, tooLate)).equal("cost");
    const busy = createSummary("b", { batch: 90 });
    expect(decide(createFlow(), [FULL, busy], short)).equal("reserve");
  });

  it("uses any data centre if no server of its own may serve a request", () => {
    const pinned = { ...ONLINE, hasLocalServer: false };
    const full = createSummary("c", { online: 100 });
    expect(decide(createFlow(), [FULL, IDLE, full], pinned))
      .equal("no_local_server,b");
    expect(decide(createFlow(), [FULL, full], pinned))
      .equal("no_local_server,c");
  });

  it("lets a tenth leave while no load report arrives", () => {
    const stale = createSummary("b", { ageMs: Infinity });
    const flow = createFlow();
    flow.observe("s", [createSummary("a", { online: 10 }), stale], 0);
    const left = range(50).filter(() => {
      const { remote } = flow.decide(ONLINE, 0);
      if (remote.size > 0) flow.recordLeaving("s", "b", 0);
      return remote.size > 0;
    });
    expect(left.length).within(1, 8);
  });

  it("has no reason but those with a documented name", () => {
    expect(Object.values(FlowReason)).deep.equal([
      "wait",
      "late",
      "no_local_server",
      "cost",
      "reserve",
      "amount",
    ]);
  });
});

/** The selection before there was a flow, for comparison. */
function selectAsBefore(
  servers: readonly ServerCandidate[],
  { dataCentre, prefix, reserve, getFraction }: {
    dataCentre: string;
    prefix: readonly string[];
    reserve: number;
    getFraction: () => number;
  },
): string | undefined {
  const free = servers.filter((server) => server.busy + reserve < server.slots);
  const local = free.filter((server) => server.dataCentre === dataCentre);
  const pool = local.length > 0 ? local : free;
  const key = prefix.join();
  const cached = pool.filter((server) => server.busy < server.slots * 0.75)
    .map((server) => ({
      server,
      weight: getPlacementHash(`${key}\0${server.id}`),
    }));
  const loads = () =>
    pool.map((server) => ({
      server,
      weight: -server.busy / Math.max(1, server.slots) - getFraction() * 1e-3,
    }));
  const ranked = prefix.length > 0 && cached.length > 0 ? cached : loads();
  return ranked.sort((a, b) => b.weight - a.weight)[0]?.server.id;
}

describe("server selection without a flow", () => {
  it("makes the same choices as before on 2,000 seeded inputs", () => {
    const random = new SeededRandom(11);
    const outcomes = range(2_000).map((round) => {
      const servers = range(1 + random.getIntegerBelow(12)).map((index) => {
        const slots = 1 + random.getIntegerBelow(8);
        const busy = random.getIntegerBelow(slots + 3);
        return {
          id: `s${index}`,
          dataCentre: "abc"[random.getIntegerBelow(3)] ?? "a",
          slots,
          busy,
          batch: random.getIntegerBelow(busy + 1),
        };
      });
      const options = {
        dataCentre: "a",
        prefix: random.getIntegerBelow(2) === 0 ? [] : [`p${round % 7}`],
        reserve: random.getIntegerBelow(2),
      };
      const createOptions = () => {
        const tieBreaks = new SeededRandom(round);
        return { ...options, getFraction: () => tieBreaks.getFraction() };
      };
      const selected = trySelectServer(servers, createOptions());
      expect(selected?.id).equal(selectAsBefore(servers, createOptions()));
      const least = tryGetLeastLoaded(servers, createOptions());
      const online = ({ busy, batch, slots }: ServerCandidate) =>
        (busy - batch) / slots;
      expect(least === undefined ? -1 : online(least))
        .equal(Math.min(...servers.map(online)));
      return selected?.dataCentre ?? "none";
    });
    expect(new Set(outcomes).size, "all kinds of outcomes").equal(4);
  });
});

// Guards against waiting for, or queueing at, a faster server that may not be used.
describe("server selection with a flow and speeds", () => {
  const local = {
    id: "a1",
    dataCentre: "a",
    slots: 4,
    busy: 0,
    batch: 0,
    slowdown: 2.5,
    speed: 1,
  };
  const remote = { ...local, id: "b1", dataCentre: "b", slowdown: 1 };
  const create = (usable?: readonly string[]) => ({
    dataCentre: "a",
    remote: usable === undefined ? undefined : new Set(usable),
    prefix: [],
    getFraction: () => 0,
  });

  it("waits for a faster server only in data centres that may be used", () => {
    const servers = [local, { ...remote, busy: 4 }];
    expect(trySelectServer(servers, create())).equal(undefined);
    expect(trySelectServer(servers, create(["b"]))).equal(undefined);
    expect(trySelectServer(servers, create(["c"]))?.id).equal("a1");
    expect(trySelectServer(servers, create([]))?.id).equal("a1");
  });

  it("sends to a faster server only in data centres that may be used", () => {
    const servers = [local, remote];
    expect(trySelectServer(servers, create(["b"]))?.id).equal("b1");
    expect(trySelectServer(servers, create([]))?.id).equal("a1");
  });

  it("queues only in data centres that may be used", () => {
    const servers = [{ ...local, busy: 5 }, { ...remote, busy: 5 }];
    expect(tryGetLeastLoaded(servers, create())?.id).equal("b1");
    expect(tryGetLeastLoaded(servers, create(["b"]))?.id).equal("b1");
    expect(tryGetLeastLoaded(servers, create([]))?.id).equal("a1");
  });
});

describe("flow between data centres under load", function () {
  this.timeout(20_000);

  it("serves the callers of a data centre with twice its load elsewhere", () => {
    const run = new FlowSimulation({ seed: 1, reserve: RESERVE });
    run.setRate("a", 2);
    run.advance(10_000);
    expect(run.getLateShare("a")).below(0.05);
    expect(run.getLateShare("b")).below(0.01);
    expect(run.getLateShare("c")).below(0.01);
  });

  it("rises fast enough for a burst of 2.4 s and falls back after it", () => {
    const run = new FlowSimulation({ seed: 2, reserve: RESERVE });
    run.advance(3_000);
    const before = run.leftCount;
    run.setRate("a", 2.2);
    run.advance(2_400);
    expect(run.getLateShare("a")).below(0.1);
    expect(run.leftCount - before).above(20);
    run.setRate("a", 0.4);
    run.advance(1_500);
    const after = run.leftCount;
    run.advance(3_000);
    expect(run.leftCount - after).equal(0);
  });

  it("leaves both alone when two data centres have a burst at once", () => {
    const run = new FlowSimulation({ seed: 3, reserve: RESERVE });
    run.advance(2_000);
    run.resetCounts();
    run.setRate("a", 1.8);
    run.setRate("b", 1.8);
    run.advance(2_400);
    // What its own callers need is not taken by the other's.
    expect(run.getMaxForeign("a")).below(run.slots * (1 - RESERVE) / 4);
    expect(run.getMaxForeign("b")).below(run.slots * (1 - RESERVE) / 4);
    expect(run.getLateShare("c")).below(0.01);
  });

  it("moves what a third of the servers served when they are lost", () => {
    const run = new FlowSimulation({ seed: 4, reserve: RESERVE });
    run.setRate("a", 1.1);
    run.advance(3_000);
    run.resetCounts();
    run.setSlots("a", Math.round(run.slots * 2 / 3));
    run.advance(5_000);
    expect(run.getLateShare("a")).below(0.08);
    expect(run.getLateShare("b")).below(0.01);
  });

  it("doesn't oscillate on reports that are 300 ms old", () => {
    const run = new FlowSimulation({ seed: 5, reserve: RESERVE, ageMs: 300 });
    run.setRate("a", 2.3);
    run.advance(3_000);
    run.resetCounts();
    run.advance(6_000);
    expect(run.getLateShare("b")).below(0.01);
    expect(run.getLateShare("a")).below(0.1);
    expect(run.getMaxOnline("b")).below(run.slots);
    // A flow that stops and starts with each report varies by more than its mean; the
    // demand alone varies by a fifth of it.
    const counts = run.getForeignSeries();
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    const deviation = Math.sqrt(
      counts.reduce((sum, count) => sum + (count - mean) ** 2, 0) /
        counts.length,
    );
    expect(deviation / mean).below(0.4);
  });

  it("protects the others in a burst better than other strategies", () => {
    const measure = (strategy: FlowStrategy) => {
      const run = new FlowSimulation({ seed: 7, reserve: 0.05, strategy });
      run.advance(1_500);
      run.resetCounts();
      run.setRate("a", 2.3);
      run.setRate("b", 1.6);
      run.setRate("c", 1.6);
      run.advance(2_400);
      return {
        otherLate: run.getLateShare("b") + run.getLateShare("c"),
        left: run.leftCount,
        rejected: run.rejectedCount,
      };
    };
    const flow = measure(FlowStrategy.flow);
    const spill = measure(FlowStrategy.spillWhenFull);
    const lowest = measure(FlowStrategy.lowestLoad);
    expect(flow.otherLate).below(spill.otherLate);
    expect(spill.otherLate).below(lowest.otherLate);
    expect(flow.left).below(spill.left / 2);
    expect(spill.left).below(lowest.left / 2);
    expect(flow.rejected).below(spill.rejected / 10);
  });

  it("doesn't flood a data centre that comes back after a cut", () => {
    const run = new FlowSimulation({ seed: 6, reserve: RESERVE });
    run.setRate("a", 2.2);
    run.advance(2_000);
    run.cut("b");
    run.advance(2_000);
    run.resetCounts();
    run.restore("b");
    run.advance(200);
    const early = run.getMaxForeign("b");
    run.advance(3_000);
    expect(early).below(run.slots * 0.1);
    expect(run.getMaxForeign("b")).above(early);
    expect(run.getLateShare("b")).below(0.01);
  });
});
