/** Handles the outcome of an attempt: records a result or allows a retry. */
import { ItemEnd, type JobItem } from "../schema/mod.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import { createDeadLetterResult, type QueuedJob } from "../state/mod.ts";
import { MetricName } from "../sys/metrics.ts";
import type { AttemptOutcome } from "./item_attempt.ts";
import type { ItemProgress } from "./item_progress.ts";
import type { ItemQueue } from "./item_queue.ts";
import {
  getItemKey,
  type ItemOutcome,
  type RunRecorder,
} from "./run_recorder.ts";
import type { ServerPool } from "./server_pool.ts";

/** Options of an {@linkcode AttemptOutcomeHandler}. */
export interface AttemptOutcomeHandlerOptions {
  readonly recorder: Pick<RunRecorder, "addOutcome" | "addFailure">;
  readonly queue: Pick<ItemQueue, "delayRetry">;
  readonly pool: Pick<ServerPool, "recordFailure">;
  readonly context: ProcessContext;
}

/** An attempt that has ended. */
export interface EndedAttempt {
  readonly queued: QueuedJob;
  readonly item: JobItem;
  readonly outcome: AttemptOutcome;
  readonly server: string;
  /**
   * Output of the item, the attempt's own included. The runner may have dropped
   * it meanwhile, or begun another.
   */
  readonly progress: ItemProgress;
}

/** Handles the outcomes of the attempts that one process makes. */
export class AttemptOutcomeHandler {
  readonly #options: AttemptOutcomeHandlerOptions;

  constructor(options: AttemptOutcomeHandlerOptions) {
    this.#options = options;
  }

  /** Records a final result, or delays the retry of an unfinished item. */
  handle({ queued, item, outcome, server, progress }: EndedAttempt): void {
    const { recorder, pool, queue, context } = this.#options;
    const key = getItemKey(queued.job.id, item.id);
    switch (outcome.kind) {
      case "done": {
        const text = Buffer.from(progress.text, "utf8");
        const result = { id: item.id, end: ItemEnd.DONE, text };
        this.#recordResult(queued, result, "done");
        return;
      }
      case "invalid":
        this.moveToDeadLetters(queued, item, outcome.reason);
        return;
      case "stopped":
        return;
      case "failed": {
        const count = (queued.failures.get(item.id) ?? 0) + 1;
        const { chain } = progress;
        progress.reset();
        context.metrics.count(MetricName.itemFailures);
        recorder.addFailure(queued.job.id, item.id, { count, chain });
        break;
      }
      case "broken":
        pool.recordFailure(server);
        break;
      case "unconfirmed":
      case "notRun":
        break;
    }
    queue.delayRetry(key, context.clock.getMonotonicMs());
    context.log.info("item_attempt_ended", {
      job: queued.job.id,
      item: item.id,
      server,
      ending: outcome.kind,
      reason: outcome.reason,
      failures: queued.failures.get(item.id) ?? 0,
      event: progress.last ?? -1,
    });
  }

  /** Ends an item as a dead letter. */
  moveToDeadLetters(queued: QueuedJob, item: JobItem, reason: string): void {
    this.#recordResult(queued, createDeadLetterResult(item.id), reason);
  }

  #recordResult(queued: QueuedJob, result: ItemOutcome, reason: string): void {
    const { recorder, context } = this.#options;
    context.metrics.count(MetricName.batchItems);
    if (result.end !== ItemEnd.DONE) {
      context.log.info("item_given_up", {
        job: queued.job.id,
        item: result.id,
        reason,
      });
    }
    recorder.addOutcome(queued.job.id, result);
  }
}
