/** Serves completions, streamed or whole, with or without idempotency keys. */
import { create } from "@bufbuild/protobuf";
import { type FleetView, getPromptPartKey } from "../../membership/mod.ts";
import { type CompletionBody, EventLog } from "../../relay/mod.ts";
import {
  MessageCode,
  type Outcome,
  OutcomeSchema,
  Verdict,
  type Workload,
} from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { getReason, ServingError } from "../../sys/errors.ts";
import { whenWritable } from "../../sys/framed_response.ts";
import { readBody, type ServerResponse } from "../../sys/http.ts";
import { MetricName, type Metrics } from "../../sys/metrics.ts";
import { getDigest, getDigestHex } from "../../sys/random.ts";
import { type CallerRequest, getDeadlineMs } from "../common/caller_request.ts";
import type {
  CompletionRequest,
  CompletionSink,
  EngineOutcome,
  EngineRunner,
} from "./engine_runner.ts";
import type { IdempotencyStore } from "./idempotency_store.ts";
import { sendOutcome } from "../common/outcomes.ts";

/** Paths that serve completions. */
export const COMPLETION_PATHS: readonly string[] = [
  "/v1/completions",
  "/v1/chat/completions",
];

/** Length of the prompt prefix that selects a server, in characters. */
const AFFINITY_PREFIX_LENGTH = 256;

/**
 * Largest response body that is recorded with a key, in bytes. The outcome of a
 * larger response is recorded without its body.
 */
const MAX_STORED_BODY_BYTES = 16 << 20;

const EVENT_STREAM = "text/event-stream";

/** Collects the events of a completion and forwards them if it is streamed. */
class ResponseSink implements CompletionSink {
  readonly log = new EventLog();
  readonly #res: ServerResponse | undefined;
  readonly #onFirstEvent: () => void;

  constructor(options: {
    /** Undefined for a response that is sent whole. */
    res: ServerResponse | undefined;
    onFirstEvent: () => void;
  }) {
    this.#res = options.res;
    this.#onFirstEvent = options.onFirstEvent;
  }

  onEvents(events: Buffer): boolean {
    if (this.log.isEmpty) this.#onFirstEvent();
    this.log.append(events);
    if (this.#res === undefined || this.#res.destroyed) return true;
    if (!this.#res.headersSent) sendStreamHead(this.#res);
    return this.#res.write(events);
  }

  whenReady(): Promise<void> {
    const res = this.#res;
    if (res === undefined || res.destroyed) return Promise.resolve();
    return whenWritable(res);
  }
}

function sendStreamHead(res: ServerResponse): void {
  res.writeHead(200, {
    "content-type": EVENT_STREAM,
    "cache-control": "no-store",
  });
}

/** Parses and checks the body of a completion. */
export function parseCompletion(bytes: Uint8Array): CompletionBody {
  let value: unknown;
  try {
    value = JSON.parse(new TextDecoder().decode(bytes));
  } catch (error) {
    throw createMalformedError(getReason(error));
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw createMalformedError("it must be a JSON object");
  }
  const body = value as Record<string, unknown>;
  if (typeof body.model !== "string") {
    throw createMalformedError("model must be a string");
  }
  if (body.prompt === undefined && body.messages === undefined) {
    throw createMalformedError("prompt or messages is missing");
  }
  return body as CompletionBody;
}

function createMalformedError(reason: string): ServingError {
  return new ServingError(MessageCode.BODY_MALFORMED, {
    verdict: Verdict.NOT_RUN,
    parameters: { reason },
  });
}

/**
 * Returns the prompt as text, which does not depend on the idempotency key or
 * the sampling parameters.
 */
export function getPromptText(body: CompletionBody): string {
  return JSON.stringify(body.prompt ?? body.messages);
}

/**
 * Returns a digest of a completion's workload, model and prompt, by which
 * repetitions of a request that crashed a server are recognized.
 */
export function getFingerprint(workload: string, body: CompletionBody): string {
  return getDigestHex(workload, body.model, getPromptText(body));
}

/**
 * Returns the keys of the messages of a conversation before the last one, which
 * other requests may share; none for a prompt without messages.
 */
export function getPromptParts(
  deployment: string,
  { messages }: CompletionBody,
): string[] {
  if (!Array.isArray(messages)) return [];
  return messages.slice(0, -1).map((message) =>
    getPromptPartKey(deployment, getDigestHex(JSON.stringify(message)))
  );
}

/** Serves completions of callers. */
export class CompletionService {
  readonly #view: FleetView;
  readonly #runner: EngineRunner;
  readonly #idempotencyStore: IdempotencyStore;
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #bodyBytes: number;

  constructor(options: {
    view: FleetView;
    runner: EngineRunner;
    idempotencyStore: IdempotencyStore;
    clock: Clock;
    metrics: Metrics;
    bodyBytes: number;
  }) {
    this.#view = options.view;
    this.#runner = options.runner;
    this.#idempotencyStore = options.idempotencyStore;
    this.#clock = options.clock;
    this.#metrics = options.metrics;
    this.#bodyBytes = options.bodyBytes;
  }

  /** Serves one request; throws a ServingError on failure. */
  async serve(call: CallerRequest): Promise<void> {
    const bytes = await call.stopPeriod.waitFor(
      readBody(call.req, this.#bodyBytes),
      Verdict.NOT_RUN,
    );
    const body = parseCompletion(bytes);
    const workload = this.#view.tryFindWorkload({ model: body.model });
    if (workload === undefined) {
      throw new ServingError(MessageCode.UNKNOWN_MODEL, {
        parameters: { model: body.model },
      });
    }
    call.stopPeriod.throwIfTooLate(getDeadlineMs(call, workload));
    const request = this.#createRequest(call, body, workload);
    if (call.key === "") {
      await this.#runCompletion(call, request);
      return;
    }
    await this.#serveKeyed(call, request, {
      workload,
      digest: getDigest(bytes),
    });
  }

  #createRequest(
    call: CallerRequest,
    body: CompletionBody,
    workload: Workload,
  ): CompletionRequest {
    return {
      requestId: call.id,
      path: (call.req.url ?? "").split("?")[0] ?? "",
      body: { ...body, model: workload.model },
      deployment: workload.deployment,
      adapter: typeof body.adapter === "string" ? body.adapter : "",
      caller: call.caller,
      fingerprint: getFingerprint(workload.name, body),
      promptParts: getPromptParts(workload.deployment, body),
      affinity: getPromptText(body).slice(0, AFFINITY_PREFIX_LENGTH),
      isNonIdempotent: workload.nonIdempotent || call.isMarkedNonIdempotent,
      deadlineMs: getDeadlineMs(call, workload),
      signal: call.signal,
    };
  }

