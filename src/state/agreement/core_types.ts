/** Roles of a replica and outputs of its consensus core. */
import type { LogEntry, LogRecord, ReplicaMessage } from "../../schema/mod.ts";

/** Raft roles; a pre-candidate requests pre-votes before it raises its term. */
export const Role = {
  follower: "follower",
  preCandidate: "pre-candidate",
  candidate: "candidate",
  leader: "leader",
} as const;

/** One of the roles of {@linkcode Role}. */
export type Role = typeof Role[keyof typeof Role];

/** Records to persist, and the messages that may only be sent afterwards. */
export interface DurableOutput {
  /** Records to persist with one sync. */
  readonly records: LogRecord[];
  /** Log index up to which the log is durable once the records are. */
  readonly durableIndex: number;
  /** Messages to send once the records are durable. */
  readonly messagesAfterSync: ReplicaMessage[];
}

/** Output that depends on no pending write and must not wait for the disk. */
export interface ImmediateOutput {
  readonly messages: ReplicaMessage[];
  /** Messages of a leader that a member accepts before entries sent earlier. */
  readonly heartbeats: ReplicaMessage[];
  /** Newly committed entries to apply, in order. */
  readonly committed: LogEntry[];
  /** Members that need a snapshot, since the log lacks their next entry. */
  readonly snapshotRecipients: string[];
}

/** Log position of a proposed entry. */
export interface ProposedEntry {
  readonly index: number;
  readonly term: number;
}
