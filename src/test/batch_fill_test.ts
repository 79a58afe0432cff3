/**
 * Load pattern: online bursts every few seconds over a low base, with more
 * items waiting than fit. Items take every slot of the valley; when the burst
 * rises, each online request gets a slot as soon as the process that runs the
 * items has heard of it.
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

/** Items start until no server has a slot that they may take. */
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

/** What a request meets that finds every slot taken. */
const admit = (least: Server | undefined) =>
  decideAdmission({
    busy: (least?.busy ?? 0) - (least?.batch ?? 0),
    slots: SLOTS,
    serviceMs: SERVICE_MS,
    targetMs: TARGET_MS,
    waitedMs: 0,
  });

describe("batch in the gaps", () => {
  const times = { dueMs: 10_000, urgentFromMs: 4_000, remainingMs: 3_000 };

  it("leaves a slot of each server alone until items are urgent", () => {
    const server = createServer("s", 3, 4);
    const select = (wallMs: number) =>
      trySelectServer([server], {
        ...OPTIONS,
        reserve: getReservedSlots(times, wallMs),
      });
    expect(select(3_999)).equal(undefined);
    expect(select(4_000)).equal(server);
    expect(select(7_001), "too late to be in time").equal(undefined);
    const full = createServer("s", 4, 4);
    expect(countRunsToPreempt(full, { nonUrgent: 3, urgent: 1 })).equal(1);
    expect(countRunsToPreempt(full, { nonUrgent: 0, urgent: 4 })).equal(0);
    const queued = createServer("s", 6, 4);
    expect(countRunsToPreempt(queued, { nonUrgent: 1, urgent: 3 })).equal(2);
    expect(countRunsToPreempt(queued, { nonUrgent: 4, urgent: 0 })).equal(3);
  });

  it("counts an item as urgent well before its results are due", () => {
    expect(getUrgentFromMs(1_000, 19_000)).equal(3_700);
  });

  const lowLoad = range(11).map((index) =>
    createServer(`s${index}`, index % 2, 0)
  );

  it("takes every slot of the valley", () => {
    const full = startItems(lowLoad, 0);
    expect(full.every((one) => one.busy === SLOTS)).equal(true);
  });

  it("gives each request of a rising burst a slot at the next look", () => {
    // 60 requests in 300 ms, heard in steps of 20; they last longer than that.
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
    // Items keep what the burst leaves.
    expect(afterBurst.every((one) => one.busy === SLOTS)).equal(true);
  });

  it("holds a request only where online requests alone fill the servers", () => {
    const saturated = lowLoad.map(({ id }) => createServer(id, SLOTS, 0));
    const least = tryGetLeastLoaded(saturated, OPTIONS);
    const decision = admit(least);
    expect(decision.kind).equal("wait");
  });

  it("queues where the fewest online requests are", () => {
    const servers = [createServer("a", 6, 2), createServer("b", 2, 6)];
    expect(tryGetLeastLoaded(servers, OPTIONS)?.id).equal("b");
  });

  it("starts nothing for a while where a burst drove an item out", () => {
    const cooldown = new PreemptionCooldown();
    cooldown.recordPreemption("s", 2_000, 10_000);
    expect(cooldown.mayStart("s", 10_000)).equal(true);
    cooldown.recordPreemption("s", 50, 10_000);
    expect(cooldown.mayStart("s", 10_100)).equal(false);
    expect(cooldown.mayStart("other", 10_100)).equal(true);
    expect(cooldown.mayStart("s", 10_350)).equal(true);
    // In a burst of 2.4 s each slot that frees is taken within 50 ms.
    const starts = range(48).filter((step) => {
      const nowMs = 20_000 + step * 50;
      if (!cooldown.mayStart("s", nowMs)) return false;
      cooldown.recordPreemption("s", 50, nowMs + 50);
      return true;
    });
    expect(starts).length(6);
  });

  it("puts items that can't be in time behind those that can", () => {
    const item = (dueMs: number, remainingMs: number) => ({
      dueMs,
      urgentFromMs: 0,
      remainingMs,
      jobOpen: 1,
    });
    const infeasible = item(5_000, 4_000);
    const nearlyDone = item(5_000, 100);
    const next = item(9_000, 4_000);
    const order = [infeasible, next, nearlyDone]
      .sort((a, b) => compareWaitingItems(a, b, 2_000));
    expect(order).deep.equal([nearlyDone, next, infeasible]);
  });

  it("does as many in time as fit when more come than can be done", () => {
    // One slot, 2 s an item, one item each 1.5 s, due 6 s after it came.
    const runAll = (compare: typeof compareWaitingItems) => {
      let nowMs = 0;
      let inTime = 0;
      const waiting = range(200).map((index) => ({
        dueMs: index * 1_500 + 6_000,
        urgentFromMs: 0,
        remainingMs: 2_000,
        jobOpen: 1,
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

  it("learns how long an item needs", () => {
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

  it("stops the item that is due last, of these the youngest", () => {
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
