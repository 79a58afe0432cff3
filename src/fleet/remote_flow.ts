/**
 * Applies the decision which requests may use servers of other data centres to the
 * selections of a server pool: sums up the loads of each data centre, logs each
 * request that leaves, and counts decisions.
 */
import { type LoadKind, type LoadTracker } from "../membership/mod.ts";
import {
  DataCentreFlow,
  type DataCentreSummary,
  type FlowDecision,
  type FlowRequest,
} from "../policy/mod.ts";
import type { FleetSettings } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";
import type { Random } from "../sys/random.ts";
import type { PoolServer } from "./server_pool.ts";

/** What a request says about leaving its data centre. */
export interface FlowNeed {
  /** Name of the request in log lines. */
  readonly request: string;
  /** Mean time for which a request occupies a slot, in milliseconds. */
  readonly serviceMs: number;
  /** Wait in its data centre beyond which it is late, in milliseconds. */
  readonly lateAfterMs: number;
  /** Bytes that are sent to the server and back. */
  readonly bytes: number;
  /** Other data centres with servers that nobody else uses for such requests. */
  readonly assigned?: ReadonlySet<string>;
}

/** A selection for which the usable data centres are decided. */
export interface FlowSelection {
  readonly service: string;
  readonly kind: LoadKind;
  readonly need?: FlowNeed;
  /** Returns all servers of the service. */
  readonly getServers: () => readonly PoolServer[];
  /** Returns the servers that the request may use. */
  readonly getAllCandidates: () => readonly PoolServer[];
  /** Those of them among which one is selected. */
  readonly candidates: readonly PoolServer[];
  /** Slots of each server that it must leave free. */
  readonly reserve: number;
  /** Whether it is about to queue at a server. */
  readonly queues: boolean;
}

/** Options of a {@linkcode RemoteFlow}. */
export interface RemoteFlowOptions {
  readonly dataCentre: string;
  readonly flow: DataCentreFlow;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Bytes of a response, unless the request knows better: those of online requests. */
export const EXPECTED_RESPONSE_BYTES = 3_000;

/** What is assumed of a request that says nothing: it leaves only for a shorter wait. */
const DEFAULT_NEED: FlowNeed = {
  request: "",
  serviceMs: 200,
  lateAfterMs: Infinity,
  bytes: EXPECTED_RESPONSE_BYTES,
};

const NO_DATA_CENTRES: ReadonlySet<string> = new Set();

/** Reason of items at servers that are assigned to this process. */
const ASSIGNED = "assigned";

const PERCENT = 100;

/** The flow of one process to other data centres. */
export class RemoteFlow {
  readonly #options: RemoteFlowOptions;
  /** The last decision for each service, for the log line of its request. */
  readonly #decisions = new Map<string, FlowDecision>();

  constructor(options: RemoteFlowOptions) {
    this.#options = options;
  }

  /**
   * Records the loads of all servers of the services that were used; must be called
   * also while nothing is sent, so that a return of servers is noticed.
   */
  observeAll(
    getServers: (service: string) => readonly PoolServer[],
    loads: LoadTracker,
  ): void {
    this.#options.flow.services.forEach((service) =>
      this.#observe(service, getServers(service), loads)
    );
  }

