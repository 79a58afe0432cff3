/**
 * Serves requests to plain services: routes them by path, forwards them
 * unchanged and retries them only if that is safe.
 */
import { create } from "@bufbuild/protobuf";
import type { FleetView } from "../../membership/mod.ts";
import type { RetryBudget } from "../../policy/mod.ts";
import { callService } from "../../relay/mod.ts";
import {
  MessageCode,
  type Outcome,
  OutcomeSchema,
  Verdict,
  type Workload,
} from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { asServingError, getReason, ServingError } from "../../sys/errors.ts";
import { FramedResponse, whenWritable } from "../../sys/framed_response.ts";
import {
  type HttpResponse,
  type IncomingHttpHeaders,
  readBody,
  removeHopByHopHeaders,
} from "../../sys/http.ts";
import type { Log } from "../../sys/log.ts";
import { getDigest, getDigestHex } from "../../sys/random.ts";
import type { BackendPool } from "./backend_pool.ts";
import type { Placement } from "./placement.ts";
import { type CallerRequest, getDeadlineMs } from "../common/caller_request.ts";
import { sendOutcome } from "../common/outcomes.ts";
import type { CrashDetector } from "./crash_detector.ts";
import { withMinVerdict } from "./engine_runner.ts";
import type { IdempotencyStore } from "./idempotency_store.ts";

/** Methods that HTTP defines as idempotent (RFC 9110). */
const IDEMPOTENT_METHODS: readonly string[] = [
  "GET",
  "HEAD",
  "PUT",
  "DELETE",
  "OPTIONS",
];

const MAX_ATTEMPTS = 4;

/** Largest response body that is recorded with a key, in bytes. */
const MAX_STORED_BODY_BYTES = 16 << 20;

/** A request to a plain service. */
export interface ServiceRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Uint8Array;
  readonly deployment: string;
  readonly caller: string;
  readonly fingerprint: string;
  readonly isNonIdempotent: boolean;
  /** Whether it must run in the end, even if servers crashed while they ran it. */
  readonly isOwed: boolean;
  /** Monotonic milliseconds. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** A response whose body is still arriving, and the placement it occupies. */
interface OpenResponse {
  readonly response: HttpResponse;
  readonly placement: Placement;
}

/** Serves the requests of callers to plain services. */
export class PlainService {
  readonly #view: FleetView;
  readonly #pool: BackendPool;
  readonly #idempotencyStore: IdempotencyStore;
  readonly #detector: CrashDetector;
  readonly #retryBudget: RetryBudget;
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #bodyBytes: number;

  constructor(options: {
    view: FleetView;
    pool: BackendPool;
    idempotencyStore: IdempotencyStore;
    crashDetector: CrashDetector;
    retryBudget: RetryBudget;
    clock: Clock;
    log: Log;
    bodyBytes: number;
  }) {
    this.#view = options.view;
    this.#pool = options.pool;
    this.#idempotencyStore = options.idempotencyStore;
    this.#detector = options.crashDetector;
    this.#retryBudget = options.retryBudget;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#bodyBytes = options.bodyBytes;
  }

  /** Serves one request; throws a ServingError on failure. */
  async serve(call: CallerRequest, workload: Workload): Promise<void> {
    const body = await call.stopPeriod.waitFor(
      readBody(call.req, this.#bodyBytes),
      Verdict.NOT_RUN,
    );
    call.stopPeriod.throwIfTooLate(getDeadlineMs(call, workload));
    const request = this.#createRequest(call, workload, body);
    if (call.key !== "") {
      await this.#serveKeyed(call, request);
      return;
    }
    const { response, placement } = await this.#sendUntilAnswered(request);
    await this.#forward(call, { response, placement });
  }

  /**
   * Runs a request and reads its whole response, for keyed requests and batch
   * items.
   */
  async runToCompletion(request: ServiceRequest): Promise<Outcome> {
    const open = await this.#sendUntilAnswered(request);
    const { response, placement } = open;
    try {
      const body = await readBody(response.body, MAX_STORED_BODY_BYTES);
      const isWhole = await this.#isWhole(open, request.requestId);
      if (!isWhole) {
        throw createAnswerLostError(
          Verdict.MAY_HAVE_RUN,
          "the answer was cut short",
        );
      }
      placement.release({ isServerFailure: false });
      return create(OutcomeSchema, {
        verdict: Verdict.RAN,
        status: response.status,
        body,
        contentType: response.headers["content-type"] ?? "",
        isUndelimited: !response.isDelimited,
      });
    } catch (error) {
      placement.release({ isServerFailure: true });
      throw withMinVerdict(asServingError(error), Verdict.MAY_HAVE_RUN);
    }
  }

  #createRequest(
    call: CallerRequest,
    workload: Workload,
    body: Uint8Array,
  ): ServiceRequest {
    const method = call.req.method ?? "GET";
    const path = call.req.url ?? "/";
    return {
      requestId: call.id,
      method,
      path,
      headers: call.req.headers,
      body,
      deployment: workload.deployment,
      caller: call.caller,
      fingerprint: getDigestHex(workload.name, method, path, body),
      isNonIdempotent: workload.nonIdempotent || call.isMarkedNonIdempotent ||
        !IDEMPOTENT_METHODS.includes(method),
      isOwed: false,
      deadlineMs: getDeadlineMs(call, workload),
      signal: call.signal,
    };
  }

