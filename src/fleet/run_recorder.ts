/**
 * Records how runs of items ended, many at once: results and failures are
 * gathered while an earlier record is under way.
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

/** How a {@linkcode RunRecorder} is made. */
export interface RunRecorderOptions {
  /** Makes records durable; rejects when that failed or isn't known. */
  readonly record: (runs: RecordRuns) => Promise<void>;
  /** Whether this process may still record. */
  readonly canRecord: () => boolean;
  readonly clock: Clock;
  readonly log: Log;
}

/** A result as it is recorded. */
export interface ItemOutcome {
  readonly id: string;
  readonly end: ItemEnd;
  readonly text: Uint8Array;
}

/** Longest time that results wait to be recorded together. */
const BATCH_WINDOW_MS = 15;

/** Pause before results that could not be recorded are offered again. */
const RETRY_DELAY_MS = 100;

/** Name of an item among all jobs. */
export function getItemKey(job: string, item: string): string {
  return `${job}/${item}`;
}

/** Records of one process. */
export class RunRecorder {
  readonly #options: RunRecorderOptions;
  /** Items whose results this process may not have seen recorded yet. */
  readonly #unconfirmedKeys = new Set<string>();
  #finished: FinishedRun[] = [];
  #failed: FailedRun[] = [];
  #isRecording = false;

  constructor(options: RunRecorderOptions) {
    this.#options = options;
  }

  /** Whether an item has ended here, so that it must not start again. */
  hasOutcome(job: string, item: string): boolean {
    return this.#unconfirmedKeys.has(getItemKey(job, item));
  }

  /** Forgets items that are open no more: their records have arrived. */
  retainOnly(open: ReadonlySet<string>): void {
    [...this.#unconfirmedKeys].filter((key) => !open.has(key))
      .forEach((key) => this.#unconfirmedKeys.delete(key));
  }

  /** An item has its result. */
  addOutcome(job: string, result: ItemOutcome): void {
    this.#unconfirmedKeys.add(getItemKey(job, result.id));
    this.#finished.push(create(FinishedRunSchema, { job, result }));
    this.#schedule();
  }

  /** A backend server ran an item and failed, as the `count`th time. */
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
    const { record, canRecord: canRecord, clock, log } = this.#options;
    const finished = this.#finished;
    const failed = this.#failed;
    this.#finished = [];
    this.#failed = [];
    try {
      await record(create(RecordRunsSchema, { finished, failed }));
      return;
    } catch (error) {
      log.warn("results_not_recorded", {
        finished: finished.length,
        failed: failed.length,
        reason: getReason(error),
      });
      await clock.delay(RETRY_DELAY_MS);
    }
    // What was recorded after all is dropped the second time.
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
