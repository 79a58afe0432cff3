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
}

interface Req {
  readonly gateway: number;
  readonly arrivedMs: number;
  /** Start of the current wait in the gateway. */
  waitsFromMs: number;
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
const FIRST_TIME = { service: "s", kind: TimeKind.first };

/** Bursts of 1.87 times the mean for 2.4 s of each 5.8 s, as observed. */
const getRate = (nowMs: number) => nowMs % 5_800 < 2_400 ? 1.87 : 0.38;

/** Runs one simulation. */
export function simulate(options: SimulationOptions) {
  const { servers, gateways, select, usesSpeeds, targetMs } = options;
  const random = new SeededRandom(options.seed);
  // Arrivals and interference are the same whatever is selected.
  const world = new SeededRandom(options.seed + 1);
  const getFraction = () => random.getFraction();
  const trackers = range(gateways).map(() => new LoadTracker());
  const merger = new LoadTracker();
  const hosts = servers.map((server, index) => ({
    ...server,
    index,
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

  /** Called with the head of a response, which states the server's figures. */
  const readHead = (nowMs: number, host: typeof hosts[number], req: Req) => {
    const { speeds } = trackers[req.gateway]!;
    const total = host.running.length + host.queue.length;
    const slowdown = options.falseFigures?.get(host.index) ?? host.slowdown;
    trackers[req.gateway]!.recordServerTotal(host.id, total, nowMs);
    if (usesSpeeds) speeds.recordSlowdown(host.id, slowdown, nowMs);
    return { server: host.id, bornMs: 1n, slowdown };
  };
  const begin = (nowMs: number, host: typeof hosts[number], req: Req) => {
    const sample = readHead(nowMs, host, req);
    req.firstAtMs = -Infinity;
    times.push(nowMs - req.arrivedMs);
    if (req.busyThen >= host.slots) return;
    trackers[req.gateway]!.speeds
      .recordTime({ ...sample, ...FIRST_TIME, ms: nowMs - req.sentMs });
  };
  const reject = (nowMs: number, host: typeof hosts[number], req: Req) => {
    readHead(nowMs, host, req);
    trackers[req.gateway]!.end(host.id, LoadKind.online);
    rejections += 1;
    req.rejections += 1;
    req.excluded.add(host.id);
    req.waitsFromMs = nowMs;
    if (req.rejections >= MAX_REJECTIONS) refused += 1;
    else waiting.push(req);
  };
  const send = (nowMs: number, req: Req, { id, busy }: ServerCandidate) => {
    const host = hosts.find((one) => one.id === id)!;
    trackers[req.gateway]!.begin(id, LoadKind.online);
    req.sentMs = nowMs;
    req.busyThen = busy;
    const isFull = host.running.length + host.queue.length >=
      host.slots * (1 + options.queuePerSlot);
    if (!isFull) host.queue.push(req);
    else {
      const run = () => reject(nowMs, host, req);
      returns.push({ atMs: nowMs + ROUND_TRIP_MS, run });
    }
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
      .getUsualMs("s", TimeKind.first);
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
  /** Reports of all gateways; the answers lack what is reported with them. */
  const exchange = (nowMs: number) => {
    sequence += 1n;
    const messages = trackers.flatMap((tracker, index) => {
      const sender = `g${index}`;
      const head = { sender, sequence };
      const loads = merger.getMerged(nowMs, sender);
      return [
        {
          to: merger,
          ...head,
          merged: false,
          loads: tracker.getOwnLoads(nowMs),
        },
        { to: tracker, ...head, merged: true, loads },
      ].map(({ to, ...rest }) => ({
        to,
        report: create(LoadReportSchema, rest),
      }));
    });
    const atMs = nowMs + options.reportDelayMs;
    const run = () =>
      messages.forEach(({ to, report }) => to.acceptReport(report, atMs));
    returns.push({ atMs, run });
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
    hosts.forEach((host) => {
      host.running.forEach((req) => {
        req.remainingMs -= host.speed / host.slowdown;
        if (req.remainingMs <= req.firstAtMs) begin(nowMs, host, req);
        if (req.remainingMs > 0) return;
        trackers[req.gateway]!.end(host.id, LoadKind.online);
        host.served += 1;
      });
      host.running = host.running.filter((req) => req.remainingMs > 0);
      const free = host.slots - host.running.length;
      host.running.push(...host.queue.splice(0, free));
    });
    const arrived = returns.filter(({ atMs }) => atMs <= nowMs);
    arrived.forEach((entry) => {
      returns.splice(returns.indexOf(entry), 1);
      entry.run();
    });
    const rate = options.arrivalsPerS * getRate(nowMs) / 1_000;
    if (world.getFraction() < rate) {
      arrivals += 1;
      const [shortest, longest] = options.workMs;
      const gateway = Math.floor(world.getFraction() * gateways);
      const workMs = shortest + world.getFraction() * (longest - shortest);
      waiting.push({
        gateway,
        arrivedMs: nowMs,
        waitsFromMs: nowMs,
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
  const served = hosts.map((host) => host.served);
  return { arrivals, refused, rejections, times, served };
}
