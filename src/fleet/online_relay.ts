/**
 * Online requests from their arrival to their end: a place at a backend
 * server, the answer passed on as it comes, another attempt where that is
 * allowed, and a refusal at once for what can't be served.
 */
import { LoadKind } from "../membership/mod.ts";
import {
  decideAdmission,
  isRepeatable,
  spreadRetryAfter,
} from "../policy/mod.ts";
import {
  MessageCode,
  RequestKind,
  type Route,
  Verdict,
} from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { getCodeName, ServingError } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";
import type { Random } from "../sys/random.ts";
import {
  type AnswerPasser,
  BufferedPasser,
  EventPasser,
  StreamPasser,
} from "./answer_passers.ts";
import type {
  AttemptResult,
  BackendCaller,
  BackendRequest,
  BackendResponse,
} from "./backend_call.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { CallerDialect } from "./dialects.ts";
import type { PermitRequest, ServerPermit, ServerPool } from "./server_pool.ts";
import type { ServiceTimes } from "./service_times.ts";

/** A request whose route is known and whose body has arrived. */
export interface OnlineRequest {
  readonly route: Route;
  readonly service: string;
  readonly request: BackendRequest;
  readonly prefix: readonly string[];
  readonly resumeAfter: number | undefined;
  readonly arrivedMs: number;
  /** Time that the caller waits, in milliseconds; undefined without. */
  readonly deadlineMs: number | undefined;
}

/** How an {@linkcode OnlineRelay} is made. */
export interface OnlineRelayOptions {
  readonly pool: ServerPool;
  readonly caller: BackendCaller;
  readonly dialect: CallerDialect;
  readonly times: ServiceTimes;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Servers that may refuse one request before the caller is told: each costs
 * a round trip of some milliseconds out of an objective of hundreds.
 */
const MAX_REFUSALS = 4;

/**
 * Time after which a caller may come back when no server is known, in
 * milliseconds: processes that were all killed serve again within that.
 */
const NO_SERVER_RETRY_MS = 1_000;

/** Relays the online requests of one process. */
export class OnlineRelay {
  readonly #options: OnlineRelayOptions;

  constructor(options: OnlineRelayOptions) {
    this.#options = options;
  }

  /** Serves one request; never throws. */
  async serve(req: OnlineRequest, answer: CallerAnswer): Promise<void> {
    const run = new OnlineRun(req, answer, this.#options);
    await run.serve();
  }
}

/** One request under way. */
class OnlineRun {
  readonly #req: OnlineRequest;
  readonly #answer: CallerAnswer;
  readonly #options: OnlineRelayOptions;
  readonly #passer: AnswerPasser;
  readonly #excluded = new Set<string>();
  readonly #stop = new AbortController();
  /** Stops the attempt under way, and not the request. */
  #attemptStop = new AbortController();
  /** Attempts that a server may have run. */
  #runs = 0;
  #refusals = 0;
  #lastReason = "";

  constructor(
    req: OnlineRequest,
    answer: CallerAnswer,
    options: OnlineRelayOptions,
  ) {
    this.#req = req;
    this.#answer = answer;
    this.#options = options;
    this.#passer = createPasser(req, answer);
  }

  get #endMs(): number {
    const { arrivedMs, deadlineMs, route } = this.#req;
    return arrivedMs + Math.min(deadlineMs ?? Infinity, route.timeoutMs);
  }

  get #leftMs(): number {
    return this.#endMs - this.#options.clock.getMonotonicMs();
  }

  async serve(): Promise<void> {
    const stop = () => {
      this.#stop.abort();
      this.#attemptStop.abort();
    };
    this.#answer.gone.addEventListener("abort", stop);
    const timer = this.#options.clock.startTimer(
      Math.max(0, this.#leftMs),
      stop,
    );
    this.#options.metrics.count(MetricName.requests);
    try {
      await this.#tryUntilDone();
    } catch (error) {
      this.#fail(error);
    } finally {
      timer.cancel();
      this.#answer.gone.removeEventListener("abort", stop);
    }
  }

