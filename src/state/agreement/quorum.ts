/** Voters and quorums of a group's membership. */
import { create } from "@bufbuild/protobuf";
import {
  type Member,
  type Membership,
  MembershipSchema,
} from "../../schema/mod.ts";

/** Returns the members that vote: all but the learners. */
export function getVoters(membership: Membership): Member[] {
  return membership.members.filter((member) => !member.learner);
}

/** Whether `id` is a voting member. */
export function isVoter(membership: Membership, id: string): boolean {
  return getVoters(membership).some((member) => member.id === id);
}

/** Number of votes that form a majority. */
export function getQuorumSize(membership: Membership): number {
  return Math.floor(getVoters(membership).length / 2) + 1;
}

/** Returns the largest value that a majority of the voters has reached. */
export function getQuorumValue(
  membership: Membership,
  getValue: (id: string) => number,
): number {
  const values = getVoters(membership).map((member) => getValue(member.id))
    .sort((a, b) => b - a);
  return values[getQuorumSize(membership) - 1] ?? 0;
}

/**
 * Creates a membership of voters without addresses, for programs that embed a
 * replica and provide their own transport.
 */
export function createMembership(ids: readonly string[]): Membership {
  return create(MembershipSchema, { members: ids.map((id) => ({ id })) });
}
