/** Times and sizes of the agreement between replicas. */

/** Timing of one group; all in milliseconds. */
export interface AgreementTiming {
  readonly heartbeatMs: number;
  /** Shortest silence of a leader before an election. */
  readonly electionTimeoutMs: number;
}

/** Timing used when nothing else is set. */
export const DEFAULT_TIMING: AgreementTiming = {
  heartbeatMs: 100,
  electionTimeoutMs: 600,
};

/** Largest relative difference between the rates of two hosts' clocks. */
export const CLOCK_DRIFT_BOUND = 0.05;

/** Most entries and bytes of one append message. */
export const MAX_APPEND_ENTRIES = 4096;
export const MAX_APPEND_BYTES = 1 << 20;

/** Bytes of one message of a snapshot transfer. */
export const SNAPSHOT_CHUNK_BYTES = 256 * 1024;

/** Election timeouts that a snapshot transfer may take before it is repeated. */
export const SNAPSHOT_RETRY_ELECTION_TIMEOUTS = 20;
