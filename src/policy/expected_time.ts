/**
 * Expected time of a request at a server, and selections by it. Loads and slowdowns
 * are some 100 ms old and the same for all processes, so the best server by these
 * figures alone would get the requests of all processes until the next report.
 */
import type { ServerCandidate } from "./server_selection.ts";

/**
 * Ratio of expected times from which on a request rather waits for a faster server.
 * Smaller differences cost less than the wait.
 */
const MIN_WAIT_RATIO = 1.5;

/**
 * Time that a request waits for a faster server before it takes a slow one, as a
 * fraction of the time that the slow one costs in addition. With a half or the whole,
 * more requests were late or refused in the plain service of uneven_servers_test.ts.
 */
const WAIT_FRACTION = 0.25;

/**
 * Ratio of speeds within which servers count as equally slow. Learned speeds of
 * equal machines differ by about a tenth.
 */
const SAME_SPEED_RATIO = 1.25;

/**
 * Interval at which a request that waits checks again whether a slow server has
 * become worthwhile, in milliseconds: a fraction of the shortest services.
 */
const HOLD_CHECK_MS = 20;

/** Whether a free server was not selected because it is slow at this moment. */
export function isWithheld(server: ServerCandidate): boolean {
  return server.slowdown !== undefined && server.busy < server.slots;
}

/** Time after which a request that waits for up to `ms` checks again. */
export function getRecheckMs(
  ms: number,
  { slowdown }: ServerCandidate,
): number {
  return slowdown === undefined ? ms : Math.min(ms, HOLD_CHECK_MS);
}

/** Whether a server is slowed down so much that requests rather wait for others. */
export function isSlowNow({ slowdown }: ServerCandidate): boolean {
  return (slowdown ?? 1) >= MIN_WAIT_RATIO;
}

/** Time of a request in a slot, relative to the usual; without any wait. */
export function getServiceFactor({ slowdown, speed }: ServerCandidate): number {
  return (slowdown ?? 1) / (speed ?? 1);
}

/**
 * Expected time of a request, relative to the usual time in a slot: the wait for a
 * slot, the service, and a margin for requests that are not yet reported, which
 * grows with the load.
 */
export function getExpectedCost(
  server: ServerCandidate,
  busy = server.busy,
): number {
  const slots = Math.max(1, server.slots);
  const ahead = Math.max(0, busy - slots + 1) / slots;
  const load = Math.min(1, busy / slots);
  return (1 + ahead + load) * getServiceFactor(server);
}

/**
 * Free servers that are not slow at this moment, or not so slow that a request which
 * has waited for `waited` (relative to the usual time to the first event) rather waits
 * for another one of `servers`.
 */
export function selectWorthwhileServers<S extends ServerCandidate>(
  free: readonly S[],
  servers: readonly S[],
  waited: number,
): readonly S[] {
  if (!free.some(isSlowNow)) return free;
  const least = servers.reduce(
    (min, server) => Math.min(min, getServiceFactor(server)),
    Infinity,
  );
  return free.filter((server) => {
    if (!isSlowNow(server)) return true;
    const factor = getServiceFactor(server);
    return factor < least * MIN_WAIT_RATIO ||
      waited >= (factor - least) * WAIT_FRACTION;
  });
}

/**
 * The better of two different random servers. The samples are weighted by free slots and
 * speed, so that servers of different sizes fill evenly.
 */
export function selectOfTwo<S extends ServerCandidate>(
  servers: readonly S[],
  getFraction: () => number,
): S | undefined {
  const total = servers.reduce((sum, server) => sum + getWeight(server), 0);
  const first = sample(servers, getFraction() * total);
  if (first === undefined) return undefined;
  const rest = total - getWeight(first);
  const second = sample(servers, getFraction() * rest, first);
  return second !== undefined &&
      getExpectedCost(second) < getExpectedCost(first)
    ? second
    : first;
}

/**
 * Servers for an item: the slowest at which it still ends in time, which are of
 * least use to streams; the fastest if it ends in time nowhere. `slack` is the time
 * until it is due, relative to the time that it needs on a usual server.
 */
export function selectBySlowness<S extends ServerCandidate>(
  servers: readonly S[],
  slack: number,
): readonly S[] {
  const inTime = servers.filter((server) => getServiceFactor(server) <= slack);
  if (inTime.length === 0) {
    const least = Math.min(...servers.map(getServiceFactor));
    return servers.filter((server) =>
      getServiceFactor(server) <= least * SAME_SPEED_RATIO
    );
  }
  const slowest = Math.min(...inTime.map(({ speed }) => speed ?? 1));
  return inTime.filter(({ speed }) =>
    (speed ?? 1) <= slowest * SAME_SPEED_RATIO
  );
}

function getWeight(server: ServerCandidate): number {
  return Math.max(1, server.slots - server.busy) / getServiceFactor(server);
}

/** Server at a position in the sum of the weights of all but one server. */
function sample<S extends ServerCandidate>(
  servers: readonly S[],
  position: number,
  excluded?: S,
): S | undefined {
  let rest = position;
  return servers.find((server) => {
    if (server === excluded) return false;
    rest -= getWeight(server);
    return rest < 0;
  }) ?? servers.findLast((server) => server !== excluded);
}
