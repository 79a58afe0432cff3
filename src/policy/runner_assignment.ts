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
  const owned = [...assignServers(servers, runners)]
    .filter(([, owner]) => owner === runner);
  return new Set(owned.map(([id]) => id));
}

/** The runner of each server: evenly, in its data centre where that goes. */
export function assignServers(
  servers: readonly AssignableServer[],
  runners: readonly Runner[],
): Map<string, string> {
  const owners = new Map<string, string>();
  if (runners.length === 0) return owners;
  const counts = new Map(runners.map(({ id }) => [id, 0]));
  const most = Math.ceil(servers.length / runners.length);
  const hasRoom = ({ id }: Runner) => (counts.get(id) ?? 0) < most;
  const assign = (server: AssignableServer, among: readonly Runner[]) => {
    const owner = getLeastLoaded(server, among.filter(hasRoom), counts);
    if (owner === undefined) return;
    owners.set(server.id, owner.id);
    counts.set(owner.id, (counts.get(owner.id) ?? 0) + 1);
  };
  const inOrder = [...servers].sort((a, b) => a.id < b.id ? -1 : 1);
  inOrder.forEach((server) =>
    assign(
      server,
      runners.filter((one) => one.dataCentre === server.dataCentre),
    )
  );
  inOrder.filter((server) => !owners.has(server.id))
    .forEach((server) => assign(server, runners));
  return owners;
}

function getLeastLoaded(
  server: AssignableServer,
  runners: readonly Runner[],
  counts: ReadonlyMap<string, number>,
): Runner | undefined {
  const weigh = ({ id }: Runner) => getPlacementHash(`${server.id}\0${id}`);
  return [...runners].sort((a, b) =>
    (counts.get(a.id) ?? 0) - (counts.get(b.id) ?? 0) || weigh(b) - weigh(a)
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
const RUNNER_SILENT_MS = 1_000;

/**
 * Backend servers that one runner looks after. One runner orders all items by
 * their time, so a small fleet has one; on the grown sites, with 66 servers,
 * one runner's processor is the limit.
 */
const SERVERS_OF_RUNNER = 24;

/**
 * The list of runners to agree on: the leader, and others as the fleet needs
 * them. Undefined when the one in force is right.
 */
export function tryPlanRunners(facts: RunnerPlanInput): string[] | undefined {
  const sound = facts.members
    .filter((one) => !one.isLearner && one.silentMs < RUNNER_SILENT_MS)
    .map((one) => one.id)
    .filter((id) => !facts.retired.has(id));
  if (sound.length === 0) return undefined;
  const wanted = Math.max(1, Math.ceil(facts.serverCount / SERVERS_OF_RUNNER));
  const rank = (id: string) =>
    id === facts.leader ? 0 : facts.current.includes(id) ? 1 : 2;
  const ids = [...sound]
    .sort((a, b) => rank(a) - rank(b) || (a < b ? -1 : 1))
    .slice(0, wanted)
    .sort();
  return ids.join() === [...facts.current].sort().join() ? undefined : ids;
}
