/**
 * Streams of items under freezes, cuts, kills, changes of runners and records
 * that come late or twice. A recorded text must follow one line of runs, each of
 * which was asked to continue at the event where it joins the text.
 */
import { expect } from "chai";
import { LoadKind } from "../membership/mod.ts";
import { ItemEnd, type ItemResult } from "../schema/mod.ts";
import { joinProgressParts } from "../state/mod.ts";
import { type Random, SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";
import {
  RecordFate,
  RunnerSimulation,
  type RunnerSimulationOptions,
  type SimulatedRunner,
} from "./runner_simulation.ts";

const EVENT_COUNT = 100;
const MAX_ATTEMPTS = 3;

/** Limit of the users' rule on items that fail at each run. */
const MAX_FAILED_ANSWERS = 3 * MAX_ATTEMPTS;

/** Time after the end of a job from which none of its items may start. */
const JOB_END_LIMIT_MS = 3_000;

/** Interval between two disturbances, in milliseconds. */
const STEP_MS = 500;
const STEP_COUNT = 60;
const RECOVERY_MS = 30_000;
const MAX_LAG_MS = 3_000;
const MAX_THAW_DELAY_MS = 400;

/** More than the slots of all servers. */
const BURST_REQUESTS = 48;
const MAX_BURST_MS = 600;

const SEEDS = range(50);

/** Seeds of the runs whose streams break off. */
const FAULT_SEEDS = range(12);

function restore(runner: SimulatedRunner, random: Random): void {
  runner.recordDelayMs = 10;
  runner.applyLagMs = 10;
  runner.recordFate = RecordFate.confirmed;
  runner.repeatRecordMs = undefined;
  runner.hasLeader = true;
  runner.getsEntries = true;
  if (runner.isFrozen) runner.thaw(random.getIntegerBelow(MAX_THAW_DELAY_MS));
}

/** Disturbs a runner in one random way, or restores it. */
function disturb(
  simulation: RunnerSimulation,
  runner: SimulatedRunner,
  random: Random,
): void {
  const fates = Object.values(RecordFate);
  const actions = [
    () => restore(runner, random),
    () => {
      runner.recordDelayMs = random.getIntegerBelow(MAX_LAG_MS);
    },
    () => {
      runner.applyLagMs = random.getIntegerBelow(MAX_LAG_MS);
    },
    () => {
      runner.recordFate = fates[random.getIntegerBelow(fates.length)] ??
        RecordFate.confirmed;
    },
    () => {
      runner.repeatRecordMs = random.getIntegerBelow(2 * MAX_LAG_MS);
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
    () => simulation.restart(runner),
  ];
  actions[random.getIntegerBelow(actions.length)]?.();
}

/** Fills the servers with online requests, which preempt items. */
function startBurst(runner: SimulatedRunner, random: Random): void {
  const permits = range(BURST_REQUESTS).map(() =>
    runner.pool.tryAcquire({
      service: "s",
      kind: LoadKind.online,
      prefix: [],
      excluded: new Set(),
    })
  );
  permits.forEach((permit) =>
    runner.clock.startTimer(
      random.getIntegerBelow(MAX_BURST_MS),
      () => permit?.release(),
    )
  );
}

/** Throws unless the lines follow one line of runs, from the first event on. */
function checkLines(simulation: RunnerSimulation, text: string): void {
  let previousRun = -1;
  text.split("\n").forEach((line, position) => {
    const [run = -1, event] = line.split(".").map(Number);
    expect(event, "number of the event").equal(position + 1);
    if (run !== previousRun) {
      expect(simulation.streamRuns[run]?.resumeAfter, `run ${run} continues`)
        .equal(position);
    }
    previousRun = run;
  });
}

function checkProgress(simulation: RunnerSimulation): void {
  simulation.committed.getOpenJobs().forEach(({ progress }) =>
    progress.forEach(({ parts, last }) => {
      const text = Buffer.from(joinProgressParts(parts)).toString();
      expect(text.split("\n")).length(last);
      checkLines(simulation, text);
    })
  );
}

function checkResult(simulation: RunnerSimulation, result: ItemResult): void {
  if (simulation.getStatus(result.id) !== 200) {
    expect(result.end).equal(ItemEnd.DEAD_LETTER);
    expect(simulation.countAnswers(result.id, 500))
      .within(MAX_ATTEMPTS, MAX_FAILED_ANSWERS);
    return;
  }
  const text = Buffer.from(result.text).toString();
  expect(text.split("\n")).length(EVENT_COUNT);
  checkLines(simulation, text);
}

async function runTroubles(simulation: RunnerSimulation, random: Random) {
  const ids = simulation.runners.map(({ id }) => id);
  for (const step of range(STEP_COUNT)) {
    if (step % 12 === 0) {
      simulation.submit(`j${step}`, [
        500,
        ...range(12).map(() => 200 as const),
      ]);
    }
    if (step === 30) simulation.submit("ended", range(10).map(() => 200));
    if (step === 33) simulation.commit({ case: "end", value: { id: "ended" } });
    simulation.runners.forEach((runner) => {
      if (random.getFraction() < 0.3) disturb(simulation, runner, random);
    });
    if (random.getFraction() < 0.4) {
      const chosen = ids.filter(() => random.getFraction() < 0.6);
      simulation.setRunners(chosen.length > 0 ? chosen : ids);
    }
    if (random.getFraction() < 0.03) {
      simulation.runners.forEach((runner) => simulation.restart(runner));
    }
    if (simulation.streamFaults !== undefined) {
      simulation.runners.filter(() => random.getFraction() < 0.5)
        .forEach((runner) => startBurst(runner, random));
    }
    await simulation.advance(STEP_MS);
    checkProgress(simulation);
  }
  simulation.runners.forEach((runner) => restore(runner, random));
  await simulation.advance(RECOVERY_MS);
}

async function checkChains(
  seed: number,
  options: Pick<RunnerSimulationOptions, "streamFaults"> = {},
): Promise<void> {
  const simulation = new RunnerSimulation(["a", "b", "c"], {
    eventCount: EVENT_COUNT,
    ...options,
  });
  await runTroubles(simulation, new SeededRandom(seed));
  expect(simulation.committed.getOpenJobs()).deep.equal([]);
  range(STEP_COUNT).filter((step) => step % 12 === 0).forEach((step) =>
    simulation.committed.tryGetJob(`j${step}`)?.results
      .forEach((result) => checkResult(simulation, result))
  );
  const endMs = 33 * STEP_MS + JOB_END_LIMIT_MS;
  expect(
    simulation.streamRuns.filter(({ item, atMs }) =>
      item.startsWith("ended") && atMs > endMs
    ),
  ).deep.equal([]);
}

describe("run chains", () => {
  // Guards against texts in which two runners' output was joined, because the
  // number of an event can't tell their runs apart.
  SEEDS.forEach((seed) => {
    it(`records one line of runs under random troubles, seed ${seed}`, () =>
      checkChains(seed)).timeout(0);
  });

  // Guards against texts that go on with a run that was asked for another part: streams
  // are cut between events and inside them, in any framing, or hold comments.
  FAULT_SEEDS.forEach((seed) => {
    it(`records one line of runs while streams break off, seed ${seed}`, () =>
      checkChains(seed, { streamFaults: new SeededRandom(seed) })).timeout(0);
  });
});
