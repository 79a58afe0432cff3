/**
 * Gateways that send seeded arrivals to uneven servers, in steps of one millisecond.
 * Load tracking, selection and admission are the real ones; each gateway knows what
 * its own responses and the load reports tell it. A server queues as many requests
 * as it has slots and rejects more.
 */
import { create } from "@bufbuild/protobuf";
import { LoadKind, LoadTracker, TimeKind } from "../membership/mod.ts";
import {
  decideAdmission,
  getServiceFactor,
  isWithheld,
  type ServerCandidate,
  tryGetLeastLoaded,
} from "../policy/mod.ts";
import { LoadReportSchema } from "../schema/mod.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";

/** Selects a server with a free slot, given the relative wait so far. */
export type Select = (
  servers: readonly ServerCandidate[],
  options: { dataCentre: string; getFraction: () => number; waited: number },
) => ServerCandidate | undefined;

/** Options of {@linkcode simulate}. */
export interface SimulationOptions {
  readonly seed: number;
  readonly select: Select;
  /** Whether gateways use what servers state of their speed. */
  readonly usesSpeeds: boolean;
  readonly servers: readonly {
    readonly slots: number;
    readonly speed: number;
  }[];
  readonly gateways: number;
  readonly arrivalsPerS: number;
  /** Requests that a server queues before it rejects more, per slot. */
  readonly queuePerSlot: number;
  /** Part of the work that is done when the first event is sent; 1 for plain. */
  readonly firstFraction: number;
  /** Shortest and longest work of a request, in milliseconds. */
  readonly workMs: readonly [number, number];
  readonly targetMs: number;
  readonly durationMs: number;
  /** Share of the time in which a server is slowed down 2.5 times. */
  readonly interference: number;
  /** Age of the figures when they reach a gateway, beyond the report interval. */
  readonly reportDelayMs: number;
  /** Figure that a server states instead of the true one. */
  readonly falseFigures?: ReadonlyMap<number, number>;
  /** Factor on the rate of arrivals at a time, for bursts. */
  readonly getRate?: (nowMs: number) => number;
}

/** Result of a simulation. */
export interface SimulationResult {
  readonly arrivals: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly rejections: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Requests served by each server. */
  readonly served: readonly number[];
}

interface Req {
  readonly gateway: number;
  readonly arrivedMs: number;
  /** Start of the current wait in the gateway. */
  waitsFromMs: number;
  checkMs: number;
  rejections: number;
  remainingMs: number;
  /** Remaining work at which the first event is sent; -1 once it has been. */
  firstAtMs: number;
  sentMs: number;
  busyThen: number;
  readonly excluded: Set<string>;
}

const SLOWDOWN = 2.5;
const EPISODE_MS = 600;
const REPORT_INTERVAL_MS = 80;
const ROUND_TRIP_MS = 2;
const MAX_REJECTIONS = 4;
const DATA_CENTRES = 3;

