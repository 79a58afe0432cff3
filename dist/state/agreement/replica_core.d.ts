import { type HardState, type LogEntry, type Membership, type ReplicaMessage, type SnapshotMark } from "../../schema/mod.ts";
import type { Random } from "../../sys/random.ts";
import { type RecoveredState } from "../log/replica_store.ts";
import { type AgreementTiming } from "./timing.ts";
import { type DurableOutput, type PromptOutput, type ProposedEntry, Role } from "./core_types.ts";
import { type MembershipChange, type MembershipRefusal } from "./membership_change.ts";
/** How a {@linkcode ReplicaCore} is made. */
export interface ReplicaCoreOptions {
    readonly id: string;
    readonly group: number;
    readonly recovered: RecoveredState;
    /** Members of the group before its first membership entry. */
    readonly firstMembership: Membership;
    readonly random: Random;
    readonly nowMs: number;
    readonly timing?: AgreementTiming;
}
/** One replica's part of the agreement. */
export declare class ReplicaCore {
    #private;
    constructor(options: ReplicaCoreOptions);
    get role(): Role;
    get term(): number;
    /** The leader this replica knows of; empty when it knows none. */
    get leader(): string;
    get commitIndex(): number;
    get lastIndex(): number;
    get membership(): Membership;
    get hardState(): HardState;
    /** Index of the newest membership entry; zero for the first membership. */
    get membershipIndex(): number;
    /** Last index that `id` is known to hold; the leader's knowledge only. */
    getMatchIndex(id: string): number;
    /**
     * Whether this replica may answer reads from its own state: it leads, its
     * lease holds by the drift bound, and it has committed in its term.
     */
    holdsLease(nowMs: number): boolean;
    /** Milliseconds left of the lease; zero or less when it is not held. */
    getLeaseLeftMs(nowMs: number): number;
    /** Moves time forward. */
    tick(nowMs: number): void;
    /** Appends a command; undefined when this replica does not lead. */
    tryPropose(command: Uint8Array, wallMs: number): ProposedEntry | undefined;
    /** Adds a learner, promotes a learner to voter or removes a member. */
    changeMembership(change: MembershipChange, wallMs: number): MembershipRefusal | undefined;
    /** Starts handing leadership to the voter that is furthest along. */
    transferLeadership(): boolean;
    /** Takes a message from another replica. */
    receive(message: ReplicaMessage, nowMs: number): void;
    /** Whether a snapshot at `mark` would bring this replica forward. */
    needsSnapshot(mark: SnapshotMark): boolean;
    /** Tells the leader that the log reaches the snapshot without it. */
    vouchForSnapshot(mark: SnapshotMark, from: string, round: bigint): void;
    /** One part of a snapshot as a message to `to`. */
    createSnapshotMessage(to: string, part: {
        mark: SnapshotMark;
        state: Uint8Array;
        offset: number;
        last: boolean;
    }): ReplicaMessage;
    /** Takes over a snapshot from the leader that the owner has made durable. */
    installSnapshot(mark: SnapshotMark, from: string, round: bigint, nowMs: number): void;
    /** The owner stored a snapshot at `index`; entries up to it are dropped. */
    compactTo(index: number): void;
    /** Mark of a snapshot of everything applied up to `index`. */
    createMarkAt(index: number): SnapshotMark;
    /** Entries after `index`. */
    getEntriesAfter(index: number): LogEntry[];
    /** What must not wait for the disk; undefined when there is nothing. */
    tryTakePrompt(): PromptOutput | undefined;
    /** What the disk has to do next; undefined when there is nothing. */
    tryTakeDurable(): DurableOutput | undefined;
    /** The records of an output are durable up to `index`. */
    confirmDurable(index: number): void;
}
