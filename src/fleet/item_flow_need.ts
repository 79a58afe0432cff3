/** What an item of a job says about leaving its data centre. */
import type { ItemCandidate } from "./item_queue.ts";
import { EXPECTED_RESPONSE_BYTES, type FlowNeed } from "./remote_flow.ts";

/**
 * Returns the need of an item that starts now. It is late here if it has no slot by
 * the last time at which it can still end when its results are due.
 */
export function createItemNeed(
  { queued, item, dueMs, remainingMs }: ItemCandidate,
  wallMs: number,
): FlowNeed {
  return {
    request: `${queued.job.id}/${item.id}`,
    serviceMs: remainingMs,
    lateAfterMs: dueMs - wallMs - remainingMs,
    bytes: item.body.length + EXPECTED_RESPONSE_BYTES,
  };
}