/** Runs one simulation. */
export function simulate(options: SimulationOptions): SimulationResult {
  const { servers, gateways, select, usesSpeeds, targetMs } = options;
  const random = new SeededRandom(options.seed);
  // Arrivals and interference are the same whatever is selected.
  const world = new SeededRandom(options.seed + 1);
  const getFraction = () => random.getFraction();
  const trackers = range(gateways).map(() => new LoadTracker());
  const merger = new LoadTracker();
  const hosts = servers.map((server, index) => ({
    ...server,
    id: `s${index}`,
    dataCentre: `dc${index % DATA_CENTRES}`,
    running: [] as Req[],
    queue: [] as Req[],
    slowdown: 1,
    changeMs: 0,
    served: 0,
  }));
  let waiting: Req[] = [];
  const returns: { atMs: number; run: () => void }[] = [];
  const times: number[] = [];
  const serviceMs = (options.workMs[0] + options.workMs[1]) / 2;
  let [arrivals, refused, rejections, sequence] = [0, 0, 0, 0n];

  const respond = (nowMs: number, index: number, req: Req, isRun: boolean) => {
    const host = hosts[index]!;
    const total = host.running.length + host.queue.length;
    const figure = options.falseFigures?.get(index) ?? host.slowdown;
    returns.push({
      atMs: nowMs + ROUND_TRIP_MS / 2,
      run: () => {
        const tracker = trackers[req.gateway]!;
        tracker.recordServerTotal(host.id, total, nowMs);
        if (usesSpeeds) tracker.speeds.recordSlowdown(host.id, figure, nowMs);
        tracker.end(host.id, LoadKind.online);
        if (isRun) {
          host.served += 1;
          return;
        }
        rejections += 1;
        req.rejections += 1;
        req.excluded.add(host.id);
        req.waitsFromMs = nowMs;
        if (req.rejections >= MAX_REJECTIONS) refused += 1;
        else waiting.push(req);
      },
    });
  };
  /** Called with the first event of a response, whose head states the figures. */
  const begin = (nowMs: number, index: number, req: Req) => {
    const host = hosts[index]!;
    const { speeds } = trackers[req.gateway]!;
    const figure = options.falseFigures?.get(index) ?? host.slowdown;
    req.firstAtMs = -Infinity;
    times.push(nowMs - req.arrivedMs);
    if (usesSpeeds) speeds.recordSlowdown(host.id, figure, nowMs);
    if (req.busyThen >= host.slots) return;
    speeds.recordTime({
      server: host.id,
      bornMs: 1n,
      service: "plain",
      kind: TimeKind.first,
      ms: nowMs - req.sentMs,
      slowdown: figure,
    });
  };
  const send = (nowMs: number, req: Req, server: ServerCandidate) => {
    const index = Number(server.id.slice(1));
    const host = hosts[index]!;
    trackers[req.gateway]!.begin(host.id, LoadKind.online);
    req.sentMs = nowMs;
    req.busyThen = server.busy;
    const isFull = host.running.length + host.queue.length >=
      host.slots * (1 + options.queuePerSlot);
    if (isFull) respond(nowMs, index, req, false);
    else host.queue.push(req);
  };
  const getCandidates = (nowMs: number, req: Req): ServerCandidate[] => {
    const tracker = trackers[req.gateway]!;
    return hosts.filter(({ id }) => !req.excluded.has(id))
      .map(({ id, dataCentre, slots }) => ({
        id,
        dataCentre,
        slots,
        busy: tracker.getBusyCount(id, nowMs),
        batch: 0,
        ...usesSpeeds && {
          slowdown: tracker.speeds.getSlowdown(id, nowMs),
          speed: tracker.speeds.getSpeed(id, 1n),
        },
      }));
  };
  /** Returns false if the request goes on waiting in the gateway. */
  const place = (nowMs: number, req: Req): boolean => {
    const servers = getCandidates(nowMs, req);
    const dataCentre = `dc${req.gateway % DATA_CENTRES}`;
    const waitedMs = nowMs - req.waitsFromMs;
    const usualMs = trackers[req.gateway]!.speeds
      .getUsualMs("plain", TimeKind.first);
    const waited = waitedMs / usualMs;
    const server = select(servers, { dataCentre, getFraction, waited });
    if (server !== undefined) {
      send(nowMs, req, server);
      return true;
    }
    const least = tryGetLeastLoaded(servers, {
      dataCentre,
      prefix: [],
      getFraction,
    });
    if (least === undefined) {
      req.excluded.clear();
      return false;
    }
    const decision = decideAdmission({
      busy: least.busy,
      slots: least.slots,
      serviceMs: serviceMs * getServiceFactor(least),
      targetMs,
      waitedMs,
      isWithheld: isWithheld(least),
      firstMs: usesSpeeds ? usualMs * getServiceFactor(least) : undefined,
    });
    if (decision.kind === "wait") return false;
    if (decision.kind === "refuse") refused += 1;
    else send(nowMs, req, least);
    return true;
  };
  const exchange = (nowMs: number) => {
    const toReport = (tracker: LoadTracker, name: string, merged: boolean) => {
      sequence += 1n;
      return create(LoadReportSchema, {
        sender: name,
        sequence,
        merged,
        loads: merged
          ? merger.getMerged(nowMs, name)
          : tracker.getOwnLoads(nowMs),
      });
    };
    const reports = trackers.map((tracker, index) =>
      toReport(tracker, `g${index}`, false)
    );
    const answers = trackers.map((tracker, index) => ({
      tracker,
      report: toReport(tracker, `g${index}`, true),
    }));
    returns.push({
      atMs: nowMs + options.reportDelayMs,
      run: () => {
        const atMs = nowMs + options.reportDelayMs;
        reports.forEach((report) => merger.acceptReport(report, atMs));
        answers.forEach(({ tracker, report }) =>
          tracker.acceptReport(report, atMs)
        );
      },
    });
  };

  for (let nowMs = 0; nowMs < options.durationMs; nowMs += 1) {
    hosts.forEach((host) => {
      if (nowMs < host.changeMs) return;
      host.slowdown = host.slowdown === 1 && nowMs > 0 ? SLOWDOWN : 1;
      const mean = host.slowdown === 1
        ? EPISODE_MS / Math.max(1e-9, options.interference) - EPISODE_MS
        : EPISODE_MS;
      host.changeMs = nowMs + mean * (0.5 + world.getFraction());
    });
    hosts.forEach((host, index) => {
      host.running.forEach((req) => {
        req.remainingMs -= host.speed / host.slowdown;
      });
      host.running.filter((req) => req.remainingMs <= req.firstAtMs)
        .forEach((req) => begin(nowMs, index, req));
      const done = host.running.filter((req) => req.remainingMs <= 0);
      host.running = host.running.filter((req) => req.remainingMs > 0);
      const free = host.slots - host.running.length;
      host.running.push(...host.queue.splice(0, free));
      done.forEach((req) => respond(nowMs, index, req, true));
    });
    const arrived = returns.filter(({ atMs }) => atMs <= nowMs);
    arrived.forEach((entry) => {
      returns.splice(returns.indexOf(entry), 1);
      entry.run();
    });
    const rate = options.arrivalsPerS * (options.getRate?.(nowMs) ?? 1) / 1_000;
    if (world.getFraction() < rate) {
      arrivals += 1;
      const [shortest, longest] = options.workMs;
      const gateway = Math.floor(world.getFraction() * gateways);
      const workMs = shortest + world.getFraction() * (longest - shortest);
      waiting.push({
        gateway,
        arrivedMs: nowMs,
        waitsFromMs: nowMs,
        checkMs: nowMs,
        rejections: 0,
        remainingMs: workMs,
        firstAtMs: workMs * (1 - options.firstFraction),
        sentMs: 0,
        busyThen: 0,
        excluded: new Set(),
      });
    }
    if (nowMs % REPORT_INTERVAL_MS === 0) exchange(nowMs);
    const now = waiting;
    waiting = [];
    waiting.push(...now.filter((req) => !place(nowMs, req)));
  }
  const sorted = times.sort((a, b) => a - b);
  const late = sorted.filter((ms) => ms > targetMs).length;
  return {
    arrivals,
    inTime: sorted.length - late,
    late,
    refused,
    rejections,
    p50Ms: sorted[Math.floor(sorted.length * 0.5)] ?? 0,
    p99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
    served: hosts.map(({ served }) => served),
  };
}
