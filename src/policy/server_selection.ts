/**
 * Selects the backend server for the next request of a service, for gateways
 * and runners. Engines admit requests in order of arrival without priorities,
 * so a request goes to a free slot or waits in this process rather than in the
 * engine.
 */
import { getPlacementHash } from "../sys/random.ts";
import { filterByDataCentre, preferOwnDataCentre } from "./data_centre_flow.ts";

/** A backend server and its load. */
export interface ServerCandidate {
  readonly id: string;
  readonly dataCentre: string;
  /** Number of requests that it can run concurrently. */
  readonly slots: number;
  /** Requests of all processes on the server or on their way to it. */
  readonly busy: number;
  /** Batch requests among them, which online requests can preempt. */
  readonly batch: number;
}

/** Options of a server selection. */
export interface ServerSelectionOptions {
  readonly dataCentre: string;
  /** Other data centres that may be used; undefined for all. */
  readonly remote?: ReadonlySet<string>;
  /** Parts of the prompt that other requests share, in order; may be empty. */
  readonly prefix: readonly string[];
  /** Slots of each server that this kind of request must leave free. */
  readonly reserve?: number;
  /** Returns random numbers from 0 to 1, which break ties. */
  readonly getFraction: () => number;
}

/**
 * Fraction of occupied slots from which on prompt affinity to a server no
 * longer applies, so that requests with a popular prompt spread to other
 * servers before they queue. Determined with the benchmark's low-load scenario.
 */
const AFFINITY_MAX_LOAD = 0.75;

/** Returns the best server with a free slot; undefined if there is none. */
export function trySelectServer<S extends ServerCandidate>(
  servers: readonly S[],
  options: ServerSelectionOptions,
): S | undefined {
  const reserve = options.reserve ?? 0;
  const free = servers.filter((server) => server.busy + reserve < server.slots);
  const pool = preferOwnDataCentre(free, options);
  return tryFindAffinityServer(pool, options) ??
    tryGetLowestLoad(pool, (server) => server.busy, options);
}

/**
 * Returns the server with the fewest online requests per slot, even if it is
 * full. Batch requests don't count, since they are preempted when an online
 * request queues there.
 */
export function tryGetLeastLoaded<S extends ServerCandidate>(
  servers: readonly S[],
  options: ServerSelectionOptions,
): S | undefined {
  return tryGetLowestLoad(
    filterByDataCentre(servers, options),
    (server) => server.busy - server.batch,
    options,
  );
}

/**
 * Returns the server that most likely caches the prompt's shared parts. With
 * rendezvous hashing all processes select the same one without coordination.
 */
function tryFindAffinityServer<S extends ServerCandidate>(
  servers: readonly S[],
  options: ServerSelectionOptions,
): S | undefined {
  if (options.prefix.length === 0) return undefined;
  const key = options.prefix.join();
  const belowLimit = servers.filter((server) =>
    server.busy < server.slots * AFFINITY_MAX_LOAD
  );
  return tryGetMaxBy(
    belowLimit,
    (server) => getPlacementHash(`${key}\0${server.id}`),
  );
}

/** Returns the server with the lowest load per slot; ties break randomly. */
function tryGetLowestLoad<S extends ServerCandidate>(
  servers: readonly S[],
  getLoad: (server: S) => number,
  options: ServerSelectionOptions,
): S | undefined {
  return tryGetMaxBy(
    servers,
    (server) =>
      -getLoad(server) / Math.max(1, server.slots) -
      options.getFraction() * 1e-3,
  );
}

function tryGetMaxBy<S>(
  servers: readonly S[],
  getWeight: (server: S) => number,
): S | undefined {
  const candidates = servers.map((server) => ({
    server,
    weight: getWeight(server),
  }));
  return candidates.reduce<typeof candidates[number] | undefined>(
    (best, candidate) =>
      best === undefined || candidate.weight > best.weight ? candidate : best,
    undefined,
  )?.server;
}
