/** Items claimed by an entry: their requests, progress and outcomes. */
import { create } from "@bufbuild/protobuf";
import { EventLog, type Progress } from "../../relay/mod.ts";
import {
  type ClaimedItem,
  MessageCode,
  type Outcome,
  OutcomeSchema,
  Verdict,
  type Workload,
} from "../../schema/mod.ts";
import {
  createCompletionResponse,
  getFingerprint,
  getPromptParts,
  getPromptText,
  parseCompletion,
} from "../online/completion_service.ts";
import type {
  CompletionRequest,
  CompletionSink,
} from "../online/engine_runner.ts";
import { parseItemLine } from "../common/item_line.ts";

/** An item that this entry has claimed but not yet finished. */
export interface HeldItem {
  readonly claimed: ClaimedItem;
  readonly group: number;
  readonly epoch: bigint;
  readonly abortController: AbortController;
  readonly sink: ItemSink;
  /** The item's completion request; created on the first scheduling attempt. */
  run?: CompletionRequest;
  /** Start of the current wait for capacity, in monotonic milliseconds. */
  waitingSinceMs: number;
  isRunning: boolean;
}

/**
 * Whether an engine's status code reports a fault of the item itself, so that a
 * retry cannot succeed.
 */
export function isNonRetryableStatus(status: number): boolean {
  return status < 500 && status !== 429 && status !== 408;
}

/** Collects the output of an item's completion. */
export class ItemSink implements CompletionSink {
  readonly log: EventLog;

  constructor(progress: Progress) {
    this.log = new EventLog(progress);
  }

  onEvents(events: Buffer): boolean {
    this.log.append(events);
    return true;
  }

  whenReady(): Promise<void> {
    return Promise.resolve();
  }
}

/** Creates an item's completion request; throws if its line is malformed. */
export function createCompletionRequest(
  item: HeldItem,
  workload: Workload,
  deadlineMs: number,
): CompletionRequest {
  const { claimed } = item;
  const line = parseItemLine(claimed.item?.body ?? new Uint8Array(), 0);
  const text = JSON.stringify({ model: workload.model, ...line.body });
  const body = parseCompletion(new TextEncoder().encode(text));
  const isChat = body.messages !== undefined;
  return {
    requestId: getDispatchKey(item),
    path: isChat ? "/v1/chat/completions" : "/v1/completions",
    body: { ...body, model: workload.model },
    deployment: workload.deployment,
    adapter: "",
    caller: claimed.caller,
    fingerprint: getFingerprint(workload.name, body),
    promptParts: getPromptParts(workload.deployment, body),
    affinity: getPromptText(body),
    isNonIdempotent: claimed.nonIdempotent,
    deadlineMs,
    signal: item.abortController.signal,
  };
}

/** Creates the outcome of an item that an engine rejected permanently. */
export function createErrorResponseOutcome(response: {
  readonly status: number;
  readonly body: Uint8Array;
  readonly contentType: string;
}): Outcome {
  return create(OutcomeSchema, {
    verdict: Verdict.RAN,
    status: response.status,
    body: response.body,
    contentType: response.contentType,
    code: MessageCode.BACKEND_SERVER_FAILED,
    detail: `the backend server answered ${response.status}`,
  });
}

/**
 * Returns the key that identifies one dispatch of an item; each further dispatch
 * of the item has another key.
 */
export function getDispatchKey(item: HeldItem): string {
  const ref = item.claimed.ref;
  return `${ref?.jobId}/${ref?.index}/${ref?.dispatch}`;
}

/** Encodes an item's partial output for storage in the replicated state. */
export function encodeProgress(progress: Progress): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(progress));
}

/** Creates a sink that continues from the item's recorded partial output. */
export function createItemSink(claimed: ClaimedItem): ItemSink {
  const bytes = claimed.item?.progress ?? new Uint8Array();
  return new ItemSink(
    bytes.length === 0
      ? { text: "", tokens: 0 }
      : JSON.parse(new TextDecoder().decode(bytes)),
  );
}

/** Creates the outcome of a completion that succeeded. */
export function createSuccessOutcome(sink: ItemSink): Outcome {
  return create(OutcomeSchema, {
    verdict: Verdict.RAN,
    status: 200,
    body: new TextEncoder().encode(
      JSON.stringify(createCompletionResponse(sink.log)),
    ),
    contentType: "application/json",
  });
}
