/**
 * One attempt to run a job's item on a backend server. The data of its events
 * is collected, so that a broken or preempted attempt can be resumed after the
 * last complete event.
 */
import type { JobCaller } from "../policy/mod.ts";
import type { JobItem } from "../schema/mod.ts";
import { isEventStreamType } from "../relay/mod.ts";
import { forEachChunk, observeFirstChunk } from "../sys/body_chunks.ts";
import { getReason } from "../sys/errors.ts";
import {
  readBody,
  recordRepeatableAnswer,
  removeRawHopByHopHeaders,
} from "../sys/http.ts";
import type {
  BackendClient,
  BackendRequest,
  BackendResponse,
} from "./backend_client.ts";
import type { BackendDialect } from "./dialects.ts";
import type { ItemProgress } from "./item_progress.ts";
import { tryFindRequestError } from "./request_check.ts";
import type { ServerPermit } from "./server_pool.ts";

/** Outcome of one attempt to run an item. */
export type AttemptOutcome =
  | { readonly kind: "done" }
  /** The server ran the item and failed; counts as a failed attempt. */
  | { readonly kind: "failed"; readonly reason: string }
  /** The server rejected the item as one that no server can run. */
  | { readonly kind: "invalid"; readonly reason: string }
  /** The server did not run the item. */
  | { readonly kind: "notRun"; readonly reason: string }
  /** The attempt was interrupted; the item can resume on another server. */
  | { readonly kind: "broken"; readonly reason: string }
  /**
   * The response ended with its connection, or without any output, so it is not known
   * whether output follows; the item asks for it on another server.
   */
  | { readonly kind: "unconfirmed"; readonly reason: string }
  /** This process stopped the attempt. */
  | { readonly kind: "stopped" };

/** Response statuses that state the outcome of an item. */
const ITEM_FAILED_STATUS = 500;
const ITEM_INVALID_STATUS = 422;

/** Maximum size of an error response body, in bytes. */
const MAX_ERROR_BODY_BYTES = 64 * 1024;

/** Runs one attempt and returns its outcome. */
export async function runItemAttempt(options: {
  readonly backendClient: Pick<BackendClient, "send">;
  readonly request: BackendRequest;
  readonly permit: ServerPermit;
  readonly timeoutMs: number;
  readonly progress: ItemProgress;
  readonly signal: AbortSignal;
  /** Called when the first bytes of the output arrive. */
  readonly onBegin?: () => void;
  /** Whether the server was started again with another software version. */
  readonly isReplaced?: () => boolean;
}): Promise<AttemptOutcome> {
  const { signal, progress, onBegin = () => {} } = options;
  // Older builds accepted such items, which are owed until their retention ends.
  const unsendable = tryFindRequestError(options.request);
  if (unsendable !== undefined) return { kind: "notRun", reason: unsendable };
  const startEvent = progress.last;
  const result = await options.backendClient.send({
    request: options.request,
    permit: options.permit,
    remainingMs: options.timeoutMs,
    resumeAfter: progress.last,
    useNewConnection: false,
    signal,
  });
  if (result.kind === "response") {
    const { response } = result;
    const chunks = observeFirstChunk(response.chunks, onBegin);
    const outcome = await readResponse(
      { ...response, chunks },
      progress,
      signal,
    );
    // Ids of items are unique only within a job.
    recordRepeatableAnswer(response, options.request.requestId);
    const isWhole = outcome.kind === "done" && startEvent === undefined;
    if (
      isWhole || progress.last === startEvent ||
      options.isReplaced?.() !== true
    ) return outcome;
    // The output may be of either start of the server, and of another version than
    // what it continues or what continues it.
    progress.reset();
    return {
      kind: "broken",
      reason: "the server was started again with another software version",
    };
  }
  if (signal.aborted) return { kind: "stopped" };
  switch (result.kind) {
    case "notRun":
      return { kind: "notRun", reason: result.reason };
    case "lost":
      return { kind: "broken", reason: result.reason };
    case "aborted":
      return { kind: "stopped" };
  }
}

