/**
 * Bounds the memory that jobs take on store hosts. A job is refused at once, before
 * it is in the log, if the jobs that are kept and those that wait to be committed
 * leave too little. The latter count more narrowly: while commits stall, as with a
 * slow disk, each of them is held several times.
 */

/** Options of a {@linkcode JobMemory}. */
export interface JobMemoryOptions {
  /** Memory of the process, in bytes. */
  readonly processBytes: number;
  /** Returns the memory of the jobs that are kept, in bytes. */
  readonly getRetainedBytes: () => number;
}

const BYTES_PER_MB = 1 << 20;

/**
 * Memory of a store process without jobs, in bytes: program, heap and the log under
 * load (docs/CAPACITY.md).
 */
const BASE_BYTES = 130 * BYTES_PER_MB;

/** Share of the rest that jobs may take; the allocator wastes some of it. */
const JOB_SHARE = 0.4;

/** Smallest bound for jobs, in bytes, so that a small host takes some. */
const MIN_JOB_BYTES = 8 * BYTES_PER_MB;

/** Share of the memory for jobs that uncommitted ones may take. */
const UNCOMMITTED_SHARE = 0.25;

/** Accounts for the jobs of one store host. */
export class JobMemory {
  readonly #getRetainedBytes: () => number;
  #uncommittedBytes = 0;
  /** Bound for all jobs, in bytes. */
  readonly limitBytes: number;

  constructor({ processBytes, getRetainedBytes }: JobMemoryOptions) {
    this.#getRetainedBytes = getRetainedBytes;
    this.limitBytes = Math.max(
      MIN_JOB_BYTES,
      (processBytes - BASE_BYTES) * JOB_SHARE,
    );
  }

  /** Memory of the jobs that wait to be committed, in bytes. */
  get uncommittedBytes(): number {
    return this.#uncommittedBytes;
  }

  /**
   * Whether a job may be proposed. `loggedBytes` are those in the log that are not
   * committed: after a change of leaders these may be jobs that nobody waits for any
   * more.
   */
  hasRoom(bytes: number, loggedBytes: number): boolean {
    const limit = this.limitBytes * UNCOMMITTED_SHARE;
    const waiting = Math.max(this.#uncommittedBytes, loggedBytes);
    const isAlone = this.#uncommittedBytes === 0 && loggedBytes <= limit;
    return (isAlone || waiting + bytes <= limit) &&
      this.#getRetainedBytes() + waiting + bytes <= this.limitBytes;
  }

  /** Counts a job as uncommitted until `outcome` is settled. */
  track(bytes: number, outcome: Promise<unknown>): void {
    this.#uncommittedBytes += bytes;
    const release = () => {
      this.#uncommittedBytes -= bytes;
    };
    outcome.then(release, release);
  }
}
