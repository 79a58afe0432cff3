/** Timing and message sizes of the consensus protocol. */

/** Timing of one group, in milliseconds. */
export interface AgreementTiming {
  readonly heartbeatMs: number;
  /** Minimum time without contact from a leader before an election. */
  readonly electionTimeoutMs: number;
}

/** Timing of a group that sets none. */
export const DEFAULT_TIMING: AgreementTiming = {
  heartbeatMs: 100,
  electionTimeoutMs: 600,
};

/** Assumed maximum relative drift between the clocks of two hosts. */
export const CLOCK_DRIFT_BOUND = 0.05;

/** Maximum number and approximate bytes of entries per append request. */
export const MAX_APPEND_ENTRIES = 4096;
export const MAX_APPEND_BYTES = 1 << 20;

/** Bytes of snapshot data per message of a transfer. */
export const SNAPSHOT_CHUNK_BYTES = 256 * 1024;

/** Election timeouts after which a snapshot is sent again. */
export const SNAPSHOT_RETRY_ELECTION_TIMEOUTS = 20;
