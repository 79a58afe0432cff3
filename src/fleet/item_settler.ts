/** What follows from the end of an item's attempt: a result, or another one. */
import { ItemEnd, type JobItem } from "../schema/mod.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import { createDeadLetter, type QueuedJob } from "../state/mod.ts";
import { MetricName } from "../sys/metrics.ts";
import type { ItemEnding } from "./item_attempt.ts";
import type { ItemQueue } from "./item_queue.ts";
import type { ProgressBook } from "./progress_book.ts";
import {
  type EndedItem,
  getItemKey,
  type RunRecorder,
} from "./run_recorder.ts";
import type { ServerPool } from "./server_pool.ts";

/** What an {@linkcode ItemSettler} works on. */
export interface ItemSettlerOptions {
  readonly recorder: RunRecorder;
  readonly progress: ProgressBook;
  readonly queue: ItemQueue;
  readonly pool: ServerPool;
  readonly context: ProcessContext;
}

/** Settles the attempts of one process. */
export class ItemSettler {
  readonly #options: ItemSettlerOptions;

  constructor(options: ItemSettlerOptions) {
    this.#options = options;
  }

  /** An attempt has ended. */
  settle(
    queued: QueuedJob,
    item: JobItem,
    ending: ItemEnding,
    server: string,
  ): void {
    const { progress, recorder, pool, queue, context } = this.#options;
    const key = getItemKey(queued.job.id, item.id);
    switch (ending.kind) {
      case "done": {
        const text = Buffer.from(progress.tryGet(key)?.text ?? "", "utf8");
        const result = { id: item.id, end: ItemEnd.DONE, text };
        this.#finish(queued, result, "done");
        return;
      }
      case "impossible":
        this.giveUp(queued, item, ending.reason);
        return;
      case "stopped":
        return;
      case "failed": {
        const known = queued.failures.get(item.id) ?? 0;
        progress.tryGet(key)?.reset();
        recorder.fail(queued.job.id, item.id, known + 1);
        break;
      }
      case "broken":
        pool.recordFailure(server);
        break;
      case "notRun":
        break;
    }
    queue.pause(key, context.clock.getMonotonicMs());
    context.log.info("item_attempt_ended", {
      job: queued.job.id,
      item: item.id,
      server,
      ending: ending.kind,
      reason: ending.reason,
      event: progress.tryGet(key)?.last ?? -1,
    });
  }

  /** An item becomes a dead letter. */
  giveUp(queued: QueuedJob, item: JobItem, reason: string): void {
    this.#finish(queued, createDeadLetter(item.id), reason);
  }

  #finish(queued: QueuedJob, result: EndedItem, reason: string): void {
    const { recorder, context } = this.#options;
    context.metrics.count(MetricName.batchItems);
    if (result.end !== ItemEnd.DONE) {
      context.log.info("item_given_up", {
        job: queued.job.id,
        item: result.id,
        reason,
      });
    }
    recorder.finish(queued.job.id, result);
  }
}
