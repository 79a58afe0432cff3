/**
 * A model of gateways that send requests with parts of prompts to servers, in
 * simulated time: some requests crash their server, and servers crash for other
 * causes. Gateways exchange what they know with a delay.
 */
import { PromptPartSuspicions } from "../membership/mod.ts";
import type { PromptPartSuspicion } from "../schema/mod.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";

/** How servers crash for a cause other than a request. */
export const CrashPattern = {
  none: "none",
  /** One server each second. */
  single: "one each second",
  /** A third of the servers, five times within two seconds, each six seconds. */
  waves: "a third of them in waves",
  /** All servers at once, three times within eight seconds. */
  all: "all at once, three times",
} as const;

/** A value of {@linkcode CrashPattern}. */
export type CrashPattern = typeof CrashPattern[keyof typeof CrashPattern];

/** Options of {@linkcode simulatePromptParts}. */
export interface SimulationOptions {
  readonly seed: number;
  /** Share of the requests that crash their server. */
  readonly crashShare?: number;
  /** Number of parts that crash servers; each such request holds one. */
  readonly crashParts?: number;
  readonly crashPattern?: CrashPattern;
  readonly requestIntervalMs?: number;
  readonly durationMs?: number;
}

/** What became of the requests. */
export interface SimulationResult {
  /** Requests sent later than 3 s after the fifth crash that a part caused. */
  readonly lateSends: number;
  readonly soundRejectedShare: number;
  /** Share of the sound requests whose answer began, in the second half. */
  readonly soundServedShare: number;
  /** Number of servers that requests crashed. */
  readonly crashes: number;
}

const GATEWAYS = 8;
const SERVERS = 13;
const SESSIONS = 200;
const EXCHANGE_MS = 20;
const FIRST_EVENT_MS = 30;
const RESTART_MS = 3_200;
const STABLE_WINDOW_MS = 3_000;
const STEP_MS = 5;

interface Run {
  readonly gateway: number;
  readonly server: number;
  readonly parts: readonly string[];
  readonly isCrashing: boolean;
  readonly answersMs: number;
}

/** Runs a simulation. */
export function simulatePromptParts(
  options: SimulationOptions,
): SimulationResult {
  const {
    crashShare = 0,
    crashParts = 1,
    crashPattern = CrashPattern.none,
    requestIntervalMs = 15,
    durationMs = 30_000,
  } = options;
  const random = new SeededRandom(options.seed);
  const gateways = range(GATEWAYS).map(() => new PromptPartSuspicions());
  const servers = range(SERVERS).map(() => ({ start: 0, upFromMs: 0 }));
  let messages: { atMs: number; from: number; update: PromptPartSuspicion }[] =
    [];
  let runs: Run[] = [];
  let lateFromMs = Infinity;
  let [crashes, lateSends, sound, rejected, lateSound, served] = Array
    .from<number>({ length: 6 }).fill(0);

  const share = (from: number, nowMs: number, updates: PromptPartSuspicion[]) =>
    updates.forEach((update) =>
      messages.push({ atMs: nowMs + EXCHANGE_MS, from, update })
    );

  const crash = (index: number, nowMs: number) => {
    const server = servers[index];
    if (server === undefined || server.upFromMs > nowMs) return;
    const lost = runs.filter((run) => run.server === index);
    runs = runs.filter((run) => run.server !== index);
    lost.forEach(({ gateway, parts }) =>
      share(
        gateway,
        nowMs,
        gateways[gateway]?.recordCrash(
          parts,
          `${index}/${server.start}`,
          nowMs,
        ) ?? [],
      )
    );
    server.start += 1;
    server.upFromMs = nowMs + RESTART_MS;
  };

  const crashByPattern = (nowMs: number) => {
    const all = range(SERVERS);
    const some = all.filter(() => random.getFraction() < 0.3);
    if (crashPattern === CrashPattern.single && nowMs % 1_000 === 0) {
      crash(random.getIntegerBelow(SERVERS), nowMs);
    }
    const isWave = nowMs % 6_000 < 2_000 && nowMs % 400 === 0;
    if (crashPattern === CrashPattern.waves && isWave) {
      some.forEach((index) => crash(index, nowMs));
    }
    const isOutage = [4_000, 8_000, 12_000].includes(nowMs);
    if (crashPattern === CrashPattern.all && isOutage) {
      all.forEach((index) => crash(index, nowMs));
    }
  };

  const send = (nowMs: number) => {
    const gateway = random.getIntegerBelow(GATEWAYS);
    const known = gateways[gateway];
    const up = range(SERVERS).filter((index) =>
      (servers[index]?.upFromMs ?? 0) <= nowMs
    );
    const isCrashing = random.getFraction() < crashShare;
    const session = `session-${random.getIntegerBelow(SESSIONS)}`;
    const parts = isCrashing
      ? ["first", `dead-${random.getIntegerBelow(crashParts)}`, session]
      : ["first", session];
    if (known === undefined) return;
    const isRejected = known.getRejectionMs(parts, nowMs) > 0;
    const isLate = nowMs >= lateFromMs;
    if (!isCrashing) {
      sound += 1;
      if (nowMs >= durationMs / 2) lateSound += 1;
      if (isRejected) rejected += 1;
    }
    const server = up[random.getIntegerBelow(Math.max(1, up.length))];
    if (isRejected || server === undefined) return;
    if (isCrashing && isLate) lateSends += 1;
    share(gateway, nowMs, known.recordStart(parts, nowMs));
    runs.push({
      gateway,
      server,
      parts,
      isCrashing,
      answersMs: nowMs + FIRST_EVENT_MS,
    });
  };

  const answer = (nowMs: number) => {
    const due = runs.filter(({ answersMs }) => answersMs <= nowMs);
    due.filter(({ isCrashing }) => isCrashing).forEach(({ server }) => {
      crash(server, nowMs);
      crashes += 1;
      if (crashes === 5 * crashParts) lateFromMs = nowMs + STABLE_WINDOW_MS;
    });
    due.filter((run) => !run.isCrashing && runs.includes(run))
      .forEach(({ gateway, parts }) => {
        if (nowMs >= durationMs / 2 + FIRST_EVENT_MS) served += 1;
        share(
          gateway,
          nowMs,
          gateways[gateway]?.recordProof(parts, nowMs) ?? [],
        );
      });
    runs = runs.filter((run) => !due.includes(run));
  };

  const deliver = (nowMs: number) => {
    const due = messages.filter(({ atMs }) => atMs <= nowMs);
    messages = messages.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ from, update }) =>
      gateways.forEach((gateway, index) => {
        if (index === from) return;
        const refutation = gateway.canRefute(update, nowMs);
        gateway.merge(update, nowMs);
        if (refutation) {
          share(index, nowMs, [gateway.getUpdate(update.part, nowMs)]);
        }
      })
    );
  };

  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    deliver(nowMs);
    answer(nowMs);
    crashByPattern(nowMs);
    const arrivals = STEP_MS / requestIntervalMs;
    if (random.getFraction() < arrivals) send(nowMs);
  }
  return {
    lateSends,
    soundRejectedShare: rejected / Math.max(1, sound),
    soundServedShare: served / lateSound,
    crashes,
  };
}
