/**
 * Keeps the partial output of unfinished items between their attempts, and
 * extracts what is not recorded yet, so that another process can resume the
 * items from the recorded output.
 */
import { create } from "@bufbuild/protobuf";
import {
  type JobItem,
  type RunProgress,
  RunProgressSchema,
} from "../schema/mod.ts";
import { joinProgressParts, type QueuedJob } from "../state/mod.ts";
import { ItemProgress } from "./item_attempt.ts";
import { getItemKey } from "./run_recorder.ts";

/** Partial output of the items that one process has run. */
export class ProgressTracker {
  readonly #progressByKey = new Map<string, ItemProgress>();

  tryGet(key: string): ItemProgress | undefined {
    return this.#progressByKey.get(key);
  }

  /** Returns an item's progress, restored from recorded output on first use. */
  getOrCreate(queued: QueuedJob, item: JobItem): ItemProgress {
    const key = getItemKey(queued.job.id, item.id);
    const progress = this.#progressByKey.get(key) ??
      restoreProgress(queued, item);
    this.#progressByKey.set(key, progress);
    return progress;
  }

  /** Drops the progress of all items except the given ones. */
  retainOnly(open: ReadonlySet<string>): void {
    [...this.#progressByKey.keys()].filter((key) => !open.has(key))
      .forEach((key) => this.#progressByKey.delete(key));
  }

  /** Returns the output since the last call of items without an outcome. */
  takeUnrecorded(
    jobs: readonly QueuedJob[],
    hasOutcome: (job: string, item: string) => boolean,
  ): RunProgress[] {
    return jobs.flatMap(({ job, open }) =>
      [...open.keys()].filter((item) => !hasOutcome(job.id, item))
        .flatMap((item) => {
          const part = this.#progressByKey.get(getItemKey(job.id, item))
            ?.tryTakeUnrecorded();
          return part === undefined ? [] : [create(RunProgressSchema, {
            job: job.id,
            item,
            after: BigInt(part.after),
            last: BigInt(part.last),
            text: Buffer.from(part.text, "utf8"),
          })];
        })
    );
  }
}

function restoreProgress(queued: QueuedJob, item: JobItem): ItemProgress {
  const recorded = queued.progress.get(item.id);
  if (recorded === undefined) return new ItemProgress();
  const text = Buffer.from(joinProgressParts(recorded.parts)).toString("utf8");
  return new ItemProgress({ last: recorded.last, text });
}
