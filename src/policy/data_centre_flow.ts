/**
 * Decides whether a request that finds no free slot in its own data centre may use
 * servers of other data centres, and how many requests may leave.
 *
 * Whether: staying costs the expected wait here, leaving costs a round trip and the
 * bytes at the operator's price. A request that would be late here leaves whatever
 * the bytes cost. An item leaves only if it can't end in time here.
 *
 * How much: each data centre keeps a reserve for its own callers, and the slots that
 * they are about to take by the present rise of their load. Of the rest, the
 * headroom, all processes together use no more within one window, the time until
 * they see each other's requests. Each process takes a part in proportion to
 * its own requests in flight, without asking the others. Parts below one request are
 * rounded at random, so that their expected sum is kept.
 */
import {
  DataCentreLoads,
  type DataCentreSummary,
  type FlowKind,
} from "./data_centre_loads.ts";

/** What a request asks for that has found no free slot in its data centre. */
export interface FlowRequest {
  readonly service: string;
  readonly kind: FlowKind;
  /** Whether it is about to queue at a server, which may preempt items there. */
  readonly queues: boolean;
  /** Whether any server of its own data centre may serve it. */
  readonly hasLocalServer: boolean;
  /** Requests of its kind that this process has in flight at the service. */
  readonly own: number;
  /** Mean time for which a request occupies a slot, in milliseconds. */
  readonly serviceMs: number;
  /** Wait in its data centre beyond which it is late, in milliseconds. */
  readonly lateAfterMs: number;
  /** Bytes that are sent to the server and back. */
  readonly bytes: number;
}

/** Why a request may leave its data centre or has to stay. */
export const FlowReason = {
  /** Waiting here costs more than leaving. */
  wait: "wait",
  /** It would be late here. */
  late: "late",
  /** No server of its own data centre may serve it. */
  noLocalServer: "no_local_server",
  /** Stays: leaving costs more than waiting here. */
  cost: "cost",
  /** Stays: the other data centres have nothing above their reserve. */
  reserve: "reserve",
  /** Stays: this process has used its part of what may leave now. */
  amount: "amount",
} as const;

/** One of {@linkcode FlowReason}. */
export type FlowReason = typeof FlowReason[keyof typeof FlowReason];

/** Whether a request may leave, with the inputs that determined it. */
export interface FlowDecision {
  readonly reason: FlowReason;
  /** Other data centres whose servers the request may use now. */
  readonly remote: ReadonlySet<string>;
  /** Expected wait in its own data centre, in milliseconds. */
  readonly waitMs: number;
  /** Cost of leaving, in milliseconds. */
  readonly costMs: number;
  /** Slots of the other data centres that may be used. */
  readonly headroom: number;
}

/** Options of a {@linkcode DataCentreFlow}. */
export interface DataCentreFlowOptions {
  readonly dataCentre: string;
  /** Latency worth accepting to avoid sending a kilobyte, in milliseconds. */
  readonly byteCostMs: number;
  /** Fraction of a data centre's slots that it keeps for its own callers. */
  readonly reserve: number;
  /** One-way time between data centres, in milliseconds. */
  readonly latencyMs: number;
  /** Returns random numbers from 0 to 1. */
  readonly getFraction: () => number;
}

/**
 * Time within which the requests of other processes become known, in milliseconds:
 * the age of the loads that a process goes by is 80 to 160 ms. Older reports make it
 * longer.
 */
const WINDOW_MS = 160;

/** Fraction of occupied slots from which on a data centre sends requests away. */
const SHORT_LOAD = 0.95;

/**
 * Time before its latest start from which on an item may leave, in milliseconds: it
 * gets no slot here during a burst, which lasts 2.4 s.
 */
const ITEM_MARGIN_MS = 2_400;

const BYTES_PER_KB = 1_000;

/** Part of the flow to one data centre that this process may still use. */
interface Share {
  /** Requests that may leave; below zero after one was rounded up. */
  amount: number;
  updatedMs: number;
  /** Amount from which on the next request may leave; at most 1. */
  threshold: number;
  drawnMs: number;
}

