/**
 * Plans the membership changes that repair a Raft group, one change at a time.
 * A member that lost its disk comes back under another id and is replaced at
 * once. A silent member is replaced after a timeout, if there is a spare host.
 * The timeout is shorter if the spare host registered after the silence began,
 * since it is then probably the successor of the failed host.
 *
 * A replacement joins as a learner and is promoted to voter when it has caught
 * up. A voter that doesn't answer is removed before that: its removal doesn't
 * raise the quorum, while a further voter would, and if the replacement were lost
 * as well, the group could neither elect a leader nor repair itself. A voter that
 * still answers, such as that of a retired host, is removed afterwards.
 */
import type { HostRecord, Member } from "../schema/mod.ts";

/** Health of a member as known to the leader. */
export interface MemberHealth {
  readonly member: Member;
  /** Time since its last answer, in milliseconds; 0 for the leader itself. */
  readonly silentMs: number;
  /** Whether it holds all committed log entries. */
  readonly isCurrent: boolean;
}

/** Input of the membership plan. */
export interface MembershipPlanInput {
  readonly members: readonly MemberHealth[];
  /** Registered hosts that have the group's role. */
  readonly hosts: readonly HostRecord[];
  /** Time for which the leader has known a host, in milliseconds. */
  readonly getHostAgeMs: (id: string) => number;
  /** Ids of hosts that an operator retires, which must leave the group. */
  readonly retired: ReadonlySet<string>;
  /** Number of lost hosts that the group must tolerate at the same time. */
  readonly lostHosts: number;
  /** Silence after which a member is replaced, in milliseconds. */
  readonly replaceAfterMs: number;
  /** The shorter timeout if a spare host registered after the silence began. */
  readonly replaceBySpareAfterMs: number;
  /** Silence after which a learner is removed, in milliseconds. */
  readonly learnerTimeoutMs: number;
}

/**
 * Time by which a new leader may underestimate a silence, in milliseconds. A
 * leader measures silence from the start of its term, and the election before
 * that takes up to two election timeouts.
 */
const ELECTION_MARGIN_MS = 2_000;

/** A single membership change. */
export type PlannedChange =
  | { readonly kind: "add"; readonly host: HostRecord }
  | { readonly kind: "promote"; readonly id: string }
  | { readonly kind: "remove"; readonly id: string };

/** Number of voters that a group needs to tolerate the loss of `lostHosts`. */
export function getRequiredVoters(lostHosts: number): number {
  return 2 * lostHosts + 1;
}

/**
 * Time without an answer after which a member counts as unresponsive, in
 * milliseconds: some heartbeats.
 */
const UNRESPONSIVE_AFTER_MS = 500;

/** Returns the next change; undefined if none is needed. */
export function tryPlanChange(
  input: MembershipPlanInput,
): PlannedChange | undefined {
  const voters = input.members.filter((health) => !health.member.learner);
  const hasOtherVoter = voters.length > 1;
  // It never answers again, so in the group it only raises the quorum.
  const gone = voters.find((health) => isGone(input, health));
  if (gone !== undefined && hasOtherVoter) return createRemoval(gone);
  const lost = voters.filter((health) => isLost(input, health));
  const requiredCount = getRequiredVoters(input.lostHosts);
  const isShort = voters.length - lost.length < requiredCount;
  const learner = input.members.find((health) => health.member.learner);
  if (learner !== undefined) {
    if (isStuck(input, learner)) return createRemoval(learner);
    if (!learner.isCurrent || isUnresponsive(learner)) return undefined;
    // A voter that was lost may have come back meanwhile.
    if (!isShort) return createRemoval(learner);
    const unresponsive = lost.find(isUnresponsive);
    return unresponsive !== undefined && hasOtherVoter
      ? createRemoval(unresponsive)
      : { kind: "promote", id: learner.member.id };
  }
  const excess = voters.length > requiredCount
    ? lost[0] ?? selectExcessVoter(input, voters)
    : undefined;
  if (excess !== undefined) return createRemoval(excess);
  const spare = isShort ? tryFindSpareHost(input) : undefined;
  return spare === undefined ? undefined : { kind: "add", host: spare };
}

