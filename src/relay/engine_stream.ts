/**
 * Runs one attempt of a completion on a model engine. Events are forwarded
 * complete and in order, without being parsed.
 */
import { Verdict } from "../schema/mod.ts";
import { getReason } from "../sys/errors.ts";
import {
  type HttpResponse,
  HttpSendError,
  readBody,
  sendHttp,
  setIdleTimeout,
} from "../sys/http.ts";

import { DONE_DATA, type Progress } from "./event_log.ts";
import {
  type AcceptedBlocks,
  EventAnswer,
  EventStreamError,
  isEventStreamType,
} from "./event_stream.ts";

/** Request body of a completion, as callers send it and engines accept it. */
export interface CompletionBody {
  readonly model: string;
  readonly prompt?: unknown;
  readonly messages?: unknown;
  readonly max_tokens?: number;
  readonly stream?: boolean;
  readonly [field: string]: unknown;
}

/** Consumes the events of a stream. */
export interface EventSink {
  /**
   * Consumes complete blocks, with `count` events among them; returns false to apply
   * back-pressure.
   */
  onEvents(blocks: Buffer, count: number): boolean;
  /** Resolves when the sink can accept events again. */
  whenReady(): Promise<void>;
}

/** Outcome of an attempt. */
export type AttemptOutcome =
  | { readonly kind: "done" }
  /** The engine responded with an error status; no stream was started. */
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly body: Buffer;
    readonly contentType: string;
  }
  /** The connection failed or the stream stalled. */
  | {
    readonly kind: "broken";
    readonly reason: string;
    readonly verdict: Verdict;
    readonly isConnectionLost: boolean;
  }
  | { readonly kind: "aborted" };

/** Parameters of one attempt. */
export interface EngineAttempt {
  readonly address: string;
  readonly path: string;
  readonly body: CompletionBody;
  readonly progress: Progress;
  readonly requestId: string;
  readonly usesNewConnection: boolean;
  /** Whether the sink has got blocks of an earlier attempt; false by default. */
  readonly isContinuation?: boolean;
  /**
   * Maximum wait for the response headers and between chunks of the body, in
   * milliseconds.
   */
  readonly stallTimeoutMs: number;
  readonly signal: AbortSignal;
}

/** Maximum size of a response that is not a stream, in bytes. */
const MAX_RESPONSE_BYTES = 16 << 20;

function encodeBody(attempt: EngineAttempt): string {
  const { body, progress } = attempt;
  const resume = progress.tokens === 0
    ? {}
    : { resume_text: progress.text, resume_tokens: progress.tokens };
  return JSON.stringify({ ...body, stream: true, ...resume });
}

/** Runs one attempt and forwards its events to `sink`. */
export async function runEngineAttempt(
  attempt: EngineAttempt,
  sink: EventSink,
): Promise<AttemptOutcome> {
  try {
    const response = await sendHttp({
      address: attempt.address,
      method: "POST",
      path: attempt.path,
      headers: {
        "content-type": "application/json",
        "x-request-id": attempt.requestId,
      },
      body: encodeBody(attempt),
      usesNewConnection: attempt.usesNewConnection,
      headersTimeoutMs: attempt.stallTimeoutMs,
      signal: attempt.signal,
    });
    if (response.status !== 200) {
      const body = await readBody(response.body, MAX_RESPONSE_BYTES);
      if (!(await response.isComplete())) {
        throw new Error("the answer was cut short");
      }
      return {
        kind: "answered",
        status: response.status,
        body,
        contentType: response.headers["content-type"] ?? "",
      };
    }
    if (!isEventStreamType(response.headers)) {
      response.body.destroy();
      return createRejectedOutcome("the answer is no stream of events");
    }
    return await pumpEvents(response, attempt, sink);
  } catch (error) {
    if (attempt.signal.aborted) return { kind: "aborted" };
    const sendError = error instanceof HttpSendError ? error : undefined;
    return {
      kind: "broken",
      reason: getReason(error),
      verdict: sendError?.verdict ?? Verdict.MAY_HAVE_RUN,
      isConnectionLost: sendError?.isConnectionLost ?? true,
    };
  }
}

/** Outcome of an attempt whose answer can't be the completion's. */
export function createRejectedOutcome(reason: string): AttemptOutcome {
  return {
    kind: "broken",
    reason,
    verdict: Verdict.MAY_HAVE_RUN,
    isConnectionLost: false,
  };
}

function pumpEvents(
  response: HttpResponse,
  attempt: EngineAttempt,
  sink: EventSink,
): Promise<AttemptOutcome> {
  const { body } = response;
  return new Promise((resolve) => {
    let isDone = false;
    let isStalled = false;
    let isPaused = false;
    /** Why the answer is none of the completion's; undefined if it may be. */
    let fault: unknown;
    setIdleTimeout(body, attempt.stallTimeoutMs, () => {
      // While a slow sink has paused the stream, silence is not the engine's
      // failure.
      if (isPaused) return;
      isStalled = true;
      body.destroy();
    });
    const finish = () => {
      if (isDone) resolve({ kind: "done" });
      else if (attempt.signal.aborted) resolve({ kind: "aborted" });
      else {
        resolve({
          kind: "broken",
          reason: isStalled
            ? "the stream stalled"
            : fault === undefined
            ? "the stream broke off"
            : getReason(fault),
          verdict: Verdict.MAY_HAVE_RUN,
          isConnectionLost: !isStalled && fault === undefined,
        });
      }
    };
    const pause = () => {
      if (isPaused) return;
      isPaused = true;
      body.pause();
      sink.whenReady().then(() => {
        isPaused = false;
        body.resume();
      });
    };
    const answer = new EventAnswer({
      accept: acceptCompletionEvent,
      isContinuation: attempt.isContinuation ?? false,
    });
    body.on("data", (chunk: Buffer) => {
      const { bytes, events, fault: reason } = tryPush(answer, chunk);
      isDone ||= events.includes(DONE_DATA);
      if (bytes.length > 0 && !sink.onEvents(bytes, events.length)) pause();
      if (reason === undefined) return;
      fault = reason;
      body.destroy();
    });
    body.on("end", finish);
    body.on("error", () => {});
    body.on("close", finish);
  });
}

/** Returns the data of an event; throws unless a completion may have such an event. */
function acceptCompletionEvent({ data }: { readonly data: string }): string {
  if (data !== "" && data !== DONE_DATA && !data.startsWith("{")) {
    throw new EventStreamError("an event is no part of a completion");
  }
  return data;
}

/** Pushes a chunk within an event handler, where nothing catches an error. */
function tryPush(
  answer: EventAnswer<string>,
  chunk: Buffer,
): AcceptedBlocks<string> {
  try {
    return answer.push(chunk);
  } catch (error) {
    return { bytes: Buffer.alloc(0), events: [], fault: error };
  }
}
