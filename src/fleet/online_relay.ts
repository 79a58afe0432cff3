/**
 * Relays online requests: reserves capacity on a backend server, forwards the
 * response, retries on another server where the route allows it, and rejects
 * requests that can't be served in time.
 */
import { getPromptPartKey, LoadKind } from "../membership/mod.ts";
import {
  decideAdmission,
  type FairWaiter,
  getLimitedWaitMs,
  getRecheckMs,
  getServiceFactor,
  isRetryable,
  isSlowNow,
  isWithheld,
  jitterRetryAfter,
} from "../policy/mod.ts";
import {
  MessageCode,
  RequestKind,
  type Route,
  Verdict,
} from "../schema/mod.ts";
import type { PromptPartGuard } from "../services/common/prompt_part_guard.ts";
import { observeFirstChunk } from "../sys/body_chunks.ts";
import type { Clock } from "../sys/clock.ts";
import { getCodeName, ServingError } from "../sys/errors.ts";
import { discardBody, rejectAnswer } from "../sys/http.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";
import type { Random } from "../sys/random.ts";
import {
  BufferedForwarder,
  ChunkForwarder,
  EventForwarder,
  type ResponseForwarder,
  StreamForwarder,
} from "./response_forwarders.ts";
import type {
  AttemptResult,
  BackendClient,
  BackendRequest,
  BackendResponse,
} from "./backend_client.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { CrashDetector, ServerRun } from "./crash_detector.ts";
import type { CallerDialect } from "./dialects.ts";
import {
  type GatewayRelay,
  NOT_RELAYED_HEADER,
  type RelayResult,
} from "./gateway_relay.ts";
import { createOnlineNeed } from "./online_flow_need.ts";
import type { OnlyVersionFinder } from "./only_version_finder.ts";
import type {
  PermitRequest,
  PoolServer,
  ServerPermit,
  ServerPool,
} from "./server_pool.ts";
import { describeSlowness, describeSpeed } from "./pool_speeds.ts";
import type { RoutingView } from "./routing_view.ts";
import type { ServerReachability } from "./server_reachability.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { StreamOriginFinder } from "./stream_origin_finder.ts";
import { VersionPin } from "./version_pin.ts";

/** A request that has been matched to a route and read completely. */
export interface OnlineRequest {
  readonly route: Route;
  /** Service that was selected among the targets of the route. */
  readonly service: string;
  readonly request: BackendRequest;
  /** Name of the caller's organisation; undefined if it has none. */
  readonly organisation: string | undefined;
  /** Priority of the organisation or else of the route; 0 is the highest. */
  readonly priority: number;
  /** Headers with the caller's key; undefined if callers are not identified. */
  readonly keyHeaders: readonly string[] | undefined;
  /** Called if the request fails and no server has run it. */
  readonly onNotRun?: () => void;
  readonly prefix: readonly string[];
  readonly resumeAfter: number | undefined;
  /** Attempt that brought the first event of a stream that is taken up. */
  readonly resumedRequest: string;
  readonly arrivedMs: number;
  /** Whether another gateway, which reaches no server, passed the request on. */
  readonly isRelayed: boolean;
  /** Aborted when this gateway ends, in a planned stop. */
  readonly graceEnd: AbortSignal;
  /**
   * Timeout that the caller set, in milliseconds from `arrivedMs`; undefined
   * if it set none.
   */
  readonly timeoutMs: number | undefined;
}

/** Returns the deadline of a request, in monotonic milliseconds. */
export function getDeadlineMs(
  { arrivedMs, timeoutMs, route }: Pick<
    OnlineRequest,
    "arrivedMs" | "timeoutMs" | "route"
  >,
): number {
  return arrivedMs + Math.min(timeoutMs ?? Infinity, route.timeoutMs);
}