/** The flow of one service, as seen by one process. */
class ServiceFlow {
  readonly loads: DataCentreLoads;
  readonly #options: DataCentreFlowOptions;
  readonly #shares: Map<string, Share>;

  constructor(
    options: DataCentreFlowOptions,
    loads = new DataCentreLoads(options),
    shares = new Map<string, Share>(),
  ) {
    this.#options = options;
    this.loads = loads;
    this.#shares = shares;
  }

  clone(options: DataCentreFlowOptions): ServiceFlow {
    const shares = structuredClone(this.#shares);
    return new ServiceFlow(options, this.loads.clone(), shares);
  }

  /** Decides on a request that finds no free slot in its data centre. */
  decide(req: FlowRequest, nowMs: number): FlowDecision {
    const remote = this.loads.getRemote();
    const { latencyMs, byteCostMs } = this.#options;
    const costMs = 2 * latencyMs + req.bytes / BYTES_PER_KB * byteCostMs;
    const waitMs = this.loads.getExpectedWaitMs(req);
    const withHeadroom = remote.filter((dataCentre) =>
      this.loads.getHeadroom(dataCentre, req.kind) > 0
    );
    const headroom = withHeadroom.reduce(
      (sum, dataCentre) => sum + this.loads.getHeadroom(dataCentre, req.kind),
      0,
    );
    const create = (reason: FlowReason, names: readonly string[] = []) => ({
      reason,
      remote: new Set(names),
      waitMs,
      costMs,
      headroom,
    });
    if (!req.hasLocalServer) {
      const usable = withHeadroom.length > 0 ? withHeadroom : remote;
      return create(FlowReason.noLocalServer, usable);
    }
    const reason = tryGetReasonToLeave(req, {
      waitMs,
      costMs,
      roundTripMs: 2 * latencyMs,
    });
    if (reason === undefined) return create(FlowReason.cost);
    if (withHeadroom.length === 0) return create(FlowReason.reserve);
    const usable = withHeadroom.filter((dataCentre) =>
      this.#mayLeave(dataCentre, req, nowMs)
    );
    return usable.length === 0
      ? create(FlowReason.amount)
      : create(reason, usable);
  }

  /** Whether the part of this process allows a request to leave now. */
  #mayLeave(dataCentre: string, req: FlowRequest, nowMs: number): boolean {
    const limit = this.loads.getHeadroom(dataCentre, req.kind) *
      this.#getOwnPart(dataCentre, req);
    const share = this.#shares.get(dataCentre) ?? {
      amount: limit,
      updatedMs: nowMs,
      threshold: this.#drawThreshold(),
      drawnMs: nowMs,
    };
    this.#shares.set(dataCentre, share);
    const windowMs = Math.max(WINDOW_MS, this.loads.getAgeMs(dataCentre));
    const gained = limit * (nowMs - share.updatedMs) / windowMs;
    share.amount = Math.min(limit, share.amount + gained);
    share.updatedMs = nowMs;
    if (nowMs - share.drawnMs >= windowMs) {
      share.threshold = this.#drawThreshold();
      share.drawnMs = nowMs;
    }
    return share.amount >= share.threshold;
  }

  recordLeaving(dataCentre: string, nowMs: number): void {
    const share = this.#shares.get(dataCentre);
    if (share === undefined) return;
    share.amount -= 1;
    share.threshold = this.#drawThreshold();
    share.drawnMs = nowMs;
  }

  /**
   * Part of this process in the requests of the data centres that may want to use
   * another one: its own, and those that are full too.
   */
  #getOwnPart(target: string, { kind, own }: FlowRequest): number {
    const senders = this.loads.summaries
      .filter(({ dataCentre, slots, online, batch }) =>
        dataCentre === this.#options.dataCentre ||
        dataCentre !== target && slots > 0 &&
          online + batch >= slots * SHORT_LOAD
      );
    const total = senders.reduce((sum, summary) => sum + summary[kind], 0);
    return Math.min(1, Math.max(1, own) / Math.max(1, total));
  }

  /** A random number above 0, so that an amount of 0 allows nothing. */
  #drawThreshold(): number {
    return 1 - Math.min(1 - Number.EPSILON, this.#options.getFraction());
  }
}

