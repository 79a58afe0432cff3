/** Parts of a load report, each of which fits into one datagram. */
import type { ServerLoad } from "../schema/mod.ts";
import { getPlacementHash } from "../sys/random.ts";

/**
 * Maximum average number of servers in a datagram. Each server takes about 25
 * bytes. Servers are distributed unevenly over the parts; the limit leaves room
 * for the largest part to stay below 1,472 bytes, the largest UDP payload that isn't
 * fragmented.
 */
const TARGET_SERVERS_PER_PART = 32;

/** Number of parts of a report of that many servers. */
export function countParts(servers: number): number {
  return Math.max(1, Math.ceil(servers / TARGET_SERVERS_PER_PART));
}

/**
 * Splits loads into parts that fit into one datagram each. A server is always in
 * the same part while the number of parts is constant, so the loss of a datagram
 * affects only the loads of the servers in it.
 */
export function splitLoads(loads: readonly ServerLoad[]): ServerLoad[][] {
  const count = countParts(loads.length);
  const parts = Array.from({ length: count }, (): ServerLoad[] => []);
  loads.forEach((load) =>
    parts[getPlacementHash(load.server) % count]?.push(load)
  );
  return parts;
}
