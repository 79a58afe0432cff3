/**
 * What a leader knows of the other members: how far their logs match and when
 * they were surely in contact. Rounds of messages are numbered, so that a reply
 * proves contact at the time its round was sent, not when it arrived.
 */
/** What is known of one member. */
export interface Progress {
    matchIndex: number;
    nextIndex: number;
    /** When the newest acknowledged round was sent. */
    contactMs: number;
    /** Entries up to here are under way. */
    sentIndex: number;
    sentMs: number;
    snapshotSentMs: number;
}
/** Progress of all other members in one term. */
export declare class FollowerProgress {
    #private;
    /** Number of the newest round. */
    get round(): number;
    tryGet(id: string): Progress | undefined;
    forEach(action: (progress: Progress, id: string) => void): void;
    /** Keeps a row for exactly the given members. */
    sync(ids: readonly string[], first: {
        nextIndex: number;
        contactMs: number;
    }): void;
    startRound(nowMs: number): void;
    /** A member answered a message of a round. */
    noteReply(progress: Progress, round: number): void;
    /** Forgets everything, at the start and the end of a term. */
    clear(): void;
}
