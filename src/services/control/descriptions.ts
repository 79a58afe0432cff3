/** JSON representation of jobs, items and keyed requests. */
import {
  type Item,
  ItemState,
  type Job,
  type KeyedRequest,
  type Outcome,
} from "../../schema/mod.ts";
import { formatCode, VerdictText } from "../../sys/errors.ts";
import { parseItemLine } from "../common/item_line.ts";

/** Names of item states in responses. */
const StateText = {
  [ItemState.ITEM_STATE_UNSPECIFIED]: "unknown",
  [ItemState.ACCEPTED]: "accepted",
  [ItemState.DISPATCHED]: "dispatched",
  [ItemState.FINISHED]: "finished",
  [ItemState.CANCELLED]: "cancelled",
} as const;

/** Returns the representation of a job for callers. */
export function describeJob(job: Job): Record<string, unknown> {
  const isEnded = job.endedMs > 0n;
  const running = job.cancelled ? "cancelling" : "running";
  const ended = job.cancelled ? "cancelled" : "finished";
  return {
    id: job.id,
    workload: job.workload,
    status: isEnded ? ended : running,
    items: Number(job.itemCount),
    finished: Number(job.finishedCount),
    failed: Number(job.failedCount),
    cancelled: Number(job.cancelledCount),
    unknown: Number(job.unknownCount),
    created_ms: Number(job.createdMs),
    ended_ms: isEnded ? Number(job.endedMs) : null,
  };
}

/** Returns the representation of an item and its outcome for callers. */
export function describeItem(
  item: Item,
  index: number,
): Record<string, unknown> {
  const { outcome } = item;
  const customId = parseItemLine(item.body, index + 1).customId;
  const fields = {
    index,
    ...(customId === "" ? {} : { custom_id: customId }),
    state: StateText[item.state],
  };
  return { ...fields, ...describeOutcome(outcome) };
}

/**
 * Returns the representation of a keyed request and its outcome for operators.
 */
export function describeRequest(
  request: KeyedRequest,
): Record<string, unknown> {
  return {
    caller: request.caller,
    key: request.key,
    state: StateText[request.state],
    created_ms: Number(request.createdMs),
    ...describeOutcome(request.outcome),
  };
}

function describeOutcome(
  outcome: Outcome | undefined,
): Record<string, unknown> {
  if (outcome === undefined) return {};
  const verdict = VerdictText[outcome.verdict];
  if (outcome.code !== 0) {
    const error = { code: formatCode(outcome.code), detail: outcome.detail };
    return { verdict, error };
  }
  const text = new TextDecoder().decode(outcome.body);
  return {
    verdict,
    status: outcome.status,
    body: tryParseJson(text) ?? text,
  };
}

function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