function createRemoval({ member }: MemberHealth): PlannedChange {
  return { kind: "remove", id: member.id };
}

function isStuck(input: MembershipPlanInput, learner: MemberHealth): boolean {
  return learner.silentMs > input.learnerTimeoutMs || isGone(input, learner);
}

function isUnresponsive({ silentMs }: MemberHealth): boolean {
  return silentMs >= UNRESPONSIVE_AFTER_MS;
}

function isLost(input: MembershipPlanInput, health: MemberHealth): boolean {
  return input.retired.has(health.member.id) ||
    isGone(input, health) ||
    health.silentMs > input.replaceAfterMs || hasNewerSpare(input, health);
}

/** Whether a host that is not a voter registered after the silence began. */
function hasNewerSpare(
  input: MembershipPlanInput,
  health: MemberHealth,
): boolean {
  if (health.silentMs <= input.replaceBySpareAfterMs) return false;
  return input.hosts.some((host) =>
    input.getHostAgeMs(host.id) < health.silentMs + ELECTION_MARGIN_MS &&
    input.members.every(({ member }) =>
      member.learner || member.address !== host.address
    )
  );
}

/**
 * Whether a member's host has lost its disk: another id is registered at its
 * address, and it doesn't answer. A member that answers is newer than that
 * record, of which this process knows an old version.
 */
function isGone(input: MembershipPlanInput, health: MemberHealth): boolean {
  const { address, id } = health.member;
  return isUnresponsive(health) &&
    input.hosts.some((host) => host.address === address && host.id !== id);
}

/** Prefers the host record, since initial members may have no data centre. */
function getDataCentre(input: MembershipPlanInput, member: Member): string {
  return input.hosts.find((host) => host.id === member.id)?.dataCentre ??
    member.dataCentre;
}

/**
 * Selects a voter of the data centre that has the most voters. The most silent
 * goes first, so the leader is selected last.
 */
function selectExcessVoter(
  input: MembershipPlanInput,
  voters: readonly MemberHealth[],
): MemberHealth | undefined {
  const countInSameDataCentre = (health: MemberHealth) =>
    voters.filter((other) =>
      getDataCentre(input, other.member) === getDataCentre(input, health.member)
    ).length;
  return [...voters].sort((a, b) =>
    countInSameDataCentre(b) - countInSameDataCentre(a) ||
    b.silentMs - a.silentMs
  )[0];
}

/** Selects a spare host in the data centre with the fewest healthy members. */
function tryFindSpareHost(input: MembershipPlanInput): HostRecord | undefined {
  const taken = new Set(input.members.map((health) => health.member.id));
  const healthy = input.members.filter((health) => !isLost(input, health));
  const countHealthyIn = (dataCentre: string) =>
    healthy.filter((health) =>
      getDataCentre(input, health.member) === dataCentre
    )
      .length;
  return input.hosts
    .filter((host) => !taken.has(host.id) && !input.retired.has(host.id))
    .sort((a, b) =>
      countHealthyIn(a.dataCentre) - countHealthyIn(b.dataCentre) ||
      Number(b.index - a.index)
    )[0];
}

/**
 * Selects the initial members of a group among the registered hosts, spread
 * over the data centres. Their number is odd, and at most the number of voters
 * needed to tolerate the loss of `lostHosts`.
 */
export function selectInitialMembers(
  hosts: readonly HostRecord[],
  lostHosts: number,
): HostRecord[] {
  const byDataCentre = new Map<string, HostRecord[]>();
  hosts.forEach((host) =>
    byDataCentre.set(host.dataCentre, [
      ...byDataCentre.get(host.dataCentre) ?? [],
      host,
    ])
  );
  const rounds = Math.max(
    0,
    ...[...byDataCentre.values()].map((all) => all.length),
  );
  const interleaved = Array.from(
    { length: rounds },
    (_, round) =>
      [...byDataCentre.values()].flatMap((all) => all.slice(round, round + 1)),
  ).flat();
  const maxMembers = Math.min(getRequiredVoters(lostHosts), interleaved.length);
  const oddCount = maxMembers % 2 === 1 ? maxMembers : maxMembers - 1;
  return interleaved.slice(0, oddCount);
}
