/**
 * Which items of open jobs wait for a server, and in which order. An item
 * pauses after an attempt that failed, so that it doesn't fail at every look.
 */
import {
  compareWaitingItems,
  getUrgentFromMs,
  type WaitingItem,
} from "../policy/mod.ts";
import type { JobItem } from "../schema/mod.ts";
import type { QueuedJob } from "../state/mod.ts";
import { getItemKey } from "./run_recorder.ts";

/** An item of a job, as a candidate to run. */
export interface ItemCandidate extends WaitingItem {
  readonly queued: QueuedJob;
  readonly item: JobItem;
  /** Its name among all jobs. */
  readonly key: string;
}

/** Pause of an item after an attempt that failed, in milliseconds. */
const RETRY_DELAY_MS = 400;

/** The waiting items of one process. */
export class ItemQueue {
  readonly #retryAfterMs = new Map<string, number>();

  /** An attempt failed: the item waits before the next one. */
  delayRetry(key: string, nowMs: number): void {
    this.#retryAfterMs.set(key, nowMs + RETRY_DELAY_MS);
  }

  /** Forgets items that are open no more. */
  retainOnly(open: ReadonlySet<string>): void {
    [...this.#retryAfterMs.keys()].filter((key) => !open.has(key))
      .forEach((key) => this.#retryAfterMs.delete(key));
  }

  /** Items that may start now, the first to start first. */
  getWaiting(
    jobs: readonly QueuedJob[],
    options: {
      nowMs: number;
      wallMs: number;
      /** Time on a slot that an item still needs, in milliseconds. */
      getRemainingMs: (queued: QueuedJob, item: JobItem) => number;
      /** The item runs, or its end is being recorded. */
      isExcluded: (candidate: ItemCandidate) => boolean;
    },
  ): ItemCandidate[] {
    const { nowMs, wallMs, getRemainingMs, isExcluded: isExcluded } = options;
    return jobs.flatMap((queued) => createCandidates(queued, getRemainingMs))
      .filter((candidate) =>
        (this.#retryAfterMs.get(candidate.key) ?? 0) <= nowMs &&
        !isExcluded(candidate)
      ).sort((a, b) => compareWaitingItems(a, b, wallMs));
  }
}

function createCandidates(
  queued: QueuedJob,
  getRemainingMs: (queued: QueuedJob, item: JobItem) => number,
): ItemCandidate[] {
  const dueMs = queued.submittedMs + queued.job.dueMs;
  const urgentFromMs = getUrgentFromMs(queued.submittedMs, dueMs);
  return [...queued.open.values()].map((item) => ({
    queued,
    item,
    key: getItemKey(queued.job.id, item.id),
    dueMs,
    urgentFromMs,
    remainingMs: getRemainingMs(queued, item),
    jobOpen: queued.open.size,
  }));
}
