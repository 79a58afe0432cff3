/** Runs a scenario in each of its modes and compares them. */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { Emphasis, type Scenario } from "../schema/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { BenchFleet, type FleetCounts } from "./bench_fleet.ts";
import { sendRequest } from "./caller.ts";
import { FleetName } from "./fleet.ts";
import { createPrompt, type OnlineResult, runOnline } from "./load.ts";

/** Ways of running batch beside online requests. */
export const Mode = {
  onlineAlone: "online-alone",
  sharedQueue: "shared-queue",
  fixedSplit: "fixed-split",
  noGiveWay: "no-give-way",
  latency: "latency",
  throughput: "throughput",
} as const;

/** A way of running batch. */
export type Mode = typeof Mode[keyof typeof Mode];

/** Figures of one mode. */
export interface ModeResult {
  readonly mode: Mode;
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly broken: number;
  readonly failures: readonly string[];
  readonly firstTokenMs: { p50: number; p95: number; p99: number };
  readonly tokenGapMs: { p50: number; p95: number; p99: number };
  readonly onlineTokensPerS: number;
  readonly batchTokensPerS: number;
  /** Batch tokens over what online alone leaves of the capacity. */
  readonly idleUse: number;
  readonly entryBusy: number;
  readonly stateBusy: number;
}

const US_PER_MS = 1_000;

/** Batch items queued before a run, so that batch never runs dry. */
const BACKLOG_CAPACITY_FACTOR = 1.5;
const ITEMS_PER_JOB = 4_000;

/** Requests that a shared queue sends for each sequence of an engine. */
const SHARED_QUEUE_OVERSUBSCRIPTION = 1.5;

/** Prompts that 95 in 100 steps read in at most beside giving tokens. */
const PREFILLS_PER_STEP_P95 = 2;

/** Sequences at which 95 in 100 token gaps of an engine meet their target. */
export function getSequenceTarget(scenario: Scenario): number {
  const prefillUs = (scenario.batchPromptTokens ?? 0) *
    (scenario.prefillTokenUs ?? 0);
  const decodeUs = (scenario.tokenGapTargetMs ?? 0) * US_PER_MS -
    PREFILLS_PER_STEP_P95 * prefillUs;
  const baseStepUs = scenario.baseStepUs ?? 0;
  const sequenceStepUs = Math.max(1, scenario.sequenceStepUs ?? 1);
  const sequences = Math.floor((decodeUs - baseStepUs) / sequenceStepUs);
  return Math.max(1, Math.min(scenario.maxSequences ?? 1, sequences));
}

/** Tokens a second that all engines give at the target, prompts aside. */
export function getTokenCapacity(scenario: Scenario): number {
  const sequences = getSequenceTarget(scenario);
  const stepUs = (scenario.baseStepUs ?? 0) +
    sequences * (scenario.sequenceStepUs ?? 0);
  // A sequence's prompt is read in once for all of its tokens.
  const prefillUs = (scenario.batchPromptTokens ?? 0) *
    (scenario.prefillTokenUs ?? 0) / (scenario.batchOutputTokens ?? 1);
  const perTokenUs = stepUs / sequences + prefillUs;
  return (scenario.engines ?? 1) * 1_000_000 / perTokenUs;
}

function getPercentiles(histogram: OnlineResult["firstToken"]) {
  const get = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / US_PER_MS;
  return { p50: get(50), p95: get(95), p99: get(99) };
}

function getEmphasis(mode: Mode): Emphasis {
  return mode === Mode.latency ? Emphasis.LATENCY : Emphasis.THROUGHPUT;
}

function getRule(mode: Mode, scenario: Scenario) {
  const half = Math.floor(getSequenceTarget(scenario) / 2);
  if (mode === Mode.fixedSplit) {
    return { batchReserve: half, batchStays: true };
  }
  return { batchStays: mode === Mode.noGiveWay };
}

async function submitBacklog(
  scenario: Scenario,
  address: string,
): Promise<void> {
  const seconds = (scenario.seconds ?? 0) + (scenario.warmupSeconds ?? 0);
  const tokens = getTokenCapacity(scenario) * seconds * BACKLOG_CAPACITY_FACTOR;
  const count = Math.ceil(tokens / (scenario.batchOutputTokens ?? 1));
  const jobs = Math.ceil(count / ITEMS_PER_JOB);
  for (let job = 0; job < jobs; job += 1) {
    const lines = Array.from(
      { length: ITEMS_PER_JOB },
      (_, index) =>
        JSON.stringify({
          prompt: createPrompt(
            `batch ${job} ${index}`,
            scenario.batchPromptTokens ?? 1,
          ),
          max_tokens: scenario.batchOutputTokens,
        }),
    );
    await sendRequest(
      address,
      `/v1/jobs?workload=${FleetName.workload}`,
      lines.join("\n"),
    );
  }
}

