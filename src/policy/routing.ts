/**
 * Where an online request runs. The nearest data centre goes first, then
 * others; within a data centre a prompt's prefix keeps to one server as long
 * as that server carries no more than its share. A server that failed is left
 * alone for a while and then tried with one request; a new one gets its load
 * step by step.
 */
import { getPlacementHash } from "../sys/random.ts";

/** What an entry knows about a backend server, as far as routing needs it. */
export interface ServerStatus {
  readonly name: string;
  readonly dataCentre: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  /** Sequences on the server, batch included, by all entries. */
  readonly sequences: number;
  /** Sequences of batch items, which give way. */
  readonly batch: number;
  /** Sequences at which the time between tokens meets its target. */
  readonly sequenceTarget: number;
  /** Sequences that online requests may fill. */
  readonly sequenceLimit: number;
  /** Failed lately; no request before this time. */
  readonly backoffUntilMs: number;
  /** One request is trying a server that failed. */
  readonly isProbed: boolean;
  readonly knownSinceMs: number;
}

/** What an online request asks of a server. */
export interface RouteRequest {
  readonly dataCentre: string;
  /** Empty for a plain service. */
  readonly model: string;
  readonly adapter: string;
  /** Stable text of the prompt's prefix; empty for none. */
  readonly affinity: string;
  /** Servers that this request has failed on. */
  readonly excluded: ReadonlySet<string>;
}

/** Where a request goes. */
export type RouteDecision =
  | {
    readonly kind: "server";
    readonly name: string;
    /** Batch sequences that have to leave for the token gap's sake. */
    readonly preemptCount: number;
  }
  | { readonly kind: "wait" }
  | { readonly kind: "none" };

/** Load over the mean up to which a prefix keeps its server. */
const AFFINITY_LOAD_FACTOR = 1.25;

/** Sequences that a server may get at once when it is new. */
const SLOW_START_SEQUENCES = 4;

/** Further sequences for each second that a server has been known. */
const SLOW_START_SEQUENCES_PER_SECOND = 16;

/** Sequences that a server may have by its age. */
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

/** Sequences that stay: batch gives way. */
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
  const least = servers.reduce<ServerStatus | undefined>((best, server) => {
    if (best === undefined) return server;
    const difference = getOnlineSequences(server) - getOnlineSequences(best) ||
      server.sequences - best.sequences ||
      getPlacementHash(req.affinity + server.name) -
        getPlacementHash(req.affinity + best.name);
    return difference < 0 ? server : best;
  }, undefined);
  if (req.affinity === "" || least === undefined) return least;
  const total = servers.reduce((sum, one) => sum + getOnlineSequences(one), 0);
  const maxSequences = AFFINITY_LOAD_FACTOR * (total + 1) / servers.length;
  const affinityServer = servers.reduce((best, server) =>
    getPlacementHash(req.affinity + server.name) >
        getPlacementHash(req.affinity + best.name)
      ? server
      : best
  );
  return getOnlineSequences(affinityServer) + 1 <= Math.max(1, maxSequences)
    ? affinityServer
    : least;
}

/** Decides where an online request runs now. */
export function chooseServer(
  servers: readonly ServerStatus[],
  req: RouteRequest,
  nowMs: number,
): RouteDecision {
  const fit = servers.filter((server) => isEligible(server, req, nowMs));
  if (fit.length === 0) return { kind: servers.length > 0 ? "wait" : "none" };
  const available = fit.filter((server) => hasCapacity(server, nowMs));
  const local = available.filter((server) =>
    server.dataCentre === req.dataCentre
  );
  const chosen = selectByAffinityOrLoad(
    local.length > 0 ? local : available,
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
