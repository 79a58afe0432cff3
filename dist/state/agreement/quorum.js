/** Who belongs to a group and what a majority of its voters agrees on. */
import { create } from "@bufbuild/protobuf";
import { MembershipSchema, } from "../../schema/mod.js";
/** Members that vote. */
export function getVoters(membership) {
    return membership.members.filter((member) => !member.learner);
}
/** Whether `id` votes. */
export function isVoter(membership, id) {
    return getVoters(membership).some((member) => member.id === id);
}
/** Votes that make a majority. */
export function getQuorumSize(membership) {
    return Math.floor(getVoters(membership).length / 2) + 1;
}
/** The largest value that a majority of voters has reached. */
export function getQuorumValue(membership, getValue) {
    const values = getVoters(membership).map((member) => getValue(member.id))
        .sort((a, b) => b - a);
    return values[getQuorumSize(membership) - 1] ?? 0;
}
/** A membership of voters that need no address, for embedding. */
export function createMembership(ids) {
    return create(MembershipSchema, { members: ids.map((id) => ({ id })) });
}
//# sourceMappingURL=quorum.js.map