/** Sends batch items as if they were online requests, without pause. */
function startSharedQueue(
  scenario: Scenario,
  addresses: readonly string[],
): { stop(): void } {
  let isStopped = false;
  let sent = 0;
  const senders = Math.ceil(
    (scenario.engines ?? 1) * (scenario.maxSequences ?? 1) *
      SHARED_QUEUE_OVERSUBSCRIPTION,
  );
  const runSender = async (lane: number) => {
    while (!isStopped) {
      sent += 1;
      await sendRequest(
        addresses[lane % addresses.length] ?? "",
        "/v1/completions",
        {
          model: FleetName.model,
          prompt: createPrompt(
            `batch ${sent}`,
            scenario.batchPromptTokens ?? 1,
          ),
          max_tokens: scenario.batchOutputTokens,
        },
      ).catch(() => {});
    }
  };
  Array.from({ length: senders }, (_, lane) => runSender(lane));
  return {
    stop: () => {
      isStopped = true;
    },
  };
}

async function runMode(scenario: Scenario, mode: Mode) {
  const clock = new SystemClock();
  const folder = await mkdtemp(path.join(tmpdir(), "papayatally-bench-"));
  const fleet = new BenchFleet();
  try {
    await fleet.start({
      scenario,
      folder,
      emphasis: getEmphasis(mode),
      rule: getRule(mode, scenario),
    });
    const { entryAddresses } = fleet;
    const submitsJobs = mode !== Mode.onlineAlone && mode !== Mode.sharedQueue;
    if (submitsJobs) await submitBacklog(scenario, entryAddresses[0] ?? "");
    const sharedQueue = mode === Mode.sharedQueue
      ? startSharedQueue(scenario, entryAddresses)
      : undefined;
    const warmupMs = (scenario.warmupSeconds ?? 0) * 1_000;
    const measuredMs = (scenario.seconds ?? 0) * 1_000;
    const pendingCounts = countMeasuredTime(fleet, {
      clock,
      warmupMs,
      lengthMs: measuredMs,
    });
    const crashTimer = clock.startTimer(
      warmupMs + measuredMs / 2,
      () => fleet.crashEngines(scenario.crashEngines ?? 0),
    );
    const online = await runOnline({
      scenario,
      addresses: entryAddresses,
      clock,
    });
    crashTimer.cancel();
    sharedQueue?.stop();
    return { online, counts: await pendingCounts };
  } finally {
    await fleet.close();
    await rm(folder, { recursive: true, force: true });
  }
}

/** Counts at the start and at the end of the measured time. */
async function countMeasuredTime(
  fleet: BenchFleet,
  options: { clock: SystemClock; warmupMs: number; lengthMs: number },
): Promise<{ before: FleetCounts; after: FleetCounts; seconds: number }> {
  await options.clock.delay(options.warmupMs);
  const startMs = options.clock.getMonotonicMs();
  const before = await fleet.count();
  await options.clock.delay(options.lengthMs);
  const after = await fleet.count();
  const elapsedMs = options.clock.getMonotonicMs() - startMs;
  return { before, after, seconds: elapsedMs / 1_000 };
}

function getMeanBusy(counts: readonly { busy: number }[]): number {
  const sum = counts.reduce((total, one) => total + one.busy, 0);
  return counts.length === 0 ? 0 : sum / counts.length;
}

/** Runs all modes of a scenario, one after the other. */
export async function runScenario(
  scenario: Scenario,
  onMode: (result: ModeResult) => void,
): Promise<ModeResult[]> {
  const modes = scenario.modes.length > 0
    ? scenario.modes as Mode[]
    : Object.values(Mode);
  const results: ModeResult[] = [];
  for (const mode of modes) {
    const { online, counts } = await runMode(scenario, mode);
    const totalTokensPerS = (counts.after.tokens - counts.before.tokens) /
      counts.seconds;
    const onlineTokensPerS = online.tokens / (scenario.seconds ?? 1);
    const batchTokensPerS = mode === Mode.onlineAlone
      ? 0
      : Math.max(0, totalTokensPerS - onlineTokensPerS);
    const onlineAloneResult = results.find((one) =>
      one.mode === Mode.onlineAlone
    );
    const idleCapacity = getTokenCapacity(scenario) -
      (onlineAloneResult?.onlineTokensPerS ?? onlineTokensPerS);
    const result: ModeResult = {
      mode,
      sent: online.sent,
      answered: online.answered,
      refused: online.refused,
      broken: online.broken,
      failures: online.failures,
      firstTokenMs: getPercentiles(online.firstToken),
      tokenGapMs: getPercentiles(online.tokenGap),
      onlineTokensPerS: onlineTokensPerS,
      batchTokensPerS: batchTokensPerS,
      idleUse: batchTokensPerS / idleCapacity,
      entryBusy: getMeanBusy(counts.after.entries),
      stateBusy: getMeanBusy(counts.after.states),
    };
    results.push(result);
    onMode(result);
  }
  return results;
}
