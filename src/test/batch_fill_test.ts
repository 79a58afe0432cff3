/**
 * Batch scheduling under online bursts every few seconds over a low base load,
 * with more items waiting than fit. Items fill all slots between bursts; when a
 * burst builds up, each online request must get a slot as soon as the process
 * that runs the items has received the new load.
 */
import { expect } from "chai";
import {
  compareWaitingItems,
  countRunsToPreempt,
  decideAdmission,
  getReservedSlots,
  getUrgentFromMs,
  PreemptionCooldown,
  RunTimeEstimator,
  selectRunsToPreempt,
  tryGetLeastLoaded,
  trySelectServer,
} from "../policy/mod.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";

const SLOTS = 8;
const TARGET_MS = 300;
const SERVICE_MS = 700;

interface Server {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly online: number;
  readonly batch: number;
  readonly busy: number;
}

const createServer = (id: string, online: number, batch: number): Server => ({
  id,
  dataCentre: "dc",
  slots: SLOTS,
  online,
  batch,
  busy: online + batch,
});

const random = new SeededRandom(5);
const OPTIONS = {
  dataCentre: "dc",
  prefix: [],
  getFraction: () => random.getFraction(),
};

/** Starts items until no server has a slot that they may use. */
function startItems(servers: Server[], reserve: number): Server[] {
  const free = trySelectServer(servers, { ...OPTIONS, reserve });
  if (free === undefined) return servers;
  return startItems(
    servers.map((one) =>
      one === free ? createServer(one.id, one.online, one.batch + 1) : one
    ),
    reserve,
  );
}

const preemptRuns = (servers: Server[]): Server[] =>
  servers.map((one) =>
    createServer(
      one.id,
      one.online,
      one.batch - countRunsToPreempt(one, { nonUrgent: 0, urgent: one.batch }),
    )
  );

/** Admission decision for a request that finds all slots occupied. */
const admit = (least: Server | undefined) =>
  decideAdmission({
    busy: (least?.busy ?? 0) - (least?.batch ?? 0),
    slots: SLOTS,
    serviceMs: SERVICE_MS,
    targetMs: TARGET_MS,
    waitedMs: 0,
  });