  async #serveKeyed(
    call: CallerRequest,
    request: ServiceRequest,
  ): Promise<void> {
    await this.#idempotencyStore.runUnderKey({
      caller: call.caller,
      operator: this.#view.tryGetDeployment(request.deployment)?.operator ?? "",
      key: call.key,
      digest: getDigest(Buffer.concat([
        Buffer.from(`${request.method} ${request.path}\n`),
        request.body,
      ])),
      isNonIdempotent: request.isNonIdempotent,
      deadlineMs: request.deadlineMs,
      signal: call.signal,
    }, {
      onRecorded: (outcome) => sendOutcome(call.res, outcome),
      run: async (signal, finish) => {
        const outcome = await this.runToCompletion({ ...request, signal });
        await finish(outcome);
        sendOutcome(call.res, outcome);
      },
    });
  }

  /** Streams a response to the caller, with back-pressure. */
  async #forward(call: CallerRequest, open: OpenResponse): Promise<void> {
    const { response, placement } = open;
    const framed = new FramedResponse(call.res);
    const stop = () => response.body.destroy();
    call.res.on("close", stop);
    framed.sendHead(
      response.status,
      removeHopByHopHeaders(response.headers),
      { isUnframed: !response.isDelimited },
    );
    let isWhole = false;
    try {
      for await (const chunk of response.body) {
        if (!framed.write(chunk)) await whenWritable(call.res);
      }
      isWhole = await this.#isWhole(open, call.id);
    } catch (error) {
      this.#log.info("answer_broken", {
        request: call.id,
        server: placement.server.name,
        reason: getReason(error),
      });
    } finally {
      call.res.off("close", stop);
      placement.release({ isServerFailure: !isWhole });
      if (isWhole) framed.end();
      else framed.abort();
    }
  }

  /**
   * Whether all of a response has arrived, as far as it can be known: one that
   * ends with its connection breaks off if its server ended too.
   */
  async #isWhole(
    { response, placement }: OpenResponse,
    requestId: string,
  ): Promise<boolean> {
    return await response.isComplete() && (response.isDelimited ||
      await this.#detector.isServerThere(placement, requestId));
  }

  /** Sends the request until a server responds, with retries only if safe. */
  async #sendUntilAnswered(request: ServiceRequest): Promise<OpenResponse> {
    const excluded = new Set<string>();
    let verdict: Verdict = Verdict.NOT_RUN;
    let reason = "";
    this.#retryBudget.deposit();
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const placement = await this.#place(request, excluded, verdict);
      const result = await callService({
        address: placement.server.announcement.address,
        method: request.method,
        path: request.path,
        headers: { ...request.headers, "x-request-id": request.requestId },
        body: request.body.length > 0 ? request.body : undefined,
        usesNewConnection: request.isNonIdempotent ||
          this.#view.suspicions.isSuspect(request.fingerprint),
        headersTimeoutMs: Math.max(
          1,
          request.deadlineMs - this.#clock.getMonotonicMs(),
        ),
        signal: AbortSignal.any([request.signal, placement.signal]),
      });
      if (result.kind === "answered") {
        this.#detector.recordSuccess(request.fingerprint);
        return { response: result.response, placement };
      }
      const mayHaveCrashedServer = result.kind === "broken" &&
        result.isConnectionLost && result.verdict !== Verdict.NOT_RUN;
      if (mayHaveCrashedServer) {
        await this.#detector.recordConnectionLoss(
          request.fingerprint,
          placement,
        );
      }
      placement.release({ isServerFailure: result.kind === "broken" });
      excluded.add(placement.server.name);
      verdict = Math.max(
        verdict,
        result.kind === "broken" ? result.verdict : Verdict.MAY_HAVE_RUN,
      );
      reason = result.kind === "broken" ? result.reason : "it was stopped";
      this.#throwUnlessRetryable(request, verdict, reason);
    }
    throw createAnswerLostError(verdict, reason);
  }

  async #place(
    request: ServiceRequest,
    excluded: ReadonlySet<string>,
    verdict: Verdict,
  ): Promise<Placement> {
    const { suspicions } = this.#view;
    if (!request.isOwed && suspicions.isPoisoned(request.fingerprint)) {
      throw new ServingError(MessageCode.REQUEST_POISONED, {
        verdict,
        parameters: {
          servers: suspicions.getServerFailureCount(request.fingerprint),
        },
      });
    }
    try {
      return await this.#pool.place({
        deployment: request.deployment,
        model: "",
        adapter: "",
        affinity: "",
        caller: request.caller,
        deadlineMs: request.deadlineMs,
        excluded,
        isSuspect: suspicions.isSuspect(request.fingerprint),
        signal: request.signal,
      });
    } catch (error) {
      throw withMinVerdict(error, verdict);
    }
  }

  #throwUnlessRetryable(
    request: ServiceRequest,
    verdict: Verdict,
    reason: string,
  ): void {
    const isSafe = verdict === Verdict.NOT_RUN || !request.isNonIdempotent;
    const isStillNeeded = !request.signal.aborted &&
      this.#clock.getMonotonicMs() < request.deadlineMs;
    if (!isSafe || !isStillNeeded) throw createAnswerLostError(verdict, reason);
    if (this.#retryBudget.tryWithdraw()) return;
    throw new ServingError(MessageCode.RETRY_BUDGET_SPENT, {
      verdict,
      parameters: { reason },
      retryAfterS: 1,
    });
  }
}

function createAnswerLostError(verdict: Verdict, reason: string): ServingError {
  return new ServingError(MessageCode.ANSWER_LOST, {
    verdict,
    parameters: { reason },
  });
}