async function readResponse(
  response: BackendResponse,
  progress: ItemProgress,
  signal: AbortSignal,
): Promise<AttemptOutcome> {
  const destroyBody = () => response.body.destroy();
  signal.addEventListener("abort", destroyBody);
  if (signal.aborted) destroyBody();
  try {
    return response.status === 200
      ? await readEventStream(response, progress, signal)
      : await readErrorResponse(response);
  } catch (error) {
    // The server has counted the run, whether or not the body was read.
    const answer = tryClassifyStatus(response.status);
    if (answer !== undefined) return answer;
    return signal.aborted
      ? { kind: "stopped" }
      : { kind: "broken", reason: getReason(error) };
  } finally {
    signal.removeEventListener("abort", destroyBody);
  }
}

async function readEventStream(
  response: BackendResponse,
  progress: ItemProgress,
  signal: AbortSignal,
): Promise<AttemptOutcome> {
  if (!isEventStreamType(response.headers)) {
    response.body.destroy();
    return { kind: "broken", reason: "the response is no stream of events" };
  }
  const startEvent = progress.last;
  progress.startAnswer();
  await forEachChunk(response.chunks, (chunk) => {
    progress.appendChunk(chunk);
    return true;
  });
  const isComplete = await response.isComplete();
  if (isComplete && !progress.isInsideEvent) {
    const isKnown = progress.recordEnd(startEvent, response);
    return isKnown ? { kind: "done" } : {
      kind: "unconfirmed",
      reason: response.isDelimited
        ? "the response has no output, unlike one that was cut off"
        : "the response has no length and may have been cut off",
    };
  }
  return signal.aborted
    ? { kind: "stopped" }
    : { kind: "broken", reason: "the response ended prematurely" };
}

async function readErrorResponse(
  response: BackendResponse,
): Promise<AttemptOutcome> {
  await readBody(response.body, MAX_ERROR_BODY_BYTES);
  return tryClassifyStatus(response.status) ??
    { kind: "broken", reason: describeStatus(response.status) };
}

/** Returns the outcome that a status states; undefined if it states none. */
function tryClassifyStatus(status: number): AttemptOutcome | undefined {
  const reason = describeStatus(status);
  if (status === ITEM_INVALID_STATUS) return { kind: "invalid", reason };
  if (status === ITEM_FAILED_STATUS) return { kind: "failed", reason };
  return undefined;
}

function describeStatus(status: number): string {
  return `the server responded with status ${status}`;
}

/** What servers learn of the organisation of an item's job. */
export interface ItemIdentity {
  /** Owner of the job; items can't set it by headers of their own. */
  readonly owner: JobCaller;
  /** Whether the configuration has organisations now. */
  readonly areCallersIdentified: boolean;
  readonly priority: number;
}

/** Creates the backend request of an item. */
export function createItemRequest(
  host: string,
  item: JobItem,
  { requestIdHeader, reservedHeaders, identityHeaders }: BackendDialect,
  identity?: ItemIdentity,
): BackendRequest {
  // A job from before the configuration had organisations has no owner, but its
  // items must not name one.
  const isIdentified = identity !== undefined &&
    (identity.owner !== undefined || identity.areCallersIdentified);
  const headers = removeRawHopByHopHeaders(
    item.headers.flatMap(({ name, value }) => [name, value]),
    new Set([
      ...reservedHeaders,
      "host",
      requestIdHeader.toLowerCase(),
      ...isIdentified ? identityHeaders : [],
    ]),
  );
  const { buffer, byteOffset, length } = item.body;
  return {
    requestId: item.id,
    method: "POST",
    target: item.path,
    headers: ["Host", host, requestIdHeader, item.id, ...headers],
    body: Buffer.from(buffer, byteOffset, length),
    organisation: identity?.owner || undefined,
    priority: identity?.priority ?? 0,
  };
}