describe("batch between online bursts", () => {
  const times = { dueMs: 10_000, urgentFromMs: 4_000, remainingMs: 3_000 };

  it("reserves a slot of each server until items are urgent", () => {
    const server = createServer("s", 3, 4);
    const select = (wallMs: number) =>
      trySelectServer([server], {
        ...OPTIONS,
        reserve: getReservedSlots(times, wallMs),
      });
    expect(select(3_999)).equal(undefined);
    expect(select(4_000)).equal(server);
    expect(select(7_001), "can't finish in time").equal(undefined);
    const full = createServer("s", 4, 4);
    expect(countRunsToPreempt(full, { nonUrgent: 3, urgent: 1 })).equal(1);
    expect(countRunsToPreempt(full, { nonUrgent: 0, urgent: 4 })).equal(0);
    const queued = createServer("s", 6, 4);
    expect(countRunsToPreempt(queued, { nonUrgent: 1, urgent: 3 })).equal(2);
    expect(countRunsToPreempt(queued, { nonUrgent: 4, urgent: 0 })).equal(3);
  });

  it("treats an item as urgent well before its results are due", () => {
    expect(getUrgentFromMs(1_000, 19_000)).equal(3_700);
  });

  const lowLoad = range(11).map((index) =>
    createServer(`s${index}`, index % 2, 0)
  );

  it("fills every slot between bursts", () => {
    const full = startItems(lowLoad, 0);
    expect(full.every((one) => one.busy === SLOTS)).equal(true);
  });

  it("gives each request of a growing burst a slot at the next update", () => {
    // 60 requests in 300 ms, reported in steps of 20; they run for longer.
    const afterBurst = range(3).reduce((servers) => {
      const withRequests = range(20).reduce((now) => {
        const least = tryGetLeastLoaded(now, OPTIONS);
        const decision = admit(least);
        expect(decision.kind).equal("send");
        return now.map((one) =>
          one === least ? createServer(one.id, one.online + 1, one.batch) : one
        );
      }, servers);
      const after = preemptRuns(withRequests);
      expect(after.every((one) => one.busy <= SLOTS)).equal(true);
      return after;
    }, startItems(lowLoad, 0));
    // Items keep the slots that the burst does not need.
    expect(afterBurst.every((one) => one.busy === SLOTS)).equal(true);
  });

  it("holds a request only if online requests alone fill the servers", () => {
    const saturated = lowLoad.map(({ id }) => createServer(id, SLOTS, 0));
    const least = tryGetLeastLoaded(saturated, OPTIONS);
    const decision = admit(least);
    expect(decision.kind).equal("wait");
  });

  it("queues at the server with the fewest online requests", () => {
    const servers = [createServer("a", 6, 2), createServer("b", 2, 6)];
    expect(tryGetLeastLoaded(servers, OPTIONS)?.id).equal("b");
  });

  it("starts no items for a while on a server that preempted a new one", () => {
    const cooldown = new PreemptionCooldown();
    cooldown.recordPreemption("s", 2_000, 10_000);
    expect(cooldown.mayStart("s", 10_000)).equal(true);
    cooldown.recordPreemption("s", 50, 10_000);
    expect(cooldown.mayStart("s", 10_100)).equal(false);
    expect(cooldown.mayStart("other", 10_100)).equal(true);
    expect(cooldown.mayStart("s", 10_350)).equal(true);
    // In a burst of 2.4 s each free slot is taken within 50 ms.
    const starts = range(48).filter((step) => {
      const nowMs = 20_000 + step * 50;
      if (!cooldown.mayStart("s", nowMs)) return false;
      cooldown.recordPreemption("s", 50, nowMs + 50);
      return true;
    });
    expect(starts).length(6);
  });

  it("orders items that can't finish in time after those that can", () => {
    const item = (dueMs: number, remainingMs: number) => ({
      dueMs,
      urgentFromMs: 0,
      remainingMs,
      openJobItems: 1,
    });
    const infeasible = item(5_000, 4_000);
    const nearlyDone = item(5_000, 100);
    const next = item(9_000, 4_000);
    const order = [infeasible, next, nearlyDone]
      .sort((a, b) => compareWaitingItems(a, b, 2_000));
    expect(order).deep.equal([nearlyDone, next, infeasible]);
  });

  it("completes as many items in time as possible under overload", () => {
    // One slot, 2 s per item, one new item every 1.5 s, due 6 s after arrival.
    const runAll = (compare: typeof compareWaitingItems) => {
      let nowMs = 0;
      let inTime = 0;
      const waiting = range(200).map((index) => ({
        dueMs: index * 1_500 + 6_000,
        urgentFromMs: 0,
        remainingMs: 2_000,
        openJobItems: 1,
      }));
      while (waiting.length > 0) {
        const here = waiting.filter((one) => one.dueMs - 6_000 <= nowMs)
          .sort((a, b) => compare(a, b, nowMs));
        const one = here[0];
        nowMs += one === undefined ? 100 : one.remainingMs;
        if (one === undefined) continue;
        waiting.splice(waiting.indexOf(one), 1);
        if (nowMs <= one.dueMs) inTime += 1;
      }
      return inTime;
    };
    const byDueTime = runAll((a, b) => a.dueMs - b.dueMs);
    expect(byDueTime).below(20);
    expect(runAll(compareWaitingItems)).above(140);
  });

  it("estimates the remaining run time of an item", () => {
    const estimate = new RunTimeEstimator();
    expect(estimate.getRemainingMs("r", 0)).equal(0);
    estimate.recordRun("r", 50, 1_000);
    expect(estimate.getRemainingMs("r", 0)).equal(0);
    estimate.recordItemEvents("r", 200);
    expect(estimate.getRemainingMs("r", 0)).equal(4_000);
    expect(estimate.getRemainingMs("r", 150)).equal(1_000);
    expect(estimate.getRemainingMs("r", 250)).equal(0);
    estimate.recordRun("r", 0, 5_000);
    expect(estimate.getRemainingMs("r", 0)).equal(4_000);
  });

  it("preempts the item that is due last, of these the newest", () => {
    const runs = [
      {
        item: "early",
        startedMs: 5,
        dueMs: 100,
        urgentFromMs: 0,
        remainingMs: 0,
      },
      {
        item: "old",
        startedMs: 1,
        dueMs: 200,
        urgentFromMs: 0,
        remainingMs: 0,
      },
      {
        item: "young",
        startedMs: 9,
        dueMs: 200,
        urgentFromMs: 0,
        remainingMs: 0,
      },
    ];
    expect(selectRunsToPreempt(runs, 1, 50).map((run) => run.item))
      .deep.equal(["young"]);
    expect(selectRunsToPreempt(runs, 1, 150).map((run) => run.item), "too late")
      .deep.equal(["early"]);
  });
});
