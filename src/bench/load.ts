/**
 * Open-loop load: arrivals follow the clock and the seed, whatever the answers
 * do, and each time is measured from when the request was due.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Scenario } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { SeededRandom } from "../sys/random.ts";
import { streamCompletion } from "./caller.ts";
import { FleetName } from "./fleet.ts";

/** One request that is due. */
interface Arrival {
  readonly atMs: number;
  readonly prompt: string;
  readonly tokens: number;
}

/** What online callers saw. */
export interface OnlineResult {
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly broken: number;
  readonly tokens: number;
  /** What broken answers said, the first few of them. */
  readonly failures: readonly string[];
  /** Microseconds from when a request was due. */
  readonly firstToken: Histogram;
  /** Microseconds. */
  readonly tokenGap: Histogram;
}

const US_PER_MS = 1_000;
const MAX_TRACKED_US = 600_000_000;
const CHARACTERS_PER_TOKEN = 4;
const MAX_FAILURES = 8;

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKED_US,
    numberOfSignificantValueDigits: 3,
  });
}

/** Text of about `tokens` tokens that starts differently for each name. */
export function createPrompt(label: string, tokens: number): string {
  return `${label} `.padEnd(tokens * CHARACTERS_PER_TOKEN, "lorem ipsum ");
}

/** All arrivals of a run, from its seed. */
export function createArrivals(scenario: Scenario, endMs: number): Arrival[] {
  const random = new SeededRandom(scenario.seed ?? 1);
  const rate = (scenario.onlinePerSecond ?? 0) / 1_000;
  const factor = scenario.burstFactor ?? 1;
  const arrivals: Arrival[] = [];
  if (rate === 0) return arrivals;
  let atMs = 0;
  while (atMs < endMs) {
    const phaseMs = atMs % (scenario.burstEveryMs ?? 1);
    const isBurst = phaseMs < (scenario.burstMs ?? 0);
    const currentRate = isBurst ? rate * factor : rate;
    atMs += -Math.log(1 - random.getFraction()) / currentRate;
    const lengthFactor = 0.5 + random.getFraction();
    arrivals.push({
      atMs,
      prompt: createPrompt(
        `online ${arrivals.length}`,
        scenario.promptTokens ?? 1,
      ),
      tokens: Math.max(
        1,
        Math.round((scenario.outputTokens ?? 1) * lengthFactor),
      ),
    });
  }
  return arrivals;
}

/** Sends the arrivals and measures those due after the warm-up. */
export async function runOnline(options: {
  scenario: Scenario;
  addresses: readonly string[];
  clock: Clock;
}): Promise<OnlineResult> {
  const { scenario, addresses, clock } = options;
  const warmupMs = (scenario.warmupSeconds ?? 0) * 1_000;
  const endMs = warmupMs + (scenario.seconds ?? 0) * 1_000;
  const arrivals = createArrivals(scenario, endMs);
  const firstToken = createHistogram();
  const tokenGap = createHistogram();
  const totals = { sent: 0, answered: 0, refused: 0, broken: 0, tokens: 0 };
  const startMs = clock.getMonotonicMs();
  const inFlight: Promise<void>[] = [];
  const failures: string[] = [];

  const sendArrival = async (
    arrival: Arrival,
    index: number,
  ): Promise<void> => {
    const dueMs = startMs + arrival.atMs;
    const isMeasured = arrival.atMs >= warmupMs;
    let lastMs = 0;
    const onToken = () => {
      const nowMs = clock.getMonotonicMs();
      if (isMeasured) {
        if (lastMs === 0) firstToken.recordValue((nowMs - dueMs) * US_PER_MS);
        else tokenGap.recordValue((nowMs - lastMs) * US_PER_MS);
      }
      lastMs = nowMs;
    };
    const result = await streamCompletion(
      addresses[index % addresses.length] ?? "",
      {
        model: FleetName.model,
        prompt: arrival.prompt,
        max_tokens: arrival.tokens,
      },
      { onToken },
    ).catch((error) => {
      failures.push(String(error));
      return undefined;
    });
    if (!isMeasured) return;
    totals.sent += 1;
    if (result?.isDone === true) totals.answered += 1;
    else if (result !== undefined && result.status !== 200) totals.refused += 1;
    else {
      totals.broken += 1;
      failures.push(result?.error ?? "no answer");
    }
    totals.tokens += result?.tokens ?? 0;
  };

  for (const [index, arrival] of arrivals.entries()) {
    const waitMs = startMs + arrival.atMs - clock.getMonotonicMs();
    if (waitMs > 1) await clock.delay(waitMs);
    inFlight.push(sendArrival(arrival, index));
  }
  const remainingMs = startMs + endMs - clock.getMonotonicMs();
  if (remainingMs > 0) await clock.delay(remainingMs);
  await Promise.all(inFlight);
  return {
    ...totals,
    failures: failures.slice(0, MAX_FAILURES),
    firstToken,
    tokenGap,
  };
}
