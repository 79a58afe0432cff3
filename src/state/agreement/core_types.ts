/** Roles and outputs of a replica's consensus core. */
import type { LogEntry, LogRecord, ReplicaMessage } from "../../schema/mod.ts";

/** Raft roles; a pre-candidate polls voters before it raises its term. */
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
  /** Last log index that is durable once the records are. */
  readonly durableIndex: number;
  /** Messages to send once the records are durable. */
  readonly messagesAfterSync: ReplicaMessage[];
}

/** Output that depends on no pending write and must not wait for the disk. */
export interface ImmediateOutput {
  readonly messages: ReplicaMessage[];
  /** Newly committed entries to apply, in order. */
  readonly committed: LogEntry[];
  /** Members to send the snapshot to, as the log lacks their next entry. */
  readonly snapshotRecipients: string[];
}

/** Log position of a proposed entry. */
export interface ProposedEntry {
  readonly index: number;
  readonly term: number;
}
