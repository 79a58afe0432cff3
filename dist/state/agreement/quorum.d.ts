import { type Member, type Membership } from "../../schema/mod.ts";
/** Members that vote. */
export declare function getVoters(membership: Membership): Member[];
/** Whether `id` votes. */
export declare function isVoter(membership: Membership, id: string): boolean;
/** Votes that make a majority. */
export declare function getQuorumSize(membership: Membership): number;
/** The largest value that a majority of voters has reached. */
export declare function getQuorumValue(membership: Membership, getValue: (id: string) => number): number;
/** A membership of voters that need no address, for embedding. */
export declare function createMembership(ids: readonly string[]): Membership;
