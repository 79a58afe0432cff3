/**
 * Runners of job items whose records are slow, lost or applied late. A process
 * must not start an item again on state that lacks the outcome of its last run.
 */
import { expect } from "chai";
import { AttemptOutcomeHandler } from "../fleet/attempt_outcome_handler.ts";
import { runItemAttempt } from "../fleet/item_attempt.ts";
import { ItemProgress } from "../fleet/item_progress.ts";
import { ItemQueue } from "../fleet/item_queue.ts";
import type { ItemOutcome } from "../fleet/run_recorder.ts";
import type { PoolServer } from "../fleet/server_pool.ts";
import { LoadKind } from "../membership/mod.ts";
import { createProcessContext } from "../services/mod.ts";
import { type Random, SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";
import {
  createResponse,
  RecordFate,
  recordHeartbeats,
  registerVersions,
  RunnerSimulation,
  type SimulatedRunner,
} from "./runner_simulation.ts";

const MAX_ATTEMPTS = 3;

/** Limits of the users' rule on items that fail at each run. */
const MAX_FAILED_ANSWERS = 3 * MAX_ATTEMPTS;
const MAX_INVALID_ANSWERS = 3;

/** Longest run of an item before it is interrupted, in milliseconds. */
const TIME_SLICE_MS = 2_000;

/** Time after which the first runs have been answered, in milliseconds. */
const FIRST_RUNS_MS = 600;

/** Time from the thaw of a host to the first message, in milliseconds. */
const MESSAGE_DELAY_MS = 200;

const FATES = Object.values(RecordFate);

/** Disturbs a runner in one random way, or restores it. */
function disturb(runner: SimulatedRunner, random: Random): void {
  const actions = [
    () => restore(runner),
    () => {
      runner.recordDelayMs = random.getIntegerBelow(1_500);
    },
    () => {
      runner.applyLagMs = random.getIntegerBelow(1_500);
    },
    () => {
      runner.recordFate = FATES[random.getIntegerBelow(FATES.length)] ??
        RecordFate.confirmed;
    },
    () => {
      runner.hasLeader = false;
    },
    () => {
      runner.getsEntries = false;
    },
    () => {
      runner.isFrozen = true;
    },
  ];
  actions[random.getIntegerBelow(actions.length)]?.();
}

function restore(runner: SimulatedRunner): void {
  runner.recordDelayMs = 10;
  runner.applyLagMs = 10;
  runner.recordFate = RecordFate.confirmed;
  runner.hasLeader = true;
  runner.getsEntries = true;
  runner.isFrozen = false;
}

function getStartedItems(runner: SimulatedRunner): string[] {
  return runner.log.lines.filter((line) => line.includes("event=item_started"))
    .map((line) => /item=(\S+)/.exec(line)?.[1] ?? "");
}

describe("item runner", () => {
  let simulation: RunnerSimulation;
  const create = (ids: string[]) => {
    simulation = new RunnerSimulation(ids);
    return simulation;
  };

  it("gives an item up after as many failures as its route allows", async () => {
    const { runner } = create(["a"]);
    const [failing = "", invalid = "", sound = ""] = simulation.submit("j", [
      500,
      422,
      200,
    ]);
    await simulation.advance(5_000);
    expect(simulation.countAnswers(failing, 500)).equal(MAX_ATTEMPTS);
    expect(simulation.countAnswers(invalid, 422)).equal(1);
    expect(simulation.countAnswers(sound, 200)).equal(1);
    expect(runner.machine.getOpenJobs()).deep.equal([]);
    const starts = runner.log.lines.filter((line) =>
      line.includes("event=item_started") && line.includes(`item=${failing}`)
    ).map((line) => /failures=(\d+)/.exec(line)?.[1]);
    expect(starts).deep.equal(["0", "1", "2"]);
  });

  // Guards against repeats of a failing item while the record of its last
  // failure is under way: all of them were recorded as one failure.
  it("does not repeat a failing item before its failure is recorded", async () => {
    const { runner } = create(["a"]);
    runner.recordDelayMs = 1_900;
    const [item = ""] = simulation.submit("j", [500]);
    await simulation.advance(30_000);
    expect(simulation.countAnswers(item, 500)).equal(MAX_ATTEMPTS);
    expect(simulation.committed.getOpenJobs()).deep.equal([]);
  });

  // Guards against repeats by a runner that applies the log late.
  it("does not repeat a failing item before its failure is applied", async () => {
    const { runner } = create(["a"]);
    const [item = ""] = simulation.submit("j", [500]);
    runner.applyLagMs = 4_000;
    await simulation.advance(30_000);
    expect(simulation.countAnswers(item, 500)).equal(MAX_ATTEMPTS);
    expect(simulation.committed.getOpenJobs()).deep.equal([]);
  });

  // Guards against items of ended jobs on a host that was suspended: until the
  // first message reaches it, it still knows its leader and the jobs of before.
  it("starts nothing of a job that ended while its host was frozen", async () => {
    const { runner } = create(["a"]);
    // The first runs are answered after the thaw, before the first message.
    runner.runMs = 400;
    simulation.submit("j", range(200).map(() => 200));
    await simulation.advance(FIRST_RUNS_MS + 300);
    runner.isFrozen = true;
    simulation.commit({ case: "end", value: { id: "j" } });
    await simulation.advance(6_000);
    const startedBefore = getStartedItems(runner);
    expect(startedBefore).not.deep.equal([]);
    runner.thaw(MESSAGE_DELAY_MS);
    await simulation.advance(1_000);
    expect(getStartedItems(runner)).deep.equal(startedBefore);
    expect(runner.machine.getOpenJobs()).deep.equal([]);
  });

  // Guards against runs that were given up by a host that was suspended for less
  // time than it takes others to replace it, or whose wall clock was stepped.
  [
    {
      trouble: "a short freeze",
      cause: async (runner: SimulatedRunner) => {
        runner.isFrozen = true;
        await simulation.advance(300);
        runner.thaw(MESSAGE_DELAY_MS);
      },
    },
    {
      trouble: "a step of the wall clock",
      cause: (runner: SimulatedRunner) => {
        runner.clock.stepWall(-5_000);
        runner.confirmContactIn(MESSAGE_DELAY_MS);
        return Promise.resolve();
      },
    },
  ].forEach(({ trouble, cause }) => {
    it(`keeps its runs over ${trouble}`, async () => {
      simulation = new RunnerSimulation(["a"], { eventCount: 40 });
      const items = simulation.submit("j", range(8).map(() => 200));
      await simulation.advance(FIRST_RUNS_MS + 400);
      expect(simulation.streamRuns).length(items.length);
      await cause(simulation.runner);
      await simulation.advance(3_000);
      expect(simulation.streamRuns).length(items.length);
      expect(simulation.committed.getOpenJobs()).deep.equal([]);
    });
  });

  // Guards against outcomes that were dropped when no leader was known, so that
  // each loss of a leader gave all failing and invalid items another run.
  it("keeps outcomes over the loss of the leader", async () => {
    const { runner } = create(["a"]);
    const [failing = "", invalid = "", sound = ""] = simulation.submit("j", [
      500,
      422,
      200,
    ]);
    for (let loss = 0; loss < 6; loss += 1) {
      runner.recordFate = RecordFate.lost;
      await simulation.advance(300);
      runner.hasLeader = false;
      await simulation.advance(4_000);
      runner.hasLeader = true;
    }
    expect(simulation.countAnswers(failing, 500)).most(MAX_ATTEMPTS);
    expect(simulation.countAnswers(invalid, 422)).equal(1);
    expect(simulation.countAnswers(sound, 200)).equal(1);
    runner.recordFate = RecordFate.confirmed;
    await simulation.advance(10_000);
    expect(simulation.committed.getOpenJobs()).deep.equal([]);
    expect(simulation.countAnswers(failing, 500)).equal(MAX_ATTEMPTS);
    expect(simulation.countAnswers(sound, 200)).equal(1);
  });

  // Guards against a failure that is counted twice: it was committed, its reply
  // was lost, and it is offered again.
  it("counts a failure once whose record is offered again", async () => {
    const { runner } = create(["a"]);
    runner.recordFate = RecordFate.unconfirmed;
    const [item = ""] = simulation.submit("j", [500]);
    await simulation.advance(20_000);
    expect(simulation.countAnswers(item, 500)).equal(MAX_ATTEMPTS);
    expect(simulation.committed.getOpenJobs()).deep.equal([]);
  });

  // Guards against items of ended jobs that were started by a host which knew a
  // leader and had not applied the end: after a freeze, a cut or its removal.
  it("starts nothing on a state that lacks what its leader committed", async () => {
    const { runner } = create(["a"]);
    await simulation.advance(FIRST_RUNS_MS);
    runner.getsEntries = false;
    await simulation.advance(1_000);
    simulation.submit("j", [200, 500]);
    runner.applyUntil(simulation.nowMs);
    simulation.commit({ case: "end", value: { id: "j" } });
    await simulation.advance(20_000);
    expect(simulation.answered).deep.equal([]);
    runner.getsEntries = true;
    await simulation.advance(5_000);
    expect(simulation.answered).deep.equal([]);
  });

  // Guards against outcomes that were lost at each planned stop of a host, so
  // that other runners ran their items once more.
  it("records the outcomes that it has before it stops", async () => {
    const { runner } = create(["a"]);
    runner.recordDelayMs = 200;
    simulation.submit("j", [500, 422, 200]);
    await simulation.advance(FIRST_RUNS_MS);
    expect(simulation.answered).length(3);
    const stopped = runner.itemRunner.stop(1_000);
    await simulation.advance(500);
    await stopped;
    const [job] = simulation.committed.getOpenJobs();
    expect([...job?.open.keys() ?? []]).deep.equal(["j-0"]);
    expect(job?.failures.get("j-0")).equal(1);
  });

  it("stops in time although its outcomes can't be recorded", async () => {
    const { runner } = create(["a"]);
    runner.recordFate = RecordFate.lost;
    simulation.submit("j", [200]);
    await simulation.advance(FIRST_RUNS_MS);
    expect(simulation.answered).length(1);
    let hasStopped = false;
    runner.itemRunner.stop(1_000).then(() => {
      hasStopped = true;
    });
    await simulation.advance(900);
    expect(hasStopped).equal(false);
    await simulation.advance(200);
    expect(hasStopped).equal(true);
  });

  // Guards against answers that were forgotten because the run was preempted or
  // its time slice ended while the body of the answer was being read.
  it("counts an answer whose run is stopped before its body has ended", async () => {
    const outcomes = await Promise.all(
      ([500, 422, 200] as const).map(async (status) => {
        const abortController = new AbortController();
        const response = createResponse(status, { isEnded: false });
        const outcome = runItemAttempt({
          backendClient: {
            send: () => Promise.resolve({ kind: "response", response }),
          },
          request: {
            requestId: "i",
            method: "POST",
            target: "/",
            headers: [],
            body: Buffer.alloc(0),
          },
          permit: { server: {} as PoolServer, startedMs: 0, release: () => {} },
          timeoutMs: 1_000,
          progress: new ItemProgress({ random: new SeededRandom(1) }),
          signal: abortController.signal,
        });
        setImmediate(() => abortController.abort());
        return (await outcome).kind;
      }),
    );
    expect(outcomes).deep.equal(["failed", "invalid", "stopped"]);
  });

  // Guards against answers that had arrived but were not read before the run was
  // stopped: on a busy host timers are served before connections.
  it("counts an answer that arrives when the run is being stopped", async () => {
    const { runner } = create(["a"]);
    runner.runMs = TIME_SLICE_MS;
    const [item = ""] = simulation.submit("j", [500]);
    await simulation.advance(20_000);
    expect(simulation.countAnswers(item, 500)).equal(MAX_ATTEMPTS);
    expect(simulation.committed.getOpenJobs()).deep.equal([]);
  });

  // Guards against results with an empty text: the run ended while it was being
  // stopped, after its host had dropped the item's progress.
  it("records the text of a run whose item was dropped meanwhile", () => {
    const { runner } = create(["a"]);
    const [item = ""] = simulation.submit("j", [200]);
    runner.applyUntil(simulation.nowMs);
    const [queued] = runner.machine.getOpenJobs();
    const jobItem = queued?.open.get(item);
    if (queued === undefined || jobItem === undefined) {
      throw new Error("no item");
    }
    const results: ItemOutcome[] = [];
    const handler = new AttemptOutcomeHandler({
      recorder: {
        addOutcome: (_job, result) => results.push(result),
        addFailure: () => {},
      },
      queue: new ItemQueue(),
      pool: { recordFailure: () => {} },
      context: createProcessContext({ name: "test", clock: runner.clock }),
    });
    const progress = new ItemProgress({ random: new SeededRandom(1) });
    progress.appendChunk(Buffer.from("id: 1\ndata: text\n\n"));
    handler.handle({
      queued,
      item: jobItem,
      outcome: { kind: "done" },
      server: "s-0",
      progress,
    });
    expect(results.map(({ text }) => Buffer.from(text).toString()))
      .deep.equal(["text"]);
  });

  // Guards against items that wait for the last servers of a software version
  // while others are idle.
  it("starts an item anew if its version is full for long while another is free", async () => {
    simulation = new RunnerSimulation(["a"], { eventCount: 10 });
    const { runner } = simulation;
    registerVersions(runner.view, [
      { version: "v2", slots: 8 },
      { version: "v1", slots: 1 },
    ]);
    const full = runner.pool.getServers("s", "v1");
    full.forEach(({ id }) => runner.pool.loads.begin(id, LoadKind.online));
    const [item = ""] = simulation.submit("j", [200]);
    simulation.commit({
      case: "recordRuns",
      value: {
        progress: [{
          job: "j",
          item,
          last: 3n,
          chain: 7n,
          text: Buffer.from("1\n2\n3"),
          softwareVersion: "v1",
        }],
      },
    });
    await simulation.advance(2_500);
    expect(simulation.streamRuns).deep.equal([]);
    await simulation.advance(5_000);
    expect(simulation.streamRuns.map(({ resumeAfter }) => resumeAfter))
      .deep.equal([0]);
    expect(simulation.committed.getOpenJobs()).deep.equal([]);
  });

  // Guards against output of an unknown version being joined to that of the only
  // version that a store host knows; it may not have heard of another one.
  it("starts an item anew if the version of its output is unknown", async () => {
    simulation = new RunnerSimulation(["a"], { eventCount: 10 });
    const { runner } = simulation;
    registerVersions(runner.view, [{ version: "v1", slots: 8 }]);
    await simulation.advance(61_000);
    recordHeartbeats(runner.view);
    const [item = ""] = simulation.submit("j", [200]);
    simulation.commit({
      case: "recordRuns",
      value: {
        progress: [{
          job: "j",
          item,
          last: 3n,
          chain: 7n,
          text: Buffer.from("1\n2\n3"),
        }],
      },
    });
    await simulation.advance(5_000);
    expect(simulation.streamRuns.map(({ resumeAfter }) => resumeAfter))
      .deep.equal([0]);
  });

  /** Runs an attempt at an item that has output up to an event. */
  const runAttemptAfter = async (
    last: number,
    { isEnded, isReplaced }: { isEnded: boolean; isReplaced: boolean },
  ) => {
    const abortController = new AbortController();
    const recorded = {
      last,
      chain: 7n,
      parts: [Buffer.from("1")],
      softwareVersion: "v1",
    };
    const progress = new ItemProgress({
      random: new SeededRandom(1),
      ...last > 0 ? { recorded } : {},
    });
    const response = createResponse(200, { isEnded, event: last + 1 });
    const outcome = runItemAttempt({
      backendClient: {
        send: () => Promise.resolve({ kind: "response", response }),
      },
      request: {
        requestId: "i",
        method: "POST",
        target: "/",
        headers: [],
        body: Buffer.alloc(0),
      },
      permit: { server: {} as PoolServer, startedMs: 0, release: () => {} },
      timeoutMs: 1_000,
      progress,
      signal: abortController.signal,
      isReplaced: () => isReplaced,
    });
    setImmediate(() => abortController.abort());
    return { kind: (await outcome).kind, last: progress.last };
  };

  // Guards against output of a server that was started again with another software
  // version, unheard, being joined to that of the version that it had before.
  it("discards output that may be of either start of its server", async () => {
    const isReplaced = true;
    expect(await runAttemptAfter(0, { isEnded: false, isReplaced }))
      .deep.equal({ kind: "broken", last: undefined });
    expect(await runAttemptAfter(1, { isEnded: true, isReplaced }))
      .deep.equal({ kind: "broken", last: undefined });
    expect(await runAttemptAfter(0, { isEnded: true, isReplaced }))
      .deep.equal({ kind: "done", last: 1 });
    expect(await runAttemptAfter(1, { isEnded: true, isReplaced: false }))
      .deep.equal({ kind: "done", last: 2 });
  });

  // Guards against repeats that add up over slow and lost records, losses of
  // the leader, frozen runners and changes of the runners.
  range(30).forEach((seed) => {
    it(`keeps the limits of repeats under random troubles, seed ${seed}`, async () => {
      const random = new SeededRandom(seed);
      const { runners } = create(["a", "b", "c"]);
      const ids = runners.map(({ id }) => id);
      const items = simulation.submit("j", [500, 422, 200, 500, 422, 200]);
      for (const _ of range(60)) {
        runners.forEach((runner) => {
          if (random.getFraction() < 0.4) disturb(runner, random);
        });
        if (random.getFraction() < 0.2) {
          const chosen = ids.filter(() => random.getFraction() < 0.6);
          simulation.setRunners(chosen.length > 0 ? chosen : ids);
        }
        await simulation.advance(500);
      }
      runners.forEach(restore);
      await simulation.advance(20_000);
      items.forEach((item) => {
        expect(simulation.countAnswers(item, 500), item)
          .most(MAX_FAILED_ANSWERS);
        expect(simulation.countAnswers(item, 422), item)
          .most(MAX_INVALID_ANSWERS);
      });
      expect(simulation.committed.getOpenJobs()).deep.equal([]);
    });
  });
});
