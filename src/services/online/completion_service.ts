/** Completions for callers: streamed or whole, with or without a key. */
import { create } from "@bufbuild/protobuf";
import type { FleetView } from "../../membership/mod.ts";
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
import { readBody, type ServerResponse } from "../../sys/http.ts";
import { MetricName, type Metrics } from "../../sys/metrics.ts";
import { getDigest, getDigestHex } from "../../sys/random.ts";
import { type CallerRequest, getDeadlineMs } from "../common/caller_request.ts";
import type {
  CompletionSink,
  EngineOutcome,
  EngineRun,
  EngineRunner,
} from "./engine_runner.ts";
import type { KeyedStore } from "./keyed_store.ts";
import { sendOutcome } from "../common/outcomes.ts";

/** Paths of completions. */
export const COMPLETION_PATHS: readonly string[] = [
  "/v1/completions",
  "/v1/chat/completions",
];

/** Characters of a prompt that keep requests on one server. */
const AFFINITY_CHARACTERS = 256;

/** Largest answer that is kept under a key, in bytes. */
const MAX_KEPT_BYTES = 16 << 20;

const EVENT_STREAM = "text/event-stream";

/** Collects a completion and, when it streams, passes it on. */
class AnswerSink implements CompletionSink {
  readonly log = new EventLog();
  readonly #res: ServerResponse | undefined;
  readonly #onFirst: () => void;

  constructor(options: {
    /** Undefined for an answer that is sent whole. */
    res: ServerResponse | undefined;
    onFirst: () => void;
  }) {
    this.#res = options.res;
    this.#onFirst = options.onFirst;
  }

