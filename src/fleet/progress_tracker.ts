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
import type { QueuedJob } from "../state/mod.ts";
import type { Log } from "../sys/log.ts";
import type { Random } from "../sys/random.ts";
import { ItemProgress } from "./item_progress.ts";
import { getItemKey } from "./run_recorder.ts";

/** Partial output of the items that one process has run. */
export class ProgressTracker {
  readonly #random: Random;
  readonly #log: Log;
  readonly #progressByKey = new Map<string, ItemProgress>();

  constructor({ random, log }: { readonly random: Random; readonly log: Log }) {
    this.#random = random;
    this.#log = log;
  }

  tryGet(key: string): ItemProgress | undefined {
    return this.#progressByKey.get(key);
  }

  /** Returns an item's progress, restored from recorded output on first use. */
  getOrCreate({ job, progress }: QueuedJob, item: JobItem): ItemProgress {
    const key = getItemKey(job.id, item.id);
    const known = this.#progressByKey.get(key);
    if (known !== undefined) return known;
    const recorded = progress.get(item.id);
    const itemProgress = new ItemProgress({
      random: this.#random,
      ...recorded === undefined ? {} : { recorded },
    });
    this.#progressByKey.set(key, itemProgress);
    if (recorded !== undefined) {
      this.#log.info("item_restored", {
        job: job.id,
        item: item.id,
        last_event: recorded.last,
        from_chain: String(recorded.chain),
        chain: String(itemProgress.chain),
        version: recorded.softwareVersion,
      });
    }
    return itemProgress;
  }

  /** Drops the progress of all items except the given ones. */
  retainOnly(open: ReadonlySet<string>): void {
    [...this.#progressByKey.keys()].filter((key) => !open.has(key))
      .forEach((key) => this.#progressByKey.delete(key));
  }

  /** Returns what the applied state lacks of items without an outcome. */
  getUnrecorded(
    jobs: readonly QueuedJob[],
    hasOutcome: (key: string) => boolean,
  ): RunProgress[] {
    if (this.#progressByKey.size === 0) return [];
    return jobs.flatMap(({ job, open, progress }) =>
      [...open.keys()]
        .flatMap((item) => {
          const key = getItemKey(job.id, item);
          const own = hasOutcome(key)
            ? undefined
            : this.#progressByKey.get(key);
          const output = own?.tryGetUnrecorded(progress.get(item));
          return own === undefined || output === undefined
            ? []
            : [create(RunProgressSchema, {
              job: job.id,
              item,
              after: BigInt(output.after),
              last: BigInt(output.last),
              text: Buffer.from(output.text, "utf8"),
              chain: own.chain,
              chainAfter: BigInt(own.chainAfter),
              softwareVersion: own.softwareVersion,
            })];
        })
    );
  }
}
