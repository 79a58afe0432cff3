/** Timing and message sizes of the Raft protocol. */

/** Timing of one group, in milliseconds. */
export interface AgreementTiming {
  readonly heartbeatMs: number;
  /** Minimum time without messages from a leader before an election. */
  readonly electionTimeoutMs: number;
}

/** Default timing of a group. */
export const DEFAULT_TIMING: AgreementTiming = {
  heartbeatMs: 100,
  electionTimeoutMs: 600,
};

/**
 * Assumed maximum drift between the clocks of two hosts, as a fraction of the
 * elapsed time; leases are shortened by it.
 */
export const CLOCK_DRIFT_BOUND = 0.05;

/** Maximum number of entries per append request. */
export const MAX_APPEND_ENTRIES = 4096;

/** Approximate maximum bytes of entries per append request. */
export const MAX_APPEND_BYTES = 1 << 20;

/** Bytes of snapshot data per message of a transfer. */
export const SNAPSHOT_CHUNK_BYTES = 256 * 1024;

/** Time after which a snapshot is sent again, in election timeouts. */
export const SNAPSHOT_RETRY_ELECTION_TIMEOUTS = 20;
