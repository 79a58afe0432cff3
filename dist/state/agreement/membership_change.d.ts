import { type Member, type Membership } from "../../schema/mod.ts";
/** One of: a learner to add, a learner to promote, a member to remove. */
export interface MembershipChange {
    readonly add?: Member;
    readonly promote?: string;
    readonly remove?: string;
}
/** Why a membership change is refused; undefined when it is taken. */
export type MembershipRefusal = "not the leader" | "another change is not committed yet" | "the leader has committed nothing in its term yet" | "the learner has not caught up" | "no such member" | "the member exists already" | "the last voter cannot be removed";
/** What the leader knows when it judges a change. */
export interface ChangeFacts {
    readonly isLeader: boolean;
    /** An earlier change is not committed yet. */
    readonly isChanging: boolean;
    /** The leader has committed an entry of its own term. */
    readonly isSettled: boolean;
    readonly commitIndex: number;
    readonly getMatchIndex: (id: string) => number;
}
/** Why a change can't be made now; undefined when it can. */
export declare function tryRefuseChange(membership: Membership, change: MembershipChange, facts: ChangeFacts): MembershipRefusal | undefined;
/** The membership after a change; an added member starts as a learner. */
export declare function applyChange(membership: Membership, change: MembershipChange): Membership;
