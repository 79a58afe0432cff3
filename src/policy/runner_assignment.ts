/**
 * Which of several processes runs an item of a job, and at which backend
 * servers each of them may place items. Items go by their names and the agreed
 * list of runners alone, so that no two believe they have the same one.
 * Servers are shared evenly, near ones first; a moment's disagreement on a
 * server only makes items give way there.
 *
 * Answers the load pattern of a large fleet: hundreds of items under way, more
 * than one process can read the events of.
 */
import { getPlacementHash, selectByRendezvous } from "../sys/random.ts";

/** A process that runs items. */
export interface Runner {
  readonly id: string;
  readonly dataCentre: string;
}

/** What the sharing of servers goes by. */
export interface AssignableServer {
  readonly id: string;
  readonly dataCentre: string;
}

/** The runner of an item, by its key; undefined when there are none. */
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
 * Servers at which a runner may place items. Fewer servers than runners belong
 * to all of them, so that no runner is left without.
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

/** The runner of each server: evenly, in its data centre where that goes. */
export function assignServers(
  servers: readonly AssignableServer[],
  runners: readonly Runner[],
): Map<string, string> {
  const owners = new Map<string, string>();
  if (runners.length === 0) return owners;
  const counts = new Map(runners.map(({ id }) => [id, 0]));
  const maxPerRunner = Math.ceil(servers.length / runners.length);
  const hasRoom = ({ id }: Runner) => (counts.get(id) ?? 0) < maxPerRunner;
  const assign = (server: AssignableServer, candidates: readonly Runner[]) => {
    const owner = tryGetLeastLoadedRunner(
      server,
      candidates.filter(hasRoom),
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

/** What a leader knows of a member that may run items. */
export interface RunnerCandidate {
  readonly id: string;
  readonly isLearner: boolean;
  /** Time since it answered, in milliseconds. */
  readonly silentMs: number;
}

/** What the list of runners goes by. */
export interface RunnerPlanInput {
  readonly members: readonly RunnerCandidate[];
  readonly leader: string;
  /** Ids of hosts that an operator retires. */
  readonly retired: ReadonlySet<string>;
  /** The list in force. */
  readonly current: readonly string[];
  /** Backend servers of the fleet. */
  readonly serverCount: number;
}

/**
 * Silence after which a member's items go to the others, in milliseconds: ten
 * heartbeats, and shorter than a run.
 */
const MAX_RUNNER_SILENCE_MS = 1_000;

/**
 * Backend servers that one runner looks after. One runner orders all items by
 * their time, so a small fleet has one; on the grown sites, with 66 servers,
 * one runner's processor is the limit.
 */
const SERVERS_PER_RUNNER = 24;

/**
 * The list of runners to agree on: the leader, and others as the fleet needs
 * them. Undefined when the one in force is right.
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
