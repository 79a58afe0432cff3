/**
 * Which backend server of a service takes the next request. Engines admit in
 * order of arrival and know no priority, so a request goes where a slot is
 * free, and waits here rather than there.
 */
import { getPlacementHash } from "../sys/random.ts";

/** One backend server as the chooser sees it. */
export interface ServerCandidate {
  readonly id: string;
  readonly dataCentre: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Requests that are on it or on their way to it, from everybody. */
  readonly busy: number;
  /** Of these, requests of jobs, which give way to online ones. */
  readonly batch: number;
}

/** What the chooser goes by besides the servers. */
export interface ServerSelectionOptions {
  readonly dataCentre: string;
  /** Shared parts of the prompt, in order; empty when there are none. */
  readonly prefix: readonly string[];
  /** Slots of each server that this kind of request must leave free. */
  readonly reserve?: number;
  /** Random numbers from 0 to 1 that break ties. */
  readonly getFraction: () => number;
}

/**
 * Busy share from which a server loses the requests whose prompt it keeps, so
 * that a popular prompt spreads before it queues; from the bench's quiet day.
 */
const AFFINITY_MAX_LOAD = 0.75;

/** The best server with a free slot; undefined when none has one. */
export function trySelectServer<S extends ServerCandidate>(
  servers: readonly S[],
  options: ServerSelectionOptions,
): S | undefined {
  const reserve = options.reserve ?? 0;
  const free = servers.filter((one) => one.busy + reserve < one.slots);
  const local = free.filter((one) => one.dataCentre === options.dataCentre);
  const pool = local.length > 0 ? local : free;
  return tryFindAffinityServer(pool, options) ??
    tryGetLowestLoad(pool, (one) => one.busy, options);
}

/**
 * The server with the fewest online requests for its slots, full or not: what
 * it runs of jobs gives way when an online request queues there.
 */
export function tryGetLeastLoaded<S extends ServerCandidate>(
  servers: readonly S[],
  options: ServerSelectionOptions,
): S | undefined {
  return tryGetLowestLoad(servers, (one) => one.busy - one.batch, options);
}

/**
 * The server that keeps the prompt's shared parts, by rendezvous hashing: all
 * choosers agree on it without telling each other.
 */
function tryFindAffinityServer<S extends ServerCandidate>(
  servers: readonly S[],
  options: ServerSelectionOptions,
): S | undefined {
  if (options.prefix.length === 0) return undefined;
  const key = options.prefix.join();
  const belowLimit = servers.filter((one) =>
    one.busy < one.slots * AFFINITY_MAX_LOAD
  );
  return tryGetMaxBy(
    belowLimit,
    (one) => getPlacementHash(`${key}\0${one.id}`),
  );
}

/** The server with the least for its slots; chance breaks ties. */
function tryGetLowestLoad<S extends ServerCandidate>(
  servers: readonly S[],
  getLoad: (server: S) => number,
  options: ServerSelectionOptions,
): S | undefined {
  return tryGetMaxBy(
    servers,
    (one) =>
      -getLoad(one) / Math.max(1, one.slots) - options.getFraction() * 1e-3,
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