/** Options of an {@linkcode OnlineRelay}. */
export interface OnlineRelayOptions {
  readonly view: RoutingView;
  readonly pool: ServerPool;
  readonly backendClient: BackendClient;
  readonly crashDetector: CrashDetector;
  readonly promptPartGuard: PromptPartGuard;
  readonly reachability: Pick<ServerReachability, "isCutOff">;
  readonly gatewayRelay: Pick<GatewayRelay, "send">;
  readonly streamOrigins: StreamOriginFinder;
  readonly onlyVersions: OnlyVersionFinder;
  /** Sends the origins of the newest streams once more. */
  readonly repeatOrigins: () => void;
  readonly dialect: CallerDialect;
  readonly serviceTimes: ServiceTimes;
  /** Maximum size of the body of an answer, in bytes. */
  readonly maxAnswerBytes: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Number of rejections by servers after which a request fails. Each rejection
 * costs a round trip of a few milliseconds; latency targets are hundreds of
 * milliseconds.
 */
const MAX_REFUSALS = 4;

/**
 * Retry-After if no server is known, or if the servers that rejected the request
 * sent none, in milliseconds. A service whose processes were all killed is
 * available again within this time.
 */
const NO_SERVER_RETRY_AFTER_MS = 1_000;

/**
 * Time after which servers with a limit are tried again if all of their slots are
 * occupied, and shortest Retry-After of a request for them, in milliseconds.
 */
const LIMITED_RETRY_MS = 50;

/**
 * Response to a gateway that passed a request on although this one reaches no server
 * either.
 */
const CANNOT_SERVE_RELAYED = {
  status: 503,
  headers: [NOT_RELAYED_HEADER, "it reaches no backend server either"],
  body: "",
};

/** Relays the online requests of this process. */
export class OnlineRelay {
  readonly #options: OnlineRelayOptions;

  constructor(options: OnlineRelayOptions) {
    this.#options = options;
  }

  /** Serves one request. Never rejects: errors are sent to the caller. */
  async serve(
    req: OnlineRequest,
    callerResponse: CallerResponse,
  ): Promise<void> {
    const relayed = new RelayedRequest(req, callerResponse, this.#options);
    await relayed.serve();
  }
}

/** A request in progress, with the state of its attempts. */
class RelayedRequest {
  readonly #req: OnlineRequest;
  readonly #callerResponse: CallerResponse;
  readonly #options: OnlineRelayOptions;
  readonly #pin: VersionPin;
  readonly #forwarder: ResponseForwarder;
  /** Server of the current attempt. */
  #server: PoolServer | undefined;
  /** Whether the answer of the current attempt has begun. */
  #hasAnswerBegun = false;
  readonly #excluded = new Set<string>();
  readonly #requestAbort = new AbortController();
  /** Aborts the current attempt without aborting the request. */
  #attemptAbort = new AbortController();
  /** Number of attempts that a server may have executed. */
  #possibleRuns = 0;
  #refusals = 0;
  #lastReason = "";

  constructor(
    req: OnlineRequest,
    callerResponse: CallerResponse,
    options: OnlineRelayOptions,
  ) {
    this.#req = req;
    this.#callerResponse = callerResponse;
    this.#options = options;
    this.#pin = new VersionPin(
      { ...req, requestId: req.request.requestId },
      options,
    );
    this.#forwarder = createForwarder(req, callerResponse, {
      maxBytes: options.maxAnswerBytes,
      onEvents: () => {
        if (this.#server !== undefined) this.#pin.recordEvents(this.#server);
      },
    });
  }

  get #deadlineMs(): number {
    return getDeadlineMs(this.#req);
  }

