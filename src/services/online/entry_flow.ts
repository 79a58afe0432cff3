/**
 * Applies the flow between data centres to the online requests of an entry host: a
 * request that finds no capacity in its own data centre leaves if that is worth it and
 * the other data centre has capacity above its reserve.
 */
import {
  chooseServer,
  DataCentreFlow,
  type DataCentreSummary,
  type RouteDecision,
  type RouteRequest,
  type ServerStatus,
} from "../../policy/mod.ts";
import type { EntrySettings } from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import type { Log } from "../../sys/log.ts";
import { MetricName, type Metrics } from "../../sys/metrics.ts";
import type { Random } from "../../sys/random.ts";

/** A request of a deployment, and what is known of its wait. */
export interface EntryFlowRequest extends RouteRequest {
  readonly deployment: string;
  /** Monotonic milliseconds. */
  readonly deadlineMs: number;
  /** Online sequences of this entry in the deployment. */
  readonly own: number;
  /** Mean time for which a sequence runs, in milliseconds. */
  readonly serviceMs: number;
}

/** Options of an {@linkcode EntryFlow}. */
export interface EntryFlowOptions {
  readonly dataCentre: string;
  readonly flow: DataCentreFlow;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Age that is assumed for the loads, in milliseconds: servers announce theirs a few
 * times a second, and announcements carry no time.
 */
const LOAD_AGE_MS = 500;

/** Bytes that are assumed for a request and its response. */
const EXPECTED_BYTES = 4_000;

const PERCENT = 100;

const NO_DATA_CENTRES: ReadonlySet<string> = new Set();

/** The flow of one entry host. */
export class EntryFlow {
  readonly #options: EntryFlowOptions;

  constructor(options: EntryFlowOptions) {
    this.#options = options;
  }

  /** Deployments whose loads must be observed regularly. */
  get deployments(): string[] {
    return this.#options.flow.services;
  }

  /** Records the loads of all servers of a deployment. */
  observe(deployment: string, servers: readonly ServerStatus[]): void {
    const { flow, clock } = this.#options;
    flow.observe(deployment, summarize(servers), clock.getMonotonicMs());
  }

  /** Selects the server for an online request. */
  choose(
    servers: readonly ServerStatus[],
    req: EntryFlowRequest,
  ): RouteDecision {
    const { clock, dataCentre, flow, log, metrics } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const local = { ...req, dataCentre, remote: NO_DATA_CENTRES };
    const here = chooseServer(servers, local, nowMs);
    if (here.kind !== "wait") return here;
    this.observe(req.deployment, servers);
    const { reason, remote, waitMs, costMs, headroom } = flow.decide({
      service: req.deployment,
      kind: "online",
      queues: false,
      hasLocalServer: servers.some((server) =>
        server.dataCentre === dataCentre
      ),
      own: req.own,
      serviceMs: req.serviceMs,
      lateAfterMs: req.deadlineMs - nowMs,
      bytes: EXPECTED_BYTES,
    }, nowMs);
    if (remote.size === 0) {
      metrics.count(MetricName.remoteStays, 1, { reason });
      return here;
    }
    const decision = chooseServer(servers, { ...local, remote }, nowMs);
    if (decision.kind !== "server") return decision;
    const to = servers.find(({ name }) => name === decision.name)?.dataCentre ??
      "";
    flow.recordLeaving(req.deployment, to, nowMs);
    metrics.count(MetricName.remoteSends, 1, { reason });
    log.info("request_leaves_data_centre", {
      kind: "online",
      service: req.deployment,
      server: decision.name,
      to,
      reason,
      wait_ms: Math.round(waitMs),
      cost_ms: Math.round(costMs),
      late_after_ms: Math.round(req.deadlineMs - nowMs),
      headroom: Math.round(headroom),
    });
    return decision;
  }
}

/**
 * Creates the flow that the settings ask for; undefined if they state neither a price
 * nor a reserve.
 */
export function tryCreateEntryFlow(
  settings: Pick<
    EntrySettings,
    "dataCentre" | "remoteByteCost" | "remoteReserve" | "remoteLatencyMs"
  >,
  context: {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly random: Random;
  },
): EntryFlow | undefined {
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
  return new EntryFlow({ ...context, dataCentre, flow });
}

/** Sums without batch sequences, which online requests preempt at once. */
function summarize(servers: readonly ServerStatus[]): DataCentreSummary[] {
  const sums = new Map<string, DataCentreSummary>();
  servers.forEach(({ dataCentre, sequenceLimit, sequences, batch }) => {
    const known = sums.get(dataCentre);
    sums.set(dataCentre, {
      dataCentre,
      slots: (known?.slots ?? 0) + sequenceLimit,
      online: (known?.online ?? 0) + sequences - batch,
      batch: 0,
      ageMs: LOAD_AGE_MS,
    });
  });
  return [...sums.values()];
}
