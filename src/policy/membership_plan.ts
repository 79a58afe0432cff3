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
  facts: MembershipPlanInput,
): PlannedChange | undefined {
  const learner = facts.members.find((one) => one.member.learner);
  if (learner !== undefined) return planLearner(facts, learner);
  const voters = facts.members.filter((one) => !one.member.learner);
  const lost = voters.filter((one) => isLost(facts, one));
  const sound = voters.length - lost.length;
  const wanted = getRequiredVoters(facts.lostHosts);
  // A member that was replaced while it was away may have come back.
  const excess = voters.length > wanted
    ? lost[0] ?? getMostCrowded(facts, voters)
    : undefined;
  if (excess !== undefined) return { kind: "remove", id: excess.member.id };
  const standBy = sound < wanted ? tryFindStandBy(facts) : undefined;
  if (standBy !== undefined) return { kind: "add", host: standBy };
  // Without a stand-by a superseded member only raises the quorum: its new
  // self waits under the same address.
  const superseded = lost.find((one) => isSuperseded(facts, one.member));
  return superseded === undefined || voters.length <= 1
    ? undefined
    : { kind: "remove", id: superseded.member.id };
}

function planLearner(
  facts: MembershipPlanInput,
  learner: MemberHealth,
): PlannedChange | undefined {
  if (learner.isCurrent) return { kind: "promote", id: learner.member.id };
  const isStuck = learner.silentMs > facts.learnerTimeoutMs ||
    isSuperseded(facts, learner.member);
  return isStuck ? { kind: "remove", id: learner.member.id } : undefined;
}

function isLost(facts: MembershipPlanInput, one: MemberHealth): boolean {
  return facts.retired.has(one.member.id) || isSuperseded(facts, one.member) ||
    one.silentMs > facts.replaceAfterMs || isSucceeded(facts, one);
}

/** A host that no member runs on has come since the member fell silent. */
function isSucceeded(facts: MembershipPlanInput, one: MemberHealth): boolean {
  if (one.silentMs <= facts.replaceBySpareAfterMs) return false;
  return facts.hosts.some((host) =>
    facts.getHostAgeMs(host.id) < one.silentMs + ELECTION_MARGIN_MS &&
    facts.members.every((other) => other.member.address !== host.address)
  );
}

/** Another id is registered at the member's address. */
function isSuperseded(facts: MembershipPlanInput, member: Member): boolean {
  return facts.hosts.some((host) =>
    host.address === member.address && host.id !== member.id
  );
}

/** First members may not know where they stand; their host records do. */
function getCentre(facts: MembershipPlanInput, member: Member): string {
  return facts.hosts.find((host) => host.id === member.id)?.dataCentre ??
    member.dataCentre;
}

/** A voter of the data centre with the most; the leader, if need be, last. */
function getMostCrowded(
  facts: MembershipPlanInput,
  voters: readonly MemberHealth[],
): MemberHealth | undefined {
  const countBeside = (one: MemberHealth) =>
    voters.filter((other) =>
      getCentre(facts, other.member) === getCentre(facts, one.member)
    ).length;
  return [...voters].sort((a, b) =>
    countBeside(b) - countBeside(a) || b.silentMs - a.silentMs
  )[0];
}

/** A host to add: from the data centre with the fewest sound voters. */
function tryFindStandBy(facts: MembershipPlanInput): HostRecord | undefined {
  const taken = new Set(facts.members.map((one) => one.member.id));
  const sound = facts.members.filter((one) => !isLost(facts, one));
  const countIn = (dataCentre: string) =>
    sound.filter((one) => getCentre(facts, one.member) === dataCentre).length;
  return facts.hosts
    .filter((host) => !taken.has(host.id) && !facts.retired.has(host.id))
    .sort((a, b) =>
      countIn(a.dataCentre) - countIn(b.dataCentre) ||
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
  const byCentre = new Map<string, HostRecord[]>();
  hosts.forEach((host) =>
    byCentre.set(host.dataCentre, [
      ...byCentre.get(host.dataCentre) ?? [],
      host,
    ])
  );
  const rounds = Math.max(
    0,
    ...[...byCentre.values()].map((all) => all.length),
  );
  const inTurns = Array.from(
    { length: rounds },
    (_, round) =>
      [...byCentre.values()].flatMap((all) => all.slice(round, round + 1)),
  ).flat();
  const wanted = Math.min(getRequiredVoters(lostHosts), inTurns.length);
  const odd = wanted % 2 === 1 ? wanted : wanted - 1;
  return inTurns.slice(0, odd);
}
