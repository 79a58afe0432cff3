/** Raft membership changes, each of which changes a single member. */
import { create } from "@bufbuild/protobuf";
import {
  type Member,
  type Membership,
  MembershipSchema,
} from "../../schema/mod.ts";
import { getVoters } from "./quorum.ts";

/**
 * A membership change; exactly one field is set: the member to add, or the id
 * of the learner to promote or of the member to remove.
 */
export interface MembershipChange {
  readonly add?: Member;
  readonly promote?: string;
  readonly remove?: string;
}

/** Reason for which a membership change is refused. */
export type MembershipRefusal =
  | "not the leader"
  | "another change is not committed yet"
  | "the leader has committed nothing in its term yet"
  | "the learner has not caught up"
  | "no such member"
  | "the member exists already"
  | "the last voter cannot be removed";

/** State of the replica that a membership change is validated against. */
export interface MembershipChangeContext {
  readonly isLeader: boolean;
  /** Whether an earlier change is not committed yet. */
  readonly isChangePending: boolean;
  /** Whether the leader has committed an entry of its current term. */
  readonly hasCommittedInTerm: boolean;
  readonly commitIndex: number;
  readonly getMatchIndex: (id: string) => number;
}

/** Returns why a change is refused now; undefined if it is valid. */
export function validateChange(
  membership: Membership,
  change: MembershipChange,
  context: MembershipChangeContext,
): MembershipRefusal | undefined {
  const find = (id: string) =>
    membership.members.find((member) => member.id === id);
  if (!context.isLeader) return "not the leader";
  if (context.isChangePending) return "another change is not committed yet";
  if (!context.hasCommittedInTerm) {
    return "the leader has committed nothing in its term yet";
  }
  if (change.add !== undefined) {
    return find(change.add.id) === undefined
      ? undefined
      : "the member exists already";
  }
  const target = find(change.promote ?? change.remove ?? "");
  if (target === undefined) return "no such member";
  if (change.promote !== undefined) {
    return context.getMatchIndex(target.id) >= context.commitIndex
      ? undefined
      : "the learner has not caught up";
  }
  const isLastVoter = !target.learner && getVoters(membership).length === 1;
  return isLastVoter ? "the last voter cannot be removed" : undefined;
}

/** Returns the changed membership; an added member starts as a learner. */
export function applyChange(
  membership: Membership,
  change: MembershipChange,
): Membership {
  const members = membership.members
    .filter((member) => member.id !== change.remove)
    .map((member) =>
      member.id === change.promote ? { ...member, learner: false } : member
    );
  const added = change.add === undefined
    ? []
    : [{ ...change.add, learner: true }];
  return create(MembershipSchema, { members: [...members, ...added] });
}
