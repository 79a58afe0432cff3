/** Times and sizes of the agreement between replicas. */
/** Timing of one group; all in milliseconds. */
export interface AgreementTiming {
    readonly heartbeatMs: number;
    /** Shortest silence of a leader before an election. */
    readonly electionTimeoutMs: number;
}
/** Timing used when nothing else is set. */
export declare const DEFAULT_TIMING: AgreementTiming;
/** Largest relative difference between the rates of two hosts' clocks. */
export declare const CLOCK_DRIFT_BOUND = 0.05;
/** Most entries and bytes of one append message. */
export declare const MAX_APPEND_ENTRIES = 4096;
export declare const MAX_APPEND_BYTES: number;
/** Bytes of one message of a snapshot transfer. */
export declare const SNAPSHOT_PART_BYTES: number;
/** Election timeouts that a snapshot transfer may take before it is repeated. */
export declare const SNAPSHOT_RETRY_TIMEOUTS = 20;
