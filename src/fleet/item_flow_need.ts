/** What an item of a job says about leaving its data centre. */
import type { ItemCandidate } from "./waiting_items.ts";
import { EXPECTED_RESPONSE_BYTES, type FlowNeed } from "./remote_flow.ts";

/** Time until the latest start at which an item still ends in time. */
export function getItemLateAfterMs(
  { dueMs, remainingMs }: Pick<ItemCandidate, "dueMs" | "remainingMs">,
  wallMs: number,
): number {
  return dueMs - wallMs - remainingMs;
}

/**
 * Returns the need of an item that starts now. It is late here if it has no slot by
 * the last time at which it can still end when its results are due. `assigned` are the
 * data centres whose servers wait for this process.
 */
export function createItemNeed(
  candidate: ItemCandidate,
  wallMs: number,
  assigned: ReadonlySet<string>,
): FlowNeed {
  const { queued, item, remainingMs } = candidate;
  return {
    request: `${queued.job.id}/${item.id}`,
    serviceMs: remainingMs,
    lateAfterMs: getItemLateAfterMs(candidate, wallMs),
    bytes: item.body.length + EXPECTED_RESPONSE_BYTES,
    assigned,
  };
}
