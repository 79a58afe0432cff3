/**
 * Divides batch work among the runners: the members of the store group that run
 * items. A single process could not read all events of the hundreds of items
 * that are in flight in a large fleet.
 *
 * An item's runner depends only on its key and the replicated list of runners,
 * so that no two runners run the same item. Each server is assigned to a
 * runner, which may place items there, preferably in the same data centre.
 * Runners may see different lists of servers for a short time and use the same
 * server; the only consequence is that some items there are preempted.
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

/**
 * Returns the runner of the item with the given key; undefined if there are no
 * runners.
 */
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
 * Returns the ids of the servers on which a runner may place items. If there
 * are fewer servers than runners, every runner may use all of them, so that the
 * items of each runner can run.
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

/**
 * Assigns servers to runners evenly, within a data centre where possible;
 * returns the runner of each server.
 */
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
      runners.filter((runner) => runner.dataCentre === server.dataCentre),
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
 * Silence after which a member is no longer a runner and its items go to
 * others, in milliseconds: ten heartbeats, and less than the run time of an
 * item.
 */
const MAX_RUNNER_SILENCE_MS = 1_000;

/**
 * Number of backend servers per runner. A small fleet has a single runner,
 * which can order all items by due time. At sites with 66 servers, the CPU of a
 * single runner is the bottleneck.
 */
const SERVERS_PER_RUNNER = 24;

/**
 * Plans the list of runners that the leader proposes to the group: as many
 * members as the size of the fleet requires, current runners first and the leader
 * last. Running items delays the heartbeats of a host that has little processor
 * time, and a leader would lose its lead by it. Returns undefined if the current
 * list needs no change.
 */
export function tryPlanRunners(input: RunnerPlanInput): string[] | undefined {
  const healthy = input.members
    .filter((member) =>
      !member.isLearner && member.silentMs < MAX_RUNNER_SILENCE_MS
    )
    .map((member) => member.id)
    .filter((id) => !input.retired.has(id));
  if (healthy.length === 0) return undefined;
  const runnerCount = Math.max(
    1,
    Math.ceil(input.serverCount / SERVERS_PER_RUNNER),
  );
  const rank = (id: string) =>
    id === input.leader ? 2 : input.current.includes(id) ? 0 : 1;
  const ids = [...healthy]
    .sort((a, b) => rank(a) - rank(b) || (a < b ? -1 : 1))
    .slice(0, runnerCount)
    .sort();
  return ids.join() === [...input.current].sort().join() ? undefined : ids;
}
