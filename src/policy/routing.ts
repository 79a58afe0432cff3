/**
 * Selects the server for an online request of an entry host. The local data
 * centre is preferred. Among the candidates, requests with the same prompt
 * prefix go to the same server as long as its load is not far above the mean. A
 * server that failed gets no requests during a back-off, then one probe
 * request. A new server gets its load by slow start.
 *
 * Gateways use server_selection.ts instead.
 */
import { getPlacementHash } from "../sys/random.ts";
import { preferOwnDataCentre } from "./data_centre_flow.ts";

/** State of a backend server, as far as routing needs it. */
export interface ServerStatus {
  readonly name: string;
  readonly dataCentre: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  /** Sequences of all entries on the server, including batch. */
  readonly sequences: number;
  /** Sequences of batch items, which can be preempted. */
  readonly batch: number;
  /** Sequences up to which the time between tokens meets its target. */
  readonly sequenceTarget: number;
  /** Maximum number of online sequences. */
  readonly sequenceLimit: number;
  /** End of the back-off after a failure; no requests are sent before. */
  readonly backoffUntilMs: number;
  /** Whether a probe request is in flight after a failure. */
  readonly isProbed: boolean;
  /** Time from which slow start counts. */
  readonly knownSinceMs: number;
}

/** Requirements of an online request. */
export interface RouteRequest {
  readonly dataCentre: string;
  /** Other data centres that may be used; undefined for all. */
  readonly remote?: ReadonlySet<string>;
  /** Empty for a plain service. */
  readonly model: string;
  readonly adapter: string;
  /** Affinity key derived from the prompt's prefix; empty for none. */
  readonly affinity: string;
  /** Servers on which this request has failed. */
  readonly excluded: ReadonlySet<string>;
}

/**
 * Outcome of a routing decision: a server, waiting until one of the servers has
 * capacity, or none because there are no servers.
 */
export type RouteDecision =
  | {
    readonly kind: "server";
    readonly name: string;
    /** Batch sequences to preempt so that the sequence target is kept. */
    readonly preemptCount: number;
  }
  | { readonly kind: "wait" }
  | { readonly kind: "none" };

/**
 * Load relative to the mean up to which prefix affinity applies (rendezvous
 * hashing with bounded loads).
 */
const AFFINITY_LOAD_FACTOR = 1.25;

/** Sequences that a new server may get immediately. */
const SLOW_START_SEQUENCES = 4;

/** Additional sequences for each second that a server has been known. */
const SLOW_START_SEQUENCES_PER_SECOND = 16;

/** Limit on a server's sequences during slow start. */
export function getSlowStartLimit(knownSinceMs: number, nowMs: number): number {
  const ageS = Math.max(0, nowMs - knownSinceMs) / 1_000;
  return SLOW_START_SEQUENCES +
    Math.floor(ageS * SLOW_START_SEQUENCES_PER_SECOND);
}

function isEligible(server: ServerStatus, req: RouteRequest, nowMs: number) {
  const hasModel = req.model === "" || server.models.length === 0 ||
    server.models.includes(req.model);
  const hasAdapter = req.adapter === "" ||
    server.adapters.includes(req.adapter);
  return hasModel && hasAdapter && !req.excluded.has(server.name) &&
    nowMs >= server.backoffUntilMs && !server.isProbed;
}

/** Sequences that can't be preempted. */
function getOnlineSequences(server: ServerStatus): number {
  return server.sequences - server.batch;
}

function hasCapacity(server: ServerStatus, nowMs: number): boolean {
  const limit = Math.min(
    server.sequenceLimit,
    getSlowStartLimit(server.knownSinceMs, nowMs),
  );
  return getOnlineSequences(server) < limit;
}

function selectByAffinityOrLoad(
  servers: readonly ServerStatus[],
  req: RouteRequest,
): ServerStatus | undefined {
  const leastLoaded = servers.reduce<ServerStatus | undefined>(
    (best, server) => {
      if (best === undefined) return server;
      const difference =
        getOnlineSequences(server) - getOnlineSequences(best) ||
        server.sequences - best.sequences ||
        getPlacementHash(req.affinity + server.name) -
          getPlacementHash(req.affinity + best.name);
      return difference < 0 ? server : best;
    },
    undefined,
  );
  if (req.affinity === "" || leastLoaded === undefined) return leastLoaded;
  const total = servers.reduce(
    (sum, server) => sum + getOnlineSequences(server),
    0,
  );
  const maxSequences = AFFINITY_LOAD_FACTOR * (total + 1) / servers.length;
  const affinityServer = servers.reduce((best, server) =>
    getPlacementHash(req.affinity + server.name) >
        getPlacementHash(req.affinity + best.name)
      ? server
      : best
  );
  return getOnlineSequences(affinityServer) + 1 <= Math.max(1, maxSequences)
    ? affinityServer
    : leastLoaded;
}

/** Selects the server for an online request. */
export function chooseServer(
  servers: readonly ServerStatus[],
  req: RouteRequest,
  nowMs: number,
): RouteDecision {
  const fit = servers.filter((server) => isEligible(server, req, nowMs));
  if (fit.length === 0) return { kind: servers.length > 0 ? "wait" : "none" };
  const available = fit.filter((server) => hasCapacity(server, nowMs));
  const chosen = selectByAffinityOrLoad(
    preferOwnDataCentre(available, req),
    req,
  );
  if (chosen === undefined) return { kind: "wait" };
  const excess = chosen.sequences + 1 - chosen.sequenceTarget;
  return {
    kind: "server",
    name: chosen.name,
    preemptCount: Math.max(0, excess),
  };
}