  async #tryUntilDone(): Promise<void> {
    for (;;) {
      const place = await this.#findPlace();
      const isDone = await this.#attempt(place).finally(() => place.release());
      if (isDone) return;
      this.#excluded.add(place.server.id);
      this.#options.metrics.count(MetricName.retries);
    }
  }

  /** One attempt; false when another may follow. */
  async #attempt(place: ServerPermit): Promise<boolean> {
    const { clock, times, caller, metrics } = this.#options;
    const startMs = clock.getMonotonicMs();
    this.#attemptStop = new AbortController();
    const head = await caller.send({
      request: this.#req.request,
      permit: place,
      remainingMs: this.#leftMs,
      resumeAfter: this.#passer.resumeAfter,
      useNewConnection: this.#req.route.kind === RequestKind.NON_IDEMPOTENT,
      signal: this.#attemptStop.signal,
    });
    if (head.kind !== "answer") {
      this.#noteUnanswered(head, place);
      return false;
    }
    const isDone = await this.#pass(head.response, place);
    if (isDone) {
      const tookMs = clock.getMonotonicMs() - startMs;
      times.record(this.#req.service, tookMs);
      metrics.time(MetricName.requestMs, tookMs);
    }
    return isDone;
  }

  async #pass(answer: BackendResponse, place: ServerPermit): Promise<boolean> {
    this.#runs += 1;
    const isFailure = answer.status >= 500 || answer.status === 429;
    if (isFailure && this.#mayRunAgain()) {
      answer.body.resume();
      this.#note("attempt_failed", place, `status ${answer.status}`);
      return false;
    }
    const end = await this.#passer.pass(answer, this.#attemptStop.signal);
    if (end.kind === "done") return true;
    if (this.#stop.signal.aborted) throw this.#createLate();
    this.#options.pool.recordFailure(place.server.id);
    this.#note("answer_broken", place, end.reason);
    if (!this.#mayRunAgain()) throw this.#createLost(end.reason);
    return false;
  }

  /** Throws when the request may not be tried again. */
  #noteUnanswered(
    head: Exclude<AttemptResult, { kind: "answer" }>,
    place: ServerPermit,
  ): void {
    if (head.kind === "aborted") {
      this.#runs += 1;
      if (this.#stop.signal.aborted) throw this.#createLate();
      this.#note("attempt_silent", place, "the server says nothing");
      return;
    }
    const event = head.kind === "notRun" ? "attempt_not_run" : "attempt_lost";
    this.#note(event, place, head.reason);
    if (head.kind === "notRun") {
      this.#refusals += 1;
      if (this.#refusals < MAX_REFUSALS) return;
      if (this.#runs > 0) throw this.#createLost(head.reason);
      throw this.#createNoRoom(head.reason, head.retryAfterMs);
    }
    this.#runs += 1;
    if (!this.#mayRunAgain()) throw this.#createLost(head.reason);
  }

  /** Whether another server may run the request, as far as it has come. */
  #mayRunAgain(): boolean {
    const { route } = this.#req;
    return isRepeatable(route) && this.#runs < route.maxAttempts &&
      this.#passer.canGoOn && !this.#answer.gone.aborted;
  }

  /** A silent server may still answer what nobody else may run. */
  #leaveSilent(): void {
    const { route } = this.#req;
    const mayMove = isRepeatable(route) && this.#passer.canGoOn &&
      this.#runs + 1 < route.maxAttempts;
    if (mayMove) this.#attemptStop.abort();
  }

  async #findPlace(): Promise<ServerPermit> {
    const { pool, clock, metrics } = this.#options;
    const startMs = clock.getMonotonicMs();
    for (;;) {
      if (this.#stop.signal.aborted) throw this.#createLate();
      const place = pool.tryAcquire(this.#createPlaceRequest());
      const waitedMs = clock.getMonotonicMs() - startMs;
      if (place !== undefined) {
        metrics.time(MetricName.placeWaitMs, waitedMs);
        return place;
      }
      const queued = await this.#waitOrQueue(waitedMs);
      if (queued !== undefined) return queued;
    }
  }

  /** No slot is free: waits for one, queues at a server, or refuses. */
  async #waitOrQueue(waitedMs: number): Promise<ServerPermit | undefined> {
    const { pool, times } = this.#options;
    const { service, route } = this.#req;
    const least = pool.tryGetLeastBusy(this.#createPlaceRequest());
    if (least === undefined) return this.#waitForServer(waitedMs);
    const decision = decideAdmission({
      busy: least.busy - least.batch,
      slots: least.slots,
      serviceMs: times.getMs(service),
      targetMs: route.latencyTargetMs,
      waitedMs,
    });
    switch (decision.kind) {
      case "send":
        return pool.tryQueue(this.#createPlaceRequest());
      case "wait":
        await pool.waitForChange(decision.ms);
        return undefined;
      case "refuse":
        throw this.#createNoRoom(
          `${least.busy} requests, ${least.batch} of jobs, on ${least.slots} ` +
            "slots at the least busy",
          decision.retryAfterMs,
        );
    }
  }

  /** No server is known, or the request has been to all of them. */
  async #waitForServer(waitedMs: number): Promise<undefined> {
    const { pool } = this.#options;
    const { route, service } = this.#req;
    if (this.#excluded.size > 0 && pool.getServers(service).length > 0) {
      this.#excluded.clear();
      return;
    }
    const decision = decideAdmission({
      busy: 1,
      slots: 1,
      serviceMs: Infinity,
      targetMs: route.latencyTargetMs,
      waitedMs,
    });
    if (decision.kind !== "wait") {
      throw this.#createNoRoom("none is registered", NO_SERVER_RETRY_MS);
    }
    await pool.waitForChange(decision.ms);
  }

  #createPlaceRequest(): PermitRequest {
    return {
      service: this.#req.service,
      kind: LoadKind.online,
      prefix: this.#req.prefix,
      excluded: this.#excluded,
      onSilent: () => this.#leaveSilent(),
    };
  }

  #createNoRoom(reason: string, retryAfterMs: number | undefined) {
    if (this.#runs > 0) return this.#createLost(reason);
    const { random } = this.#options;
    const waitMs = spreadRetryAfter(
      retryAfterMs ?? NO_SERVER_RETRY_MS,
      random.getFraction(),
    );
    return new ServingError(MessageCode.NO_ROOM, {
      verdict: Verdict.NOT_RUN,
      parameters: { service: this.#req.service, reason },
      retryAfterS: waitMs / 1_000,
    });
  }

  #createLost(reason: string): ServingError {
    return new ServingError(MessageCode.ANSWER_LOST, {
      verdict: Verdict.MAY_HAVE_RUN,
      parameters: { reason },
    });
  }

  #createLate(): ServingError {
    const code = this.#answer.gone.aborted
      ? MessageCode.CALLER_LEFT
      : MessageCode.DEADLINE_PASSED;
    return new ServingError(code, {
      verdict: this.#runs > 0 ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
    });
  }

  #fail(thrown: unknown): void {
    const error = thrown instanceof ServingError
      ? thrown
      : this.#createLost(String(thrown));
    const { log, metrics, dialect, clock } = this.#options;
    metrics.count(MetricName.ownAnswers, 1, { code: getCodeName(error.code) });
    log.info("request_failed", {
      request: this.#req.request.requestId,
      route: this.#req.route.name,
      code: getCodeName(error.code),
      verdict: Verdict[error.verdict] ?? "",
      reason: error.message,
      runs: this.#runs,
      refusals: this.#refusals,
      last: this.#lastReason,
      after_ms: Math.round(clock.getMonotonicMs() - this.#req.arrivedMs),
      begun: this.#answer.hasBegun,
    });
    if (this.#answer.hasBegun) this.#answer.cut();
    else this.#answer.sendOwn(dialect.createErrorResponse(error));
  }

  #note(event: string, place: ServerPermit, reason: string): void {
    this.#lastReason = `${place.server.id}: ${reason}`;
    this.#options.log.info(event, {
      request: this.#req.request.requestId,
      server: place.server.id,
      busy: place.server.busy,
      slots: place.server.slots,
      reason,
      runs: this.#runs,
    });
  }
}

function createPasser(req: OnlineRequest, answer: CallerAnswer): AnswerPasser {
  if (req.route.kind === RequestKind.STREAM) {
    return req.route.resumable
      ? new EventPasser(answer, req.resumeAfter)
      : new StreamPasser(answer, req.resumeAfter);
  }
  return isRepeatable(req.route)
    ? new BufferedPasser(answer)
    : new StreamPasser(answer, undefined);
}
