/**
 * Assigns items of batch jobs to runner processes, and backend servers to the
 * runners that may place items there. An item's runner depends only on its key
 * and the agreed list of runners, so that no two runners claim the same item.
 * Servers are distributed evenly, preferably to runners in the same data
 * centre; if runners briefly disagree on a server, items there are preempted,
 * and nothing worse happens.
 *
 * A large fleet has hundreds of items in flight and produces more events than
 * one process can read.
 */
import { getPlacementHash, selectByRendezvous } from "../sys/random.ts";

/** A process that runs batch items. */
export interface Runner {
  readonly id: string;
  readonly dataCentre: string;
}

/** A backend server that is assigned to a runner. */
export interface AssignableServer {
  readonly id: string;
  readonly dataCentre: string;
}

/** Returns the runner of the item with a key; undefined without runners. */
export function tryGetItemRunner(
  key: string,
  runners: readonly string[],
): string | undefined {
  return selectByRendezvous(key, runners, {
    getName: (id) => id,
    count: 1,
  })[0];
}

/**
 * Returns the servers on which a runner may place items. If there are fewer
 * servers than runners, all runners use all servers, so that none is left
 * without.
 */
export function getAssignedServers(
  runner: string,
  servers: readonly AssignableServer[],
  runners: readonly Runner[],
): ReadonlySet<string> {
  if (servers.length < runners.length) {
    return new Set(servers.map(({ id }) => id));
  }
  const assigned = [...assignServers(servers, runners)]
    .filter(([, owner]) => owner === runner);
  return new Set(assigned.map(([id]) => id));
}

/** Assigns servers to runners evenly, within a data centre where possible. */
export function assignServers(
  servers: readonly AssignableServer[],
  runners: readonly Runner[],
): Map<string, string> {
  const owners = new Map<string, string>();
  if (runners.length === 0) return owners;
  const counts = new Map(runners.map(({ id }) => [id, 0]));
  const maxPerRunner = Math.ceil(servers.length / runners.length);
  const hasCapacity = ({ id }: Runner) => (counts.get(id) ?? 0) < maxPerRunner;
  const assign = (server: AssignableServer, candidates: readonly Runner[]) => {
    const owner = tryGetLeastLoadedRunner(
      server,
      candidates.filter(hasCapacity),
      counts,
    );
    if (owner === undefined) return;
    owners.set(server.id, owner.id);
    counts.set(owner.id, (counts.get(owner.id) ?? 0) + 1);
  };
  const sorted = [...servers].sort((a, b) => a.id < b.id ? -1 : 1);
  sorted.forEach((server) =>
    assign(
      server,
      runners.filter((one) => one.dataCentre === server.dataCentre),
    )
  );
  sorted.filter((server) => !owners.has(server.id))
    .forEach((server) => assign(server, runners));
  return owners;
}

function tryGetLeastLoadedRunner(
  server: AssignableServer,
  runners: readonly Runner[],
  counts: ReadonlyMap<string, number>,
): Runner | undefined {
  const getHash = ({ id }: Runner) => getPlacementHash(`${server.id}\0${id}`);
  return [...runners].sort((a, b) =>
    (counts.get(a.id) ?? 0) - (counts.get(b.id) ?? 0) || getHash(b) - getHash(a)
  )[0];
}

/** Health of a member that may become a runner, as known to the leader. */
export interface RunnerCandidate {
  readonly id: string;
  readonly isLearner: boolean;
  /** Time since its last answer, in milliseconds. */
  readonly silentMs: number;
}

/** Input for planning the list of runners. */
export interface RunnerPlanInput {
  readonly members: readonly RunnerCandidate[];
  readonly leader: string;
  /** Ids of hosts that an operator retires. */
  readonly retired: ReadonlySet<string>;
  /** Ids of the current runners. */
  readonly current: readonly string[];
  /** Number of backend servers in the fleet. */
  readonly serverCount: number;
}

/**
 * Silence after which a member's items go to other runners, in milliseconds:
 * ten heartbeats, and less than the duration of a run.
 */
const MAX_RUNNER_SILENCE_MS = 1_000;

/**
 * Number of backend servers per runner. A single runner can order all items by
 * due time, so a small fleet has only one. At sites with 66 servers, the CPU of
 * a single runner is the bottleneck.
 */
const SERVERS_PER_RUNNER = 24;

/**
 * Plans the list of runners to propose: the leader, and as many others as the
 * size of the fleet requires. Undefined if the current list needs no change.
 */
export function tryPlanRunners(input: RunnerPlanInput): string[] | undefined {
  const healthy = input.members
    .filter((one) => !one.isLearner && one.silentMs < MAX_RUNNER_SILENCE_MS)
    .map((one) => one.id)
    .filter((id) => !input.retired.has(id));
  if (healthy.length === 0) return undefined;
  const runnerCount = Math.max(
    1,
    Math.ceil(input.serverCount / SERVERS_PER_RUNNER),
  );
  const rank = (id: string) =>
    id === input.leader ? 0 : input.current.includes(id) ? 1 : 2;
  const ids = [...healthy]
    .sort((a, b) => rank(a) - rank(b) || (a < b ? -1 : 1))
    .slice(0, runnerCount)
    .sort();
  return ids.join() === [...input.current].sort().join() ? undefined : ids;
}
