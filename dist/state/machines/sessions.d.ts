import { type ItemRef, type OpenSession, type Session } from "../../schema/mod.ts";
/** Open sessions by epoch. */
export declare class Sessions {
    #private;
    get nextEpoch(): number;
    /** All open sessions. */
    getAll(): Session[];
    isOpen(epoch: number): boolean;
    /** The session that this start of an entry has already, if any. */
    tryFind(open: OpenSession): Session | undefined;
    /** Sessions of earlier starts of an entry. */
    getOlder(open: OpenSession): Session[];
    /** Opens a session under the next epoch. */
    open(open: OpenSession): number;
    /** What the session's newest claim got, when it is the claim `sequence`. */
    tryGetClaimed(epoch: number, sequence: bigint): ItemRef[] | undefined;
    /** Records what a claim got. */
    recordClaim(epoch: number, sequence: bigint, claimed: ItemRef[]): void;
    /** Ends a session; false when it was not open. */
    end(epoch: number): boolean;
    restore(sessions: readonly Session[], nextEpoch: number): void;
}
