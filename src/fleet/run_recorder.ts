/**
 * Records the outcomes of item runs in batches. Results and failures that arrive
 * while a record is in progress go into the next one.
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
import type { Clock } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";

/** Options of a {@linkcode RunRecorder}. */
export interface RunRecorderOptions {
  /** Makes a record durable; rejects if that failed or is unknown. */
  readonly record: (runs: RecordRuns) => Promise<void>;
  /** Whether this process may still record. */
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

/** Delay after a record has failed, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Key of an item, unique across all jobs. */
export function getItemKey(job: string, item: string): string {
  return `${job}/${item}`;
}

/** Batches and records the outcomes of one process. */
export class RunRecorder {
  readonly #options: RunRecorderOptions;
  /** Items with an outcome that this process may not have applied yet. */
  readonly #unconfirmedKeys = new Set<string>();
  #finished: FinishedRun[] = [];
  #failed: FailedRun[] = [];
  #isRecording = false;

  constructor(options: RunRecorderOptions) {
    this.#options = options;
  }

  /** Whether an item has an outcome here and must not start again. */
  hasOutcome(job: string, item: string): boolean {
    return this.#unconfirmedKeys.has(getItemKey(job, item));
  }

  /** Drops items that are no longer open, because their records were applied. */
  retainOnly(open: ReadonlySet<string>): void {
    [...this.#unconfirmedKeys].filter((key) => !open.has(key))
      .forEach((key) => this.#unconfirmedKeys.delete(key));
  }

  /** Queues the final outcome of an item. */
  addOutcome(job: string, result: ItemOutcome): void {
    this.#unconfirmedKeys.add(getItemKey(job, result.id));
    this.#finished.push(create(FinishedRunSchema, { job, result }));
    this.#schedule();
  }

  /** Queues the `count`th failure of a backend server that ran an item. */
  addFailure(job: string, item: string, count: number): void {
    this.#failed.push(create(FailedRunSchema, { job, item, count }));
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isRecording) return;
    this.#isRecording = true;
    this.#options.clock.delay(BATCH_WINDOW_MS)
      .then(() => this.#recordPending())
      .finally(() => {
        this.#isRecording = false;
        if (this.#finished.length + this.#failed.length > 0) this.#schedule();
      });
  }

  async #recordPending(): Promise<void> {
    const { record, canRecord, clock, log, metrics } = this.#options;
    const startMs = clock.getMonotonicMs();
    const getElapsedMs = () => clock.getMonotonicMs() - startMs;
    const finished = this.#finished;
    const failed = this.#failed;
    this.#finished = [];
    this.#failed = [];
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
      await clock.delay(RETRY_DELAY_MS);
    }
    // If the record was committed despite the error, the repetition is ignored.
    if (canRecord()) {
      this.#finished.unshift(...finished);
      this.#failed.unshift(...failed);
      return;
    }
    finished.forEach(({ job, result }) =>
      this.#unconfirmedKeys.delete(getItemKey(job, result?.id ?? ""))
    );
  }
}
