/** Who belongs to a group and what a majority of its voters agrees on. */
import type { Member, Membership } from "../../schema/mod.ts";

/** Members that vote. */
export function getVoters(membership: Membership): Member[] {
  return membership.members.filter((member) => !member.learner);
}

/** Whether `id` votes. */
export function isVoter(membership: Membership, id: string): boolean {
  return getVoters(membership).some((member) => member.id === id);
}

/** Votes that make a majority. */
export function getQuorumSize(membership: Membership): number {
  return Math.floor(getVoters(membership).length / 2) + 1;
}

/** The largest value that a majority of voters has reached. */
export function getQuorumValue(
  membership: Membership,
  getValue: (id: string) => number,
): number {
  const values = getVoters(membership).map((member) => getValue(member.id))
    .sort((a, b) => b - a);
  return values[getQuorumSize(membership) - 1] ?? 0;
}
