/** Changes of a group's members, one at a time. */
import { create } from "@bufbuild/protobuf";
import { MembershipSchema, } from "../../schema/mod.js";
import { getVoters } from "./quorum.js";
/** Why a change can't be made now; undefined when it can. */
export function tryRefuseChange(membership, change, facts) {
    const find = (id) => membership.members.find((member) => member.id === id);
    if (!facts.isLeader)
        return "not the leader";
    if (facts.isChanging)
        return "another change is not committed yet";
    if (!facts.isSettled) {
        return "the leader has committed nothing in its term yet";
    }
    if (change.add !== undefined) {
        return find(change.add.id) === undefined
            ? undefined
            : "the member exists already";
    }
    const target = find(change.promote ?? change.remove ?? "");
    if (target === undefined)
        return "no such member";
    if (change.promote !== undefined) {
        return facts.getMatchIndex(target.id) >= facts.commitIndex
            ? undefined
            : "the learner has not caught up";
    }
    const isLast = !target.learner && getVoters(membership).length === 1;
    return isLast ? "the last voter cannot be removed" : undefined;
}
/** The membership after a change; an added member starts as a learner. */
export function applyChange(membership, change) {
    const members = membership.members
        .filter((member) => member.id !== change.remove)
        .map((member) => member.id === change.promote ? { ...member, learner: false } : member);
    const added = change.add === undefined
        ? []
        : [{ ...change.add, learner: true }];
    return create(MembershipSchema, { members: [...members, ...added] });
}
//# sourceMappingURL=membership_change.js.map