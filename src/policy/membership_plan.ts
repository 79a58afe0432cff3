/**
 * How a replicated group heals by itself: which one change of membership its
 * leader makes next. A member that lost its disk comes back under another id
 * and is replaced at once; one that stays silent is replaced once another
 * host stands by, and sooner if that host came after the silence began, as a
 * successor does. A replacement joins as a learner, votes when it has caught
 * up, and only then does the lost member leave.
 */
import type { HostRecord, Member } from "../schema/mod.ts";

/** What the leader knows of a member. */
export interface MemberHealth {
  readonly member: Member;
  /** Time since it answered, in milliseconds; 0 for the leader itself. */
  readonly silentMs: number;
  /** It holds all that is committed. */
  readonly isCurrent: boolean;
}

/** What the plan goes by. */
export interface MembershipPlanInput {
  readonly members: readonly MemberHealth[];
  /** Registered hosts of the group's role. */
  readonly hosts: readonly HostRecord[];
  /** Time since the leader first heard of a host, in milliseconds. */
  readonly getHostAgeMs: (id: string) => number;
  /** Ids of hosts that must leave, because an operator retires them. */
  readonly retired: ReadonlySet<string>;
  /** Hosts that may be lost at once. */
  readonly lostHosts: number;
  /** Silence after which a member is replaced, in milliseconds. */
  readonly replaceAfterMs: number;
  /** The same where a host has come since the silence began. */
  readonly replaceBySpareAfterMs: number;
  /** Time for which a learner may be behind, in milliseconds. */
  readonly learnerTimeoutMs: number;
}

/**
 * Time that a new leader's count of a silence may lack, in milliseconds: it
 * begins with the term, after an election of up to two timeouts.
 */
const ELECTION_MARGIN_MS = 2_000;

/** One change of membership. */
export type PlannedChange =
  | { readonly kind: "add"; readonly host: HostRecord }
  | { readonly kind: "promote"; readonly id: string }
  | { readonly kind: "remove"; readonly id: string };

/** Voters that a group needs to bear `lostHosts` losses. */
export function getRequiredVoters(lostHosts: number): number {
  return 2 * lostHosts + 1;
}

/** The next change; undefined when the membership is as it should be. */
export function tryPlanChange(
  input: MembershipPlanInput,
): PlannedChange | undefined {
  const learner = input.members.find((one) => one.member.learner);
  if (learner !== undefined) return planLearner(input, learner);
  const voters = input.members.filter((one) => !one.member.learner);
  const lost = voters.filter((one) => isLost(input, one));
  const healthyCount = voters.length - lost.length;
  const requiredCount = getRequiredVoters(input.lostHosts);
  // A member that was replaced while it was away may have come back.
  const excess = voters.length > requiredCount
    ? lost[0] ?? selectExcessVoter(input, voters)
    : undefined;
  if (excess !== undefined) return { kind: "remove", id: excess.member.id };
  const spare = healthyCount < requiredCount
    ? tryFindSpareHost(input)
    : undefined;
  if (spare !== undefined) return { kind: "add", host: spare };
  // Without a stand-by a superseded member only raises the quorum: its new
  // self waits under the same address.
  const superseded = lost.find((one) => isSuperseded(input, one.member));
  return superseded === undefined || voters.length <= 1
    ? undefined
    : { kind: "remove", id: superseded.member.id };
}

function planLearner(
  input: MembershipPlanInput,
  learner: MemberHealth,
): PlannedChange | undefined {
  if (learner.isCurrent) return { kind: "promote", id: learner.member.id };
  const isStuck = learner.silentMs > input.learnerTimeoutMs ||
    isSuperseded(input, learner.member);
  return isStuck ? { kind: "remove", id: learner.member.id } : undefined;
}

function isLost(input: MembershipPlanInput, one: MemberHealth): boolean {
  return input.retired.has(one.member.id) || isSuperseded(input, one.member) ||
    one.silentMs > input.replaceAfterMs || hasNewerSpare(input, one);
}

/** A host that no member runs on has come since the member fell silent. */
function hasNewerSpare(input: MembershipPlanInput, one: MemberHealth): boolean {
  if (one.silentMs <= input.replaceBySpareAfterMs) return false;
  return input.hosts.some((host) =>
    input.getHostAgeMs(host.id) < one.silentMs + ELECTION_MARGIN_MS &&
    input.members.every((other) => other.member.address !== host.address)
  );
}

/** Another id is registered at the member's address. */
function isSuperseded(input: MembershipPlanInput, member: Member): boolean {
  return input.hosts.some((host) =>
    host.address === member.address && host.id !== member.id
  );
}

/** First members may not know where they stand; their host records do. */
function getDataCentre(input: MembershipPlanInput, member: Member): string {
  return input.hosts.find((host) => host.id === member.id)?.dataCentre ??
    member.dataCentre;
}

/** A voter of the data centre with the most; the leader, if need be, last. */
function selectExcessVoter(
  input: MembershipPlanInput,
  voters: readonly MemberHealth[],
): MemberHealth | undefined {
  const countInSameDataCentre = (one: MemberHealth) =>
    voters.filter((other) =>
      getDataCentre(input, other.member) === getDataCentre(input, one.member)
    ).length;
  return [...voters].sort((a, b) =>
    countInSameDataCentre(b) - countInSameDataCentre(a) ||
    b.silentMs - a.silentMs
  )[0];
}

/** A host to add: from the data centre with the fewest sound voters. */
function tryFindSpareHost(input: MembershipPlanInput): HostRecord | undefined {
  const taken = new Set(input.members.map((one) => one.member.id));
  const healthy = input.members.filter((one) => !isLost(input, one));
  const countHealthyIn = (dataCentre: string) =>
    healthy.filter((one) => getDataCentre(input, one.member) === dataCentre)
      .length;
  return input.hosts
    .filter((host) => !taken.has(host.id) && !input.retired.has(host.id))
    .sort((a, b) =>
      countHealthyIn(a.dataCentre) - countHealthyIn(b.dataCentre) ||
      Number(b.index - a.index)
    )[0];
}

/**
 * First members of a group among registered hosts: as many as bear the
 * losses, spread over data centres.
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
  const affordable = Math.min(getRequiredVoters(lostHosts), interleaved.length);
  const oddCount = affordable % 2 === 1 ? affordable : affordable - 1;
  return interleaved.slice(0, oddCount);
}
