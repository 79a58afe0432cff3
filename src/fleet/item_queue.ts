/**
 * Selects and orders the items of open jobs that wait for a server. After a
 * failed attempt, the next attempt of the item is delayed, so that the item does
 * not fail again in every scheduling pass.
 */
import {
  compareWaitingItems,
  getUrgentFromMs,
  type WaitingItem,
} from "../policy/mod.ts";
import type { JobItem } from "../schema/mod.ts";
import type { QueuedJob } from "../state/mod.ts";
import { getItemKey } from "./run_recorder.ts";

/** An item that may be eligible to run. */
export interface ItemCandidate extends WaitingItem {
  readonly queued: QueuedJob;
  readonly item: JobItem;
  /** Key of the item, unique across all jobs. */
  readonly key: string;
}

/** Delay before an item is retried after a failed attempt, in milliseconds. */
const RETRY_DELAY_MS = 400;

/** Queue of the items that wait in one process. */
export class ItemQueue {
  readonly #retryAfterMs = new Map<string, number>();

  /** Delays the next attempt of an item after a failed one. */
  delayRetry(key: string, nowMs: number): void {
    this.#retryAfterMs.set(key, nowMs + RETRY_DELAY_MS);
  }

  /** Drops the state of all items except the given ones. */
  retainOnly(open: ReadonlySet<string>): void {
    [...this.#retryAfterMs.keys()].filter((key) => !open.has(key))
      .forEach((key) => this.#retryAfterMs.delete(key));
  }

  /** Returns the items that may start now, in the order to start them. */
  getWaiting(
    jobs: readonly QueuedJob[],
    options: {
      nowMs: number;
      wallMs: number;
      /** Estimated slot time that an item still needs, in milliseconds. */
      getRemainingMs: (queued: QueuedJob, item: JobItem) => number;
      /** Whether an item is running, has an outcome or may not start here yet. */
      isExcluded: (key: string, queued: QueuedJob, item: JobItem) => boolean;
      /** Whether an organisation uses much more than its share of the slots. */
      isOverShare: (organisation: string) => boolean;
    },
  ): ItemCandidate[] {
    const { nowMs, wallMs, getRemainingMs, isExcluded, isOverShare } = options;
    return jobs.flatMap((queued) => {
      const dueMs = queued.submittedMs + queued.job.dueMs;
      const urgentFromMs = getUrgentFromMs(queued.submittedMs, dueMs);
      const { organisation } = queued.job;
      const hasOrganisation = organisation !== undefined;
      const isLast = hasOrganisation && isOverShare(organisation);
      return [...queued.open.values()].flatMap((item): ItemCandidate[] => {
        const key = getItemKey(queued.job.id, item.id);
        const mayStart = (this.#retryAfterMs.get(key) ?? 0) <= nowMs &&
          !isExcluded(key, queued, item);
        return !mayStart ? [] : [{
          queued,
          item,
          key,
          dueMs,
          urgentFromMs,
          remainingMs: getRemainingMs(queued, item),
          openJobItems: queued.open.size,
          priority: hasOrganisation ? item.priority : undefined,
          isOverShare: isLast,
        }];
      });
    }).sort((a, b) => compareWaitingItems(a, b, wallMs));
  }
}