/** The decisions of one process. */
export class DataCentreFlow {
  readonly #options: DataCentreFlowOptions;
  readonly #services = new Map<string, ServiceFlow>();

  constructor(options: DataCentreFlowOptions) {
    this.#options = options;
  }

  /** Services that have been observed. */
  get services(): string[] {
    return [...this.#services.keys()];
  }

  /** Records the loads of all data centres that have servers of a service. */
  observe(
    service: string,
    summaries: readonly DataCentreSummary[],
    nowMs: number,
  ): void {
    this.#getOrCreate(service).loads.observe(summaries, nowMs);
  }

  /** Decides on a request that finds no free slot in its data centre. */
  decide(req: FlowRequest, nowMs: number): FlowDecision {
    return this.#getOrCreate(req.service).decide(req, nowMs);
  }

  /** What would be decided by the given loads; later decisions are not affected. */
  preview(
    req: FlowRequest,
    summaries: readonly DataCentreSummary[],
    nowMs: number,
  ): FlowDecision {
    // Half is the mean of the random numbers that decisions use.
    const options = { ...this.#options, getFraction: () => 0.5 };
    const flow = this.#services.get(req.service)?.clone(options) ??
      new ServiceFlow(options);
    flow.loads.observe(summaries, nowMs);
    return flow.decide(req, nowMs);
  }

  /** Records that a request has left for another data centre. */
  recordLeaving(service: string, dataCentre: string, nowMs: number): void {
    this.#services.get(service)?.recordLeaving(dataCentre, nowMs);
  }

  #getOrCreate(service: string): ServiceFlow {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const flow = new ServiceFlow(this.#options);
    this.#services.set(service, flow);
    return flow;
  }
}

/**
 * Whether an item may have to leave its data centre to end in time; `lateAfterMs` is
 * the time until its latest start. One that can't end in time anywhere stays.
 */
export function isItemShortOfTime(lateAfterMs: number): boolean {
  return lateAfterMs >= 0 && lateAfterMs < ITEM_MARGIN_MS;
}

function tryGetReasonToLeave(
  { kind, lateAfterMs }: FlowRequest,
  { waitMs, costMs, roundTripMs }: {
    waitMs: number;
    costMs: number;
    roundTripMs: number;
  },
): FlowReason | undefined {
  if (kind === "batch") {
    return isItemShortOfTime(lateAfterMs) ? FlowReason.late : undefined;
  }
  if (waitMs > lateAfterMs && waitMs > roundTripMs) return FlowReason.late;
  return waitMs > costMs ? FlowReason.wait : undefined;
}

/** Servers by data centre, for {@linkcode filterByDataCentre}. */
interface LocatedServer {
  readonly dataCentre: string;
}

/** What limits the data centres of a selection. */
interface DataCentreLimit {
  readonly dataCentre: string;
  /** Other data centres that may be used; undefined for all. */
  readonly remote?: ReadonlySet<string>;
}

/**
 * Servers to select from among those with a free slot: those of the own data centre
 * if there are any, else those of the data centres that may be used.
 */
export function preferOwnDataCentre<S extends LocatedServer>(
  free: readonly S[],
  limit: DataCentreLimit,
): readonly S[] {
  const local = free.filter((server) => server.dataCentre === limit.dataCentre);
  return local.length > 0 ? local : filterByDataCentre(free, limit);
}

/** Servers of the own data centre and of the others that may be used. */
export function filterByDataCentre<S extends LocatedServer>(
  servers: readonly S[],
  { dataCentre, remote }: DataCentreLimit,
): readonly S[] {
  return remote === undefined
    ? servers
    : servers.filter((server) =>
      server.dataCentre === dataCentre || remote.has(server.dataCentre)
    );
}