  async #serveKeyed(
    call: CallerRequest,
    request: CompletionRequest,
    options: { workload: Workload; digest: Uint8Array },
  ): Promise<void> {
    const deployment = this.#view.tryGetDeployment(request.deployment);
    await this.#idempotencyStore.runUnderKey({
      caller: call.caller,
      operator: deployment?.operator ?? "",
      key: call.key,
      digest: options.digest,
      isNonIdempotent: request.isNonIdempotent,
      deadlineMs: request.deadlineMs,
      signal: call.signal,
    }, {
      onRecorded: (outcome) => sendOutcome(call.res, outcome),
      run: (signal, finish) =>
        this.#runCompletion(call, { ...request, signal }, { finish }),
    });
  }

  async #runCompletion(
    call: CallerRequest,
    request: CompletionRequest,
    options: { finish?: (outcome: Outcome) => Promise<void> } = {},
  ): Promise<void> {
    const isStreamed = request.body.stream === true;
    const sink = new ResponseSink({
      res: isStreamed ? call.res : undefined,
      onFirstEvent: () =>
        this.#metrics.time(
          MetricName.firstTokenMs,
          this.#clock.getMonotonicMs() - call.startMs,
        ),
    });
    const result = await this.#runner.runCompletion(request, sink);
    if (isStreamed && call.res.headersSent && options.finish === undefined) {
      call.res.end();
      return;
    }
    const outcome = createOutcome(result, sink, isStreamed);
    await options.finish?.(
      outcome.body.length <= MAX_STORED_BODY_BYTES
        ? outcome
        : create(OutcomeSchema, { ...outcome, body: new Uint8Array() }),
    );
    if (isStreamed && call.res.headersSent) call.res.end();
    else sendOutcome(call.res, outcome);
  }
}

function createOutcome(
  result: EngineOutcome,
  sink: ResponseSink,
  isStreamed: boolean,
): Outcome {
  if (result.kind === "answered") {
    return create(OutcomeSchema, {
      verdict: Verdict.RAN,
      status: result.status,
      body: result.body,
      contentType: result.contentType,
    });
  }
  const encodeResponse = () =>
    new TextEncoder().encode(
      `${JSON.stringify(createCompletionResponse(sink.log))}\n`,
    );
  return create(OutcomeSchema, {
    verdict: Verdict.RAN,
    status: 200,
    body: isStreamed ? sink.log.getBytes() : encodeResponse(),
    contentType: isStreamed ? EVENT_STREAM : "application/json",
  });
}

/** Creates the body of a whole response from the collected events. */
export function createCompletionResponse(
  log: EventLog,
): Record<string, unknown> {
  const { text, tokens } = log.getProgress();
  const lastEvent = log.getLastEvent();
  const last = lastEvent === "" ? {} : JSON.parse(lastEvent);
  const isChat = last.choices?.[0]?.delta !== undefined;
  const reason = last.choices?.[0]?.finish_reason ?? "stop";
  const content = isChat
    ? { message: { role: "assistant", content: text } }
    : { text };
  return {
    ...last,
    choices: [{ index: 0, ...content, finish_reason: reason }],
    usage: { completion_tokens: tokens },
  };
}
