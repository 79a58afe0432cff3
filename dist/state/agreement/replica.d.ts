import { type Membership, type ReplicaMessage } from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import type { Folder } from "../../sys/files.ts";
import type { Random } from "../../sys/random.ts";
import type { Log } from "../../sys/log.ts";
import { type Metrics } from "../../sys/metrics.ts";
import type { StateMachine } from "../machines/state_machine.ts";
import { Role } from "./core_types.ts";
import type { MembershipChange } from "./membership_change.ts";
import { type AgreementTiming } from "./timing.ts";
/** Carries messages to other replicas; it may lose, delay and reorder them. */
export declare abstract class ReplicaTransport {
    abstract send(message: ReplicaMessage): void;
}
/** How a {@linkcode Replica} is made. */
export interface ReplicaOptions {
    readonly id: string;
    readonly group: number;
    readonly folder: Folder;
    readonly machine: StateMachine;
    readonly transport: ReplicaTransport;
    readonly firstMembership: Membership;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly timing?: AgreementTiming;
    /** Bytes of log after which a snapshot is taken. */
    readonly snapshotBytes?: number;
    /** Called once when the replica can't go on; it has stopped by then. */
    readonly onFailure: (error: unknown) => void;
    /** Called after entries were applied. */
    readonly onApplied?: () => void;
}
/** What a dump shows of a replica. */
export interface ReplicaDump {
    readonly group: number;
    readonly role: Role;
    readonly term: number;
    readonly leader: string;
    readonly commitIndex: number;
    readonly lastIndex: number;
    readonly appliedIndex: number;
    readonly segmentBytes: number;
    readonly members: {
        id: string;
        learner: boolean;
        matchIndex: number;
    }[];
}
/** A running replica. */
export declare class Replica {
    #private;
    recoveredBytes: number;
    constructor(options: ReplicaOptions);
    /** Recovers the durable state and starts taking part. */
    start(): Promise<void>;
    /** Stops taking part; what was acknowledged is durable already. */
    stop(): Promise<void>;
    get isLeader(): boolean;
    /** The leader this replica knows of; empty when it knows none. */
    get leader(): string;
    get membership(): Membership;
    get term(): number;
    /** Whether the own state is current enough to answer reads. */
    canRead(): boolean;
    /** Milliseconds left of the leader's lease; zero when it is not held. */
    getLeaseLeftMs(): number;
    /** Takes a message from another replica. */
    receive(message: ReplicaMessage): void;
    /**
     * Replicates a command and returns the state machine's reply.
     *
     * Throws NOT_LEADER (not run) when this replica does not lead, and
     * MAY_HAVE_COMMITTED when leadership was lost before the command's fate was
     * known.
     */
    propose(command: Uint8Array): Promise<Uint8Array>;
    /**
     * Changes the membership and resolves once the change is committed. Throws
     * MEMBERSHIP_REFUSED (not run) when it can't be made now.
     */
    changeMembership(change: MembershipChange): Promise<void>;
    /** Hands leadership to another voter; resolves when it is gone. */
    transferLeadership(): Promise<void>;
    getDump(): ReplicaDump;
}