  #observe(
    service: string,
    servers: readonly PoolServer[],
    loads: LoadTracker,
  ): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const ageMs = loads.getReportAgeMs(nowMs);
    this.#options.flow.observe(service, summarize(servers, ageMs), nowMs);
  }

  /** Other data centres that a request may use now. */
  getUsable(
    selection: FlowSelection,
    loads: LoadTracker,
  ): ReadonlySet<string> {
    const { clock, flow, metrics } = this.#options;
    const { service, candidates, reserve, queues } = selection;
    const assigned = selection.need?.assigned ?? NO_DATA_CENTRES;
    const isLocalFree = !queues &&
      candidates.some((server) =>
        server.busy + reserve < server.slots && this.#isLocal(server, selection)
      );
    if (isLocalFree || candidates.length === 0) return assigned;
    this.#observe(service, selection.getServers(), loads);
    const decision = flow.decide(
      this.#createRequest(selection, loads),
      clock.getMonotonicMs(),
    );
    this.#decisions.set(service, decision);
    if (decision.remote.size === 0) {
      metrics.count(MetricName.remoteStays, 1, { reason: decision.reason });
    }
    return assigned.size === 0
      ? decision.remote
      : new Set([...decision.remote, ...assigned]);
  }

  /** What would be decided on a request that finds no free slot here. */
  preview(selection: FlowSelection, loads: LoadTracker): FlowDecision {
    const { clock, flow } = this.#options;
    const nowMs = clock.getMonotonicMs();
    return flow.preview(
      this.#createRequest(selection, loads),
      summarize(selection.getServers(), loads.getReportAgeMs(nowMs)),
      nowMs,
    );
  }

  #isLocal({ dataCentre }: PoolServer, { need }: FlowSelection): boolean {
    return dataCentre === this.#options.dataCentre ||
      need?.assigned?.has(dataCentre) === true;
  }

  #createRequest(
    selection: FlowSelection,
    loads: LoadTracker,
  ): FlowRequest {
    const { service, kind, queues, need = DEFAULT_NEED, getServers } =
      selection;
    const hasLocalServer = selection.getAllCandidates().some((server) =>
      this.#isLocal(server, selection)
    );
    const own = getServers().reduce(
      (sum, { id }) => sum + loads.getOwn(id)[kind],
      0,
    );
    return { ...need, service, kind, queues, hasLocalServer, own };
  }

  /** Records that a request is sent to a server. */
  recordSend(
    server: PoolServer,
    { service, kind, need }: Pick<FlowSelection, "service" | "kind" | "need">,
  ): void {
    const { dataCentre, clock, flow, log, metrics } = this.#options;
    if (server.dataCentre === dataCentre) return;
    const isAssigned = need?.assigned?.has(server.dataCentre) === true;
    if (!isAssigned) {
      flow.recordLeaving(service, server.dataCentre, clock.getMonotonicMs());
    }
    const decision = this.#decisions.get(service);
    const reason = isAssigned ? ASSIGNED : decision?.reason ?? "";
    metrics.count(MetricName.remoteSends, 1, { reason });
    log.info("request_leaves_data_centre", {
      request: need?.request ?? "",
      kind,
      service,
      server: server.id,
      to: server.dataCentre,
      reason,
      wait_ms: round(decision?.waitMs),
      cost_ms: round(decision?.costMs),
      late_after_ms: round(need?.lateAfterMs),
      headroom: round(decision?.headroom),
    });
  }
}

/**
 * Creates the flow that the settings ask for; undefined if they state neither a price
 * nor a reserve.
 */
export function tryCreateRemoteFlow(
  settings: FleetSettings,
  context: {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly random: Random;
  },
): RemoteFlow | undefined {
  const { dataCentre } = settings;
  const { remoteByteCost = 0, remoteReserve = 0, remoteLatencyMs = 0 } =
    settings;
  if (remoteByteCost === 0 && remoteReserve === 0) return undefined;
  const flow = new DataCentreFlow({
    dataCentre,
    byteCostMs: remoteByteCost,
    reserve: remoteReserve / PERCENT,
    latencyMs: remoteLatencyMs,
    getFraction: () => context.random.getFraction(),
  });
  return new RemoteFlow({ ...context, dataCentre, flow });
}

function summarize(
  servers: readonly PoolServer[],
  ageMs: number,
): DataCentreSummary[] {
  const sums = new Map<string, DataCentreSummary>();
  servers.forEach(({ dataCentre, slots, busy, batch }) => {
    const known = sums.get(dataCentre);
    sums.set(dataCentre, {
      dataCentre,
      slots: (known?.slots ?? 0) + slots,
      online: (known?.online ?? 0) + Math.max(0, busy - batch),
      batch: (known?.batch ?? 0) + batch,
      ageMs,
    });
  });
  return [...sums.values()];
}

function round(value: number | undefined): number {
  return Math.round(value ?? 0);
}
