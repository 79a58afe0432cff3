/** What the agreement's core says and hands out. */
import type { LogEntry, LogRecord, ReplicaMessage } from "../../schema/mod.ts";

/** Roles of a replica. */
export const Role = {
  follower: "follower",
  preCandidate: "pre-candidate",
  candidate: "candidate",
  leader: "leader",
} as const;

/** Role of a replica. */
export type Role = typeof Role[keyof typeof Role];

/** What has to become durable before something else may be sent. */
export interface DurableOutput {
  /** Records to make durable together. */
  readonly records: LogRecord[];
  /** Last log index that the records make durable. */
  readonly durableIndex: number;
  /** Messages to send once the records are durable. */
  readonly messagesAfterSync: ReplicaMessage[];
}

/** What depends on nothing durable and must not wait for the disk. */
export interface ImmediateOutput {
  readonly messages: ReplicaMessage[];
  /** Entries to apply, in order. */
  readonly committed: LogEntry[];
  /** Members that need the snapshot. */
  readonly snapshotRecipients: string[];
}

/** Where a proposed entry stands in the log. */
export interface ProposedEntry {
  readonly index: number;
  readonly term: number;
}
