/**
 * Records the outcomes of item runs in batches. Results and failures that arrive
 * while a record is in progress go into the next one. An outcome is kept, and
 * its item is not started again here, until the replicated state that this
 * process has applied contains it.
 */
import { create } from "@bufbuild/protobuf";
import {
  type FailedRun,
  FailedRunSchema,
  type FinishedRun,
  FinishedRunSchema,
  type ItemEnd,
  type RecordRuns,
  RecordRunsSchema,
} from "../schema/mod.ts";
import type { QueuedJob } from "../state/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";
import { logRejection } from "../sys/unexpected_errors.ts";

/** Options of a {@linkcode RunRecorder}. */
export interface RunRecorderOptions {
  /** Makes a record durable; rejects if that failed or is unknown. */
  readonly record: (runs: RecordRuns) => Promise<void>;
  /** Whether a failed record may be retried now. */
  readonly canRecord: () => boolean;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** The final outcome of an item, in the form that is recorded. */
export interface ItemOutcome {
  readonly id: string;
  readonly end: ItemEnd;
  readonly text: Uint8Array;
}

/** Time for which outcomes are batched before a record, in milliseconds. */
const BATCH_WINDOW_MS = 15;

/** Delay before a failed record is retried, in milliseconds. */
const RETRY_DELAY_MS = 100;

/**
 * Key of an item, unique across all jobs. Slashes of the job's id are escaped. All
 * builds give the same items to a runner by this key, so other ids stay as they are.
 */
export function getItemKey(job: string, item: string): string {
  return `${job.replaceAll(/[%/]/g, encodeURIComponent)}/${item}`;
}

/** Applied state of a job, as far as outcomes are concerned. */
export type AppliedJob =
  & Pick<QueuedJob, "open" | "failures" | "failedChains">
  & { readonly job: { readonly id: string } };

/** A failure of a backend server that ran an item. */
export interface ItemFailure {
  /** Number of failures of the item that this process knows, this one included. */
  readonly count: number;
  /** Chain of attempts that ended with the failure. */
  readonly chain: bigint;
}

/** An outcome of an item that the applied state lacks. */
interface UnappliedOutcome {
  readonly job: string;
  readonly item: string;
  /** Undefined if the outcome is final. */
  readonly failure: ItemFailure | undefined;
}

/** Batches and records the outcomes of one process. */
export class RunRecorder {
  readonly #options: RunRecorderOptions;
  /** Outcomes that this process has not applied yet, by the key of their item. */
  readonly #unapplied = new Map<string, UnappliedOutcome>();
  #finished: FinishedRun[] = [];
  #failed: FailedRun[] = [];
  #isRecording = false;
  #isClosed = false;

  constructor(options: RunRecorderOptions) {
    this.#options = options;
  }

  /** Whether outcomes wait to be recorded or to be applied. */
  get hasOutcomes(): boolean {
    return this.#unapplied.size > 0 || this.#isRecording ||
      this.#finished.length > 0 || this.#failed.length > 0;
  }

  /** Whether the item with a key has a final outcome here that is not applied yet. */
  hasOutcome(key: string): boolean {
    const outcome = this.#unapplied.get(key);
    return outcome !== undefined && outcome.failure === undefined;
  }

  /**
   * Whether the applied state contains every outcome of an item that this process
   * has seen. Without them the state shows too many attempts as left.
   */
  mayStart(key: string): boolean {
    return !this.#unapplied.has(key);
  }

  /**
   * Drops the outcomes that the applied state contains. While the state does not
   * tell chains apart, it may count another runner's failure instead of this one.
   */
  removeApplied(
    jobs: readonly AppliedJob[],
    options: { identifiesChains: boolean },
  ): void {
    if (this.#unapplied.size === 0) return;
    const jobsById = new Map(jobs.map((queued) => [queued.job.id, queued]));
    this.#unapplied.forEach(({ job, item, failure }, key) => {
      const queued = jobsById.get(job);
      const isOpen = queued?.open.has(item) === true;
      const isApplied = !isOpen || failure !== undefined && (
            queued.failedChains.get(item)?.includes(failure.chain) === true ||
            !options.identifiesChains &&
              (queued.failures.get(item) ?? 0) >= failure.count
          );
      if (isApplied) this.#unapplied.delete(key);
    });
  }

  /** Records the queued outcomes within `limitMs`, and stops recording. */
  async close(limitMs: number): Promise<void> {
    const { clock } = this.#options;
    const endMs = clock.getMonotonicMs() + limitMs;
    while (this.#isRecording && clock.getMonotonicMs() < endMs) {
      await clock.delay(BATCH_WINDOW_MS);
    }
    this.#isClosed = true;
  }

  /** Queues the final outcome of an item. */
  addOutcome(job: string, result: ItemOutcome): void {
    this.#unapplied.set(
      getItemKey(job, result.id),
      { job, item: result.id, failure: undefined },
    );
    this.#finished.push(create(FinishedRunSchema, { job, result }));
    this.#schedule();
  }

  /** Queues a failure of a backend server that ran an item. */
  addFailure(job: string, item: string, failure: ItemFailure): void {
    this.#unapplied.set(getItemKey(job, item), { job, item, failure });
    this.#failed.push(create(FailedRunSchema, { job, item, ...failure }));
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isRecording) return;
    this.#isRecording = true;
    const recorded = this.#options.clock.delay(BATCH_WINDOW_MS)
      .then(() => this.#recordPending())
      .finally(() => {
        this.#isRecording = false;
        const hasPending = this.#finished.length + this.#failed.length > 0;
        if (hasPending && !this.#isClosed) this.#schedule();
      });
    logRejection(recorded, this.#options.log, "record of runs");
  }

  async #recordPending(): Promise<void> {
    const { record, canRecord, clock, log, metrics } = this.#options;
    const startMs = clock.getMonotonicMs();
    const getElapsedMs = () => clock.getMonotonicMs() - startMs;
    const finished = this.#finished.filter(({ job, result }) =>
      this.hasOutcome(getItemKey(job, result?.id ?? ""))
    );
    const failed = this.#failed.filter(({ job, item, chain }) =>
      this.#unapplied.get(getItemKey(job, item))?.failure?.chain === chain
    );
    this.#finished = [];
    this.#failed = [];
    if (finished.length + failed.length === 0) return;
    try {
      await record(create(RecordRunsSchema, { finished, failed }));
      metrics.time(MetricName.recordMs, getElapsedMs());
      log.info("runs_recorded", {
        finished: finished.length,
        failed: failed.length,
        took_ms: Math.round(getElapsedMs()),
      });
      return;
    } catch (error) {
      log.warn("results_not_recorded", {
        finished: finished.length,
        failed: failed.length,
        took_ms: Math.round(getElapsedMs()),
        can_record: canRecord(),
        reason: getReason(error),
      });
    }
    // If the record was committed despite the error, the repetition is ignored.
    this.#finished.unshift(...finished);
    this.#failed.unshift(...failed);
    await clock.delay(RETRY_DELAY_MS);
    while (!canRecord() && !this.#isClosed) await clock.delay(RETRY_DELAY_MS);
  }
}