  onEvents(events: Buffer): boolean {
    if (this.log.isEmpty) this.#onFirst();
    this.log.append(events);
    if (this.#res === undefined || this.#res.destroyed) return true;
    if (!this.#res.headersSent) startStream(this.#res);
    return this.#res.write(events);
  }

  whenReady(): Promise<void> {
    const res = this.#res;
    if (res === undefined || res.destroyed) return Promise.resolve();
    return new Promise((resolve) => {
      const goOn = () => {
        res.off("drain", goOn);
        res.off("close", goOn);
        resolve();
      };
      res.on("drain", goOn);
      res.on("close", goOn);
    });
  }
}

function startStream(res: ServerResponse): void {
  res.writeHead(200, {
    "content-type": EVENT_STREAM,
    "cache-control": "no-store",
  });
}

/** Parses a completion's body. */
export function parseCompletion(bytes: Uint8Array): CompletionBody {
  let value: unknown;
  try {
    value = JSON.parse(new TextDecoder().decode(bytes));
  } catch (error) {
    throw createMalformed(getReason(error));
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw createMalformed("it must be a JSON object");
  }
  const body = value as Record<string, unknown>;
  if (typeof body.model !== "string") {
    throw createMalformed("model must be a string");
  }
  if (body.prompt === undefined && body.messages === undefined) {
    throw createMalformed("prompt or messages is missing");
  }
  return body as CompletionBody;
}

function createMalformed(reason: string): ServingError {
  return new ServingError(MessageCode.BODY_MALFORMED, {
    verdict: Verdict.NOT_RUN,
    parameters: { reason },
  });
}

/** Stable text of a prompt; the same under any key and sampling. */
export function getPromptText(body: CompletionBody): string {
  return JSON.stringify(body.prompt ?? body.messages);
}

/** What the engine is asked, so that a resent request is known again. */
export function getFingerprint(workload: string, body: CompletionBody): string {
  return getDigestHex(workload, body.model, getPromptText(body));
}

/** Serves completions. */
export class CompletionService {
  readonly #view: FleetView;
  readonly #runner: EngineRunner;
  readonly #keys: KeyedStore;
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #bodyBytes: number;

  constructor(options: {
    view: FleetView;
    runner: EngineRunner;
    keys: KeyedStore;
    clock: Clock;
    metrics: Metrics;
    bodyBytes: number;
  }) {
    this.#view = options.view;
    this.#runner = options.runner;
    this.#keys = options.keys;
    this.#clock = options.clock;
    this.#metrics = options.metrics;
    this.#bodyBytes = options.bodyBytes;
  }

  /** Serves one request; errors are thrown as ServingError. */
  async serve(call: CallerRequest): Promise<void> {
    const bytes = await readBody(call.req, this.#bodyBytes);
    const body = parseCompletion(bytes);
    const workload = this.#view.tryFindWorkload({ model: body.model });
    if (workload === undefined) {
      throw new ServingError(MessageCode.UNKNOWN_MODEL, {
        parameters: { model: body.model },
      });
    }
    const run = this.#createRun(call, body, workload);
    if (call.key === "") {
      await this.#runOnce(call, run);
      return;
    }
    await this.#serveKeyed(call, run, { workload, digest: getDigest(bytes) });
  }

  #createRun(
    call: CallerRequest,
    body: CompletionBody,
    workload: Workload,
  ): EngineRun {
    return {
      requestId: call.id,
      path: (call.req.url ?? "").split("?")[0] ?? "",
      body: { ...body, model: workload.model },
      deployment: workload.deployment,
      adapter: typeof body.adapter === "string" ? body.adapter : "",
      caller: call.caller,
      fingerprint: getFingerprint(workload.name, body),
      affinity: getPromptText(body).slice(0, AFFINITY_CHARACTERS),
      isNonIdempotent: workload.nonIdempotent || call.isMarkedNonIdempotent,
      deadlineMs: getDeadlineMs(call, workload),
      signal: call.signal,
    };
  }

  async #serveKeyed(
    call: CallerRequest,
    run: EngineRun,
    options: { workload: Workload; digest: Uint8Array },
  ): Promise<void> {
    const deployment = this.#view.tryGetDeployment(run.deployment);
    await this.#keys.runUnderKey({
      caller: call.caller,
      operator: deployment?.operator ?? "",
      key: call.key,
      digest: options.digest,
      isNonIdempotent: run.isNonIdempotent,
      deadlineMs: run.deadlineMs,
      signal: call.signal,
    }, {
      onKnown: (outcome) => sendOutcome(call.res, outcome),
      run: (signal, finish) =>
        this.#runOnce(call, { ...run, signal }, { finish }),
    });
  }

  async #runOnce(
    call: CallerRequest,
    run: EngineRun,
    options: { finish?: (outcome: Outcome) => Promise<void> } = {},
  ): Promise<void> {
    const isStreamed = run.body.stream === true;
    const sink = new AnswerSink({
      res: isStreamed ? call.res : undefined,
      onFirst: () =>
        this.#metrics.time(
          MetricName.firstTokenMs,
          this.#clock.getMonotonicMs() - call.startMs,
        ),
    });
    const ended = await this.#runner.run(run, sink);
    if (isStreamed && call.res.headersSent && options.finish === undefined) {
      call.res.end();
      return;
    }
    const outcome = createOutcome(ended, sink, isStreamed);
    await options.finish?.(
      outcome.body.length <= MAX_KEPT_BYTES
        ? outcome
        : create(OutcomeSchema, { ...outcome, body: new Uint8Array() }),
    );
    if (isStreamed && call.res.headersSent) call.res.end();
    else sendOutcome(call.res, outcome);
  }
}

function createOutcome(
  ended: EngineOutcome,
  sink: AnswerSink,
  isStreamed: boolean,
): Outcome {
  if (ended.kind === "answered") {
    return create(OutcomeSchema, {
      verdict: Verdict.RAN,
      status: ended.status,
      body: ended.body,
      contentType: ended.contentType,
    });
  }
  const whole = () =>
    new TextEncoder().encode(
      `${JSON.stringify(createWholeAnswer(sink.log))}\n`,
    );
  return create(OutcomeSchema, {
    verdict: Verdict.RAN,
    status: 200,
    body: isStreamed ? sink.log.getBytes() : whole(),
    contentType: isStreamed ? EVENT_STREAM : "application/json",
  });
}

/** A whole answer in the shape of the stream's last event. */
export function createWholeAnswer(log: EventLog): Record<string, unknown> {
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
