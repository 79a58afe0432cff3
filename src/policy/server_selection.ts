/**
 * Selects the backend server for the next request of a service, for gateways
 * and runners. Engines admit requests in order of arrival without priorities,
 * so a request goes to a free slot or waits in this process rather than in the
 * engine.
 *
 * Where servers state how long work takes on them at this moment, the expected time
 * decides (expected_time.ts); elsewhere the number of requests does.
 */
import { getPlacementHash } from "../sys/random.ts";
import { filterByDataCentre, preferOwnDataCentre } from "./data_centre_flow.ts";
import {
  getExpectedCost,
  selectBySlowness,
  selectOfTwo,
  selectWorthwhileServers,
} from "./expected_time.ts";

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
  /**
   * Factor by which work takes longer there at this moment (1 is usual); undefined
   * for all servers of a service whose servers have stated none lately.
   */
  readonly slowdown?: number;
  /** Steady speed (1 is usual); known where `slowdown` is. */
  readonly speed?: number;
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
  /**
   * Time for which the request has waited, relative to the usual time that it
   * occupies a slot; 0 by default. Decides when a slow server is worthwhile.
   */
  readonly waited?: number;
  /**
   * Set for an item of a job: time until it is due, relative to the time that it
   * still needs on a server of usual speed.
   */
  readonly slack?: number;
  /** Returns random numbers from 0 to 1, which break ties. */
  readonly getFraction: () => number;
}

/**
 * Fraction of occupied slots from which on prompt affinity to a server no
 * longer applies, so that requests with a popular prompt spread to other
 * servers before they queue. Determined with the benchmark's low-load scenario.
 */
const AFFINITY_MAX_LOAD = 0.75;

/**
 * Expected time at the server that most likely caches the prompt, relative to that
 * at another server, up to which it is preferred. A shared prompt takes up to half of
 * the time to the first event.
 */
const AFFINITY_MAX_COST = 1.5;

/** Returns the best server with a free slot; undefined if there is none. */
export function trySelectServer<S extends ServerCandidate>(
  servers: readonly S[],
  options: ServerSelectionOptions,
): S | undefined {
  const reserve = options.reserve ?? 0;
  // A request doesn't wait for a faster server that it may not use.
  const usable = filterByDataCentre(servers, options);
  const all = usable.filter((server) => server.busy + reserve < server.slots);
  const free = hasSpeeds(all) ? selectWorthwhile(all, usable, options) : all;
  const pool = preferOwnDataCentre(free, options);
  if (hasSpeeds(pool)) return trySelectByExpectedTime(pool, options);
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
  const usable = filterByDataCentre(servers, options);
  if (hasSpeeds(usable)) {
    return tryGetMaxBy(
      usable,
      (server) =>
        -getExpectedCost(server, server.busy - server.batch) -
        options.getFraction() * 1e-3,
    );
  }
  return tryGetLowestLoad(
    usable,
    (server) => server.busy - server.batch,
    options,
  );
}

/** Whether servers of this service have stated their slowdown lately. */
function hasSpeeds(servers: readonly ServerCandidate[]): boolean {
  return servers[0]?.slowdown !== undefined;
}

/** Removes servers at which a request would rather wait for another one. */
function selectWorthwhile<S extends ServerCandidate>(
  free: readonly S[],
  servers: readonly S[],
  { slack, waited }: ServerSelectionOptions,
): readonly S[] {
  return slack === undefined
    ? selectWorthwhileServers(free, servers, waited ?? 0)
    : free;
}

function trySelectByExpectedTime<S extends ServerCandidate>(
  servers: readonly S[],
  options: ServerSelectionOptions,
): S | undefined {
  const { slack, getFraction } = options;
  const pool = slack === undefined ? servers : selectBySlowness(servers, slack);
  const chosen = selectOfTwo(pool, getFraction);
  if (chosen === undefined || options.prefix.length === 0) return chosen;
  const maxCost = getExpectedCost(chosen) * AFFINITY_MAX_COST;
  const similar = pool.filter((server) => getExpectedCost(server) <= maxCost);
  return tryFindAffinityServer(similar, options) ?? chosen;
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