  get #remainingMs(): number {
    return this.#deadlineMs - this.#options.clock.getMonotonicMs();
  }

  async serve(): Promise<void> {
    const abort = () => {
      this.#requestAbort.abort();
      this.#attemptAbort.abort();
    };
    const signals = [this.#callerResponse.disconnected, this.#req.graceEnd];
    signals.forEach((signal) => signal.addEventListener("abort", abort));
    const timer = this.#options.clock.startTimer(
      Math.max(0, this.#remainingMs),
      abort,
    );
    this.#options.metrics.count(MetricName.requests);
    this.#recordRequest();
    try {
      await this.#retryUntilDone();
    } catch (error) {
      this.#fail(error);
    } finally {
      timer.cancel();
      signals.forEach((signal) => signal.removeEventListener("abort", abort));
    }
  }

  #recordRequest(): void {
    const { pool, clock } = this.#options;
    const { organisation } = this.#req;
    if (organisation === undefined) return;
    const nowMs = clock.getMonotonicMs();
    pool.shares[LoadKind.online].recordRequest(organisation, nowMs);
  }

  async #retryUntilDone(): Promise<void> {
    if (this.#pin.isTakenUp) await this.#pin.resolve();
    for (;;) {
      const permit = await this.#acquirePermit();
      if (permit === undefined) {
        if (await this.#relayToGateway()) return;
        continue;
      }
      const isDone = await this.#attempt(permit).finally(() =>
        permit.release()
      );
      if (isDone) return;
      this.#excluded.add(permit.server.id);
      this.#options.metrics.count(MetricName.retries);
    }
  }

  /**
   * Makes one attempt. Returns false if the request should be retried; throws
   * if it failed and must not be.
   */
  async #attempt(permit: ServerPermit): Promise<boolean> {
    const { clock, serviceTimes, backendClient, metrics, crashDetector } =
      this.#options;
    const startMs = clock.getMonotonicMs();
    this.#attemptAbort = new AbortController();
    this.#server = permit.server;
    this.#hasAnswerBegun = false;
    const result = await backendClient.send({
      request: this.#req.request,
      permit,
      remainingMs: this.#remainingMs,
      resumeAfter: this.#forwarder.resumeAfter,
      useNewConnection: this.#req.route.kind === RequestKind.NON_IDEMPOTENT,
      signal: this.#attemptAbort.signal,
    });
    if (result.kind !== "response") {
      await this.#handleNoResponse(result, permit);
      return false;
    }
    const isDone = await this.#forwardResponse(result.response, permit);
    if (isDone) {
      crashDetector.recordSuccess(this.#req.request);
      const tookMs = clock.getMonotonicMs() - startMs;
      serviceTimes.record(this.#pin.service, tookMs);
      metrics.time(MetricName.requestMs, tookMs);
    }
    return isDone;
  }

  async #forwardResponse(
    response: BackendResponse,
    permit: ServerPermit,
  ): Promise<boolean> {
    this.#possibleRuns += 1;
    const isServerFailure = response.status >= 500 || response.status === 429;
    if (isServerFailure && this.#canRetry()) {
      discardBody(response.body);
      this.#logAttemptFailure(
        "attempt_failed",
        permit,
        `status ${response.status}`,
      );
      return false;
    }
    const isSuccess = response.status >= 200 && response.status < 300;
    const result = await this.#forwarder.forward(
      isSuccess ? this.#observeBegin(response) : response,
      this.#attemptAbort.signal,
      () =>
        this.#options.crashDetector.isServerThere(
          permit.server,
          this.#req.request.requestId,
        ),
    );
    if (result.kind === "done") return true;
    rejectAnswer(response, this.#req.request.requestId);
    if (this.#requestAbort.signal.aborted) throw this.#createAbortedError();
    this.#options.pool.recordFailure(permit.server.id);
    // The caller may take the stream up elsewhere as soon as it is broken.
    this.#options.repeatOrigins();
    this.#logAttemptFailure("answer_broken", permit, result.reason);
    await this.#options.crashDetector.recordConnectionLoss(
      this.#createServerRun(permit),
    );
    if (!this.#canRetry()) throw this.#createLostError(result.reason);
    return false;
  }

  /** Keys of the parts of the prompt that requests share. */
  get #promptParts(): string[] {
    return this.#req.prefix.map((part) =>
      getPromptPartKey(this.#pin.service, part)
    );
  }

  /** Passes a response on, and records when its body begins. */
  #observeBegin(response: BackendResponse): BackendResponse {
    const onBegin = () => {
      this.#hasAnswerBegun = true;
      this.#options.promptPartGuard.recordAnswerBegun(this.#promptParts);
    };
    return { ...response, chunks: observeFirstChunk(response.chunks, onBegin) };
  }

  #createServerRun({ server }: ServerPermit): ServerRun {
    return {
      req: this.#req.request,
      server,
      unprovenParts: this.#hasAnswerBegun ? [] : this.#promptParts,
      isOwed: false,
    };
  }

  /**
   * Records an attempt that ended without a response. Throws if the request
   * must not be retried.
   */
  async #handleNoResponse(
    result: Exclude<AttemptResult, { kind: "response" }>,
    permit: ServerPermit,
  ): Promise<void> {
    const { crashDetector } = this.#options;
    if (result.kind === "aborted") {
      this.#possibleRuns += 1;
      if (!this.#callerResponse.disconnected.aborted) {
        crashDetector.recordSilence(this.#createServerRun(permit));
      }
      if (this.#requestAbort.signal.aborted) throw this.#createAbortedError();
      this.#logAttemptFailure(
        "attempt_silent",
        permit,
        "the server says nothing",
      );
      return;
    }
    const event = result.kind === "notRun" ? "attempt_not_run" : "attempt_lost";
    this.#logAttemptFailure(event, permit, result.reason);
    if (result.kind === "notRun") {
      this.#refusals += 1;
      if (this.#refusals < MAX_REFUSALS) return;
      if (this.#possibleRuns > 0) throw this.#createLostError(result.reason);
      throw this.#createNoCapacityError(result.reason, result.retryAfterMs);
    }
    this.#possibleRuns += 1;
    await crashDetector.recordConnectionLoss(this.#createServerRun(permit));
    if (!this.#canRetry()) throw this.#createLostError(result.reason);
  }

  /**
   * Whether the request may be sent to another server: the route allows a
   * retry, attempts remain, and what was already sent to the caller can be
   * continued.
   */
  #canRetry(): boolean {
    const { route } = this.#req;
    return isRetryable(route) && this.#possibleRuns < route.maxAttempts &&
      this.#forwarder.canContinue && !this.#pin.isAmbiguous &&
      !this.#callerResponse.disconnected.aborted;
  }

  /**
   * Aborts the attempt at a silent server, but only if another server may run
   * the request. Otherwise it keeps waiting, as the server may still respond.
   */
  #abandonSilentServer(): void {
    const { route } = this.#req;
    const canRetryElsewhere = isRetryable(route) &&
      this.#forwarder.canContinue &&
      this.#possibleRuns + 1 < route.maxAttempts;
    if (canRetryElsewhere) this.#attemptAbort.abort();
  }

  /**
   * Whether another gateway may serve the request, because this one reaches no
   * server. An answer that has begun can't be continued there.
   */
  get #mustRelay(): boolean {
    const { reachability } = this.#options;
    return reachability.isCutOff && !this.#callerResponse.headSent &&
      (this.#possibleRuns === 0 || this.#canRetry());
  }

  /**
   * Passes the request on to another gateway. Returns false if the request should be
   * retried here, because servers are within reach again.
   */
  async #relayToGateway(): Promise<boolean> {
    const { gatewayRelay, reachability, metrics } = this.#options;
    if (this.#req.isRelayed) {
      if (this.#possibleRuns > 0) {
        throw this.#createLostError(
          "no backend server is within reach any more",
        );
      }
      this.#callerResponse.sendLocal(CANNOT_SERVE_RELAYED);
      return true;
    }
    const result = await gatewayRelay.send({
      request: this.#req.request,
      keyHeaders: this.#req.keyHeaders,
      remainingMs: this.#remainingMs,
      resumeAfter: this.#req.resumeAfter,
      useNewConnection: this.#req.route.kind === RequestKind.NON_IDEMPOTENT,
      signal: this.#requestAbort.signal,
    });
    metrics.count(MetricName.relayedRequests, 1, { outcome: result.kind });
    switch (result.kind) {
      case "aborted":
        this.#possibleRuns += 1;
        throw this.#createAbortedError();
      case "lost":
        this.#possibleRuns += 1;
        throw this.#createLostError(result.reason);
      case "notRun":
        if (!reachability.isCutOff) return false;
        throw this.#createNoCapacityError(
          `this gateway reaches none, ${result.reason}`,
          NO_SERVER_RETRY_AFTER_MS,
        );
      case "response":
        this.#possibleRuns += 1;
        await this.#forwardRelayed(result);
        return true;
    }
  }

  async #forwardRelayed(
    { response, isGatewayThere }: Extract<RelayResult, { kind: "response" }>,
  ): Promise<void> {
    const { route, resumeAfter } = this.#req;
    const options = { maxBytes: this.#options.maxAnswerBytes };
    const forwarder = route.kind === RequestKind.STREAM
      ? new StreamForwarder(this.#callerResponse, resumeAfter, options)
      : new ChunkForwarder(this.#callerResponse, options);
    const result = await forwarder.forward(
      response,
      this.#requestAbort.signal,
      isGatewayThere,
    );
    if (result.kind === "done") return;
    if (this.#requestAbort.signal.aborted) throw this.#createAbortedError();
    throw this.#createLostError(result.reason);
  }

  /** Acquires a permit; undefined if this gateway reaches no server. */
  async #acquirePermit(): Promise<ServerPermit | undefined> {
    const { pool, clock, metrics, promptPartGuard } = this.#options;
    const startMs = clock.getMonotonicMs();
    for (;;) {
      if (this.#requestAbort.signal.aborted) throw this.#createAbortedError();
      if (this.#mustRelay) return undefined;
      this.#throwIfPoisoned();
      const maxWaitMs = getLimitedWaitMs({
        targetMs: this.#req.route.latencyTargetMs,
        waitedMs: clock.getMonotonicMs() - startMs,
      });
      const permit = await pool.acquire(
        {
          ...this.#createPermitRequest(),
          waitedMs: clock.getMonotonicMs() - startMs,
        },
        maxWaitMs,
      );
      const waitedMs = clock.getMonotonicMs() - startMs;
      if (permit !== undefined) {
        if (this.#requestAbort.signal.aborted) {
          permit.release();
          throw this.#createAbortedError();
        }
        metrics.time(MetricName.placeWaitMs, waitedMs);
        if (isSlowNow(permit.server)) metrics.count(MetricName.slowSends);
        promptPartGuard.recordStart(this.#promptParts);
        return permit;
      }
      const queued = await this.#waitOrQueue(waitedMs);
      if (queued !== undefined) {
        promptPartGuard.recordStart(this.#promptParts);
        return queued;
      }
    }
  }

  /**
   * Called when no slot is free. Waits for one (undefined: try again), returns
   * a permit to queue at a server, or throws if the predicted wait is too long.
   */
  async #waitOrQueue(waitedMs: number): Promise<ServerPermit | undefined> {
    const { pool, serviceTimes, metrics } = this.#options;
    const { route } = this.#req;
    const { service } = this.#pin;
    const leastBusy = pool.tryGetLeastBusy(this.#createPermitRequest());
    if (leastBusy === undefined) {
      return this.#waitForLimited(waitedMs);
    }
    const decision = decideAdmission({
      busy: leastBusy.busy - leastBusy.batch,
      slots: leastBusy.slots,
      serviceMs: serviceTimes.getMeanMs(service) * getServiceFactor(leastBusy),
      targetMs: route.latencyTargetMs,
      waitedMs,
      isWithheld: isWithheld(leastBusy),
      firstMs: pool.speeds.tryGetFirstMs(service, leastBusy),
    });
    if (isWithheld(leastBusy) && decision.kind === "wait") {
      metrics.count(MetricName.slowHolds);
    }
    switch (decision.kind) {
      case "send":
        return pool.tryAcquireQueued(this.#createPermitRequest());
      case "wait":
        await pool.waitForChange(
          getRecheckMs(decision.ms, leastBusy),
          this.#createWaiter(),
        );
        return undefined;
      case "refuse":
        // A stream that has begun can only go on at servers of its version, and
        // is worth more than one that may begin later.
        if (this.#pin.softwareVersion !== undefined) {
          return pool.tryAcquireQueued(this.#createPermitRequest());
        }
        throw this.#createNoCapacityError(
          `${leastBusy.busy} requests, ${leastBusy.batch} of jobs, on ${leastBusy.slots} ` +
            `slots at the least busy${describeSlowness(leastBusy)}`,
          decision.retryAfterMs,
        );
    }
  }

  /**
   * Called when no server without a limit is known. Throws if the others take no
   * request in time.
   */
  async #waitForLimited(waitedMs: number): Promise<undefined> {
    const { pool } = this.#options;
    const refusedMs = pool.tryGetLimitedMs(this.#createPermitRequest());
    if (refusedMs === undefined) return this.#waitForServer(waitedMs);
    const targetMs = this.#req.route.latencyTargetMs;
    if (refusedMs === 0 && getLimitedWaitMs({ targetMs, waitedMs }) > 0) {
      await pool.waitForChange(LIMITED_RETRY_MS, this.#createWaiter());
      return;
    }
    throw this.#createNoCapacityError(
      "all of its servers take as much as they allow",
      Math.max(LIMITED_RETRY_MS, refusedMs),
    );
  }

  /**
   * Called when no server is known or all of them have been tried. In the
   * latter case, allows them again; otherwise waits for a server to register.
   */
  async #waitForServer(waitedMs: number): Promise<undefined> {
    const { pool } = this.#options;
    const { route } = this.#req;
    const { service, softwareVersion } = this.#pin;
    const servers = pool.getServers(service, softwareVersion);
    if (this.#excluded.size > 0 && servers.length > 0) {
      this.#excluded.clear();
      return;
    }
    if (softwareVersion !== undefined) {
      const mayHaveRun = this.#possibleRuns > 0;
      throw this.#pin.createVersionGoneError(
        mayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
      );
    }
    const decision = decideAdmission({
      busy: 1,
      slots: 1,
      serviceMs: Infinity,
      targetMs: route.latencyTargetMs,
      waitedMs,
    });
    if (decision.kind !== "wait") {
      throw this.#createNoCapacityError(
        "none is registered",
        NO_SERVER_RETRY_AFTER_MS,
      );
    }
    await pool.waitForChange(decision.ms, this.#createWaiter());
  }

  /**
   * Throws REQUEST_POISONED or PROMPT_PART_POISONED if too many servers crashed
   * during the request, or under a part of its prompt.
   */
  #throwIfPoisoned(): void {
    const { crashDetector, promptPartGuard } = this.#options;
    const { request } = this.#req;
    const mayHaveRun = this.#possibleRuns > 0;
    const verdict = mayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    promptPartGuard.throwIfRejected(this.#promptParts, {
      verdict,
      hasRetryAfter: !mayHaveRun,
    });
    const rejectionMs = crashDetector.getRejectionMs(request);
    if (rejectionMs === 0) return;
    throw new ServingError(MessageCode.REQUEST_POISONED, {
      verdict,
      parameters: { servers: crashDetector.getCrashCount(request) },
      retryAfterS: mayHaveRun ? undefined : rejectionMs / 1_000,
    });
  }

  #createWaiter(): FairWaiter {
    const { organisation, priority, arrivedMs, route } = this.#req;
    return {
      organisation,
      priority,
      inTimeUntilMs: arrivedMs + route.latencyTargetMs,
    };
  }

  #createPermitRequest(): PermitRequest {
    const { clock, serviceTimes } = this.#options;
    const { request, route, arrivedMs } = this.#req;
    return {
      service: this.#pin.service,
      softwareVersion: this.#pin.softwareVersion,
      kind: LoadKind.online,
      prefix: this.#req.prefix,
      excluded: this.#excluded,
      organisation: this.#req.organisation,
      need: createOnlineNeed({
        request: request.requestId,
        serviceMs: serviceTimes.getMeanMs(this.#pin.service),
        targetMs: route.latencyTargetMs,
        waitedMs: clock.getMonotonicMs() - arrivedMs,
        bodyBytes: request.body.length,
      }),
      onSilent: () => this.#abandonSilentServer(),
    };
  }

  #createNoCapacityError(reason: string, retryAfterMs: number | undefined) {
    if (this.#possibleRuns > 0) return this.#createLostError(reason);
    const { random } = this.#options;
    const waitMs = jitterRetryAfter(
      retryAfterMs ?? NO_SERVER_RETRY_AFTER_MS,
      random.getFraction(),
    );
    return new ServingError(MessageCode.NO_ROOM, {
      verdict: Verdict.NOT_RUN,
      parameters: { service: this.#pin.service, reason },
      retryAfterS: waitMs / 1_000,
    });
  }

  #createLostError(reason: string): ServingError {
    return new ServingError(MessageCode.ANSWER_LOST, {
      verdict: Verdict.MAY_HAVE_RUN,
      parameters: { reason },
    });
  }

  #createAbortedError(): ServingError {
    const { disconnected } = this.#callerResponse;
    const ownCode = this.#req.graceEnd.aborted
      ? MessageCode.HOST_STOPPING
      : MessageCode.DEADLINE_PASSED;
    const code = disconnected.aborted ? MessageCode.CALLER_LEFT : ownCode;
    return new ServingError(code, {
      verdict: this.#possibleRuns > 0 ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
    });
  }

  #fail(thrown: unknown): void {
    const error = thrown instanceof ServingError
      ? thrown
      : this.#createLostError(String(thrown));
    const { log, metrics, dialect, clock } = this.#options;
    if (error.verdict === Verdict.NOT_RUN) this.#req.onNotRun?.();
    metrics.count(MetricName.ownAnswers, 1, { code: getCodeName(error.code) });
    log.info("request_failed", {
      request: this.#req.request.requestId,
      route: this.#req.route.name,
      code: getCodeName(error.code),
      verdict: Verdict[error.verdict] ?? "",
      reason: error.message,
      runs: this.#possibleRuns,
      refusals: this.#refusals,
      last: this.#lastReason,
      after_ms: Math.round(clock.getMonotonicMs() - this.#req.arrivedMs),
      begun: this.#callerResponse.headSent,
    });
    if (this.#callerResponse.headSent) this.#callerResponse.abort();
    else this.#callerResponse.sendLocal(dialect.createErrorResponse(error));
  }

  #logAttemptFailure(
    event: string,
    permit: ServerPermit,
    reason: string,
  ): void {
    this.#lastReason = `${permit.server.id}: ${reason}`;
    this.#options.log.info(event, {
      request: this.#req.request.requestId,
      server: permit.server.id,
      version: permit.server.softwareVersion,
      busy: permit.server.busy,
      slots: permit.server.slots,
      ...describeSpeed(permit.server),
      reason,
      runs: this.#possibleRuns,
    });
  }
}

function createForwarder(
  req: OnlineRequest,
  callerResponse: CallerResponse,
  { maxBytes, onEvents }: {
    readonly maxBytes: number;
    readonly onEvents: () => void;
  },
): ResponseForwarder {
  const options = { maxBytes };
  if (req.route.kind === RequestKind.STREAM) {
    return req.route.resumable
      ? new EventForwarder(callerResponse, req.resumeAfter, onEvents, options)
      : new StreamForwarder(callerResponse, req.resumeAfter, options);
  }
  return isRetryable(req.route)
    ? new BufferedForwarder(callerResponse, options)
    : new ChunkForwarder(callerResponse, options);
}
