/**
 * Runs a completion until it ends: places it, relays its events, and after a
 * failure resumes it elsewhere as far as its verdict allows.
 */
import type { FleetView } from "../../membership/mod.ts";
import type { QuantileTracker, RetryBudget } from "../../policy/mod.ts";
import {
  type AttemptOutcome,
  type CompletionBody,
  type EventLog,
  type EventSink,
  runEngineAttempt,
} from "../../relay/mod.ts";
import { MessageCode, Verdict } from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import {
  assertNever,
  createAbortError,
  ServingError,
} from "../../sys/errors.ts";
import { MetricName, type Metrics } from "../../sys/metrics.ts";
import type { BackendPool } from "./backend_pool.ts";
import type { Placement } from "./placement.ts";
import type { CrashDetector } from "./crash_detector.ts";

/** A completion to run. */
export interface CompletionRequest {
  readonly requestId: string;
  readonly path: string;
  readonly body: CompletionBody;
  readonly deployment: string;
  readonly adapter: string;
  readonly caller: string;
  readonly fingerprint: string;
  readonly affinity: string;
  readonly isNonIdempotent: boolean;
  /** Monotonic milliseconds. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** Takes what a completion produces. */
export interface CompletionSink extends EventSink {
  /** What was delivered so far, by all attempts. */
  readonly log: EventLog;
}

/** How a completion ended without an error. */
export type EngineOutcome =
  | { readonly kind: "done" }
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly body: Buffer;
    readonly contentType: string;
  }
  /** A batch item that gave way; its progress is in the sink. */
  | { readonly kind: "gave way" };

/** Attempts of one request, whatever they fail of. */
const MAX_ATTEMPTS = 5;

/** Longest wait for an engine's next event, in milliseconds. */
const EVENT_TIMEOUT_MS = 10_000;

const BUSY_STATUSES: readonly number[] = [429, 503];

/** Runs completions of one entry. */
export class EngineRunner {
  readonly #view: FleetView;
  readonly #pool: BackendPool;
  readonly #detector: CrashDetector;
  readonly #budget: RetryBudget;
  readonly #clock: Clock;
  readonly #metrics: Metrics;

  constructor(options: {
    view: FleetView;
    pool: BackendPool;
    crashDetector: CrashDetector;
    budget: RetryBudget;
    clock: Clock;
    metrics: Metrics;
  }) {
    this.#view = options.view;
    this.#pool = options.pool;
    this.#detector = options.crashDetector;
    this.#budget = options.budget;
    this.#clock = options.clock;
    this.#metrics = options.metrics;
  }

  /** Runs an online completion; throws a ServingError with its verdict. */
  async runCompletion(
    request: CompletionRequest,
    sink: CompletionSink,
  ): Promise<EngineOutcome> {
    const excluded = new Set<string>();
    let verdict: Verdict = Verdict.NOT_RUN;
    let reason = "";
    this.#budget.deposit();
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const placement = await this.#place(request, excluded, verdict);
      const end = await this.runAttempt(request, sink, placement);
      if (end.kind === "done") return end;
      if (end.kind === "aborted") {
        throw createAbortError(request.signal, Verdict.MAY_HAVE_RUN);
      }
      if (end.kind === "answered" && !BUSY_STATUSES.includes(end.status)) {
        return end;
      }
      verdict = Math.max(verdict, getVerdict(end));
      reason = getFailureReason(end);
      excluded.add(placement.server.name);
      if (excluded.size >= this.#getServerCount(request)) excluded.clear();
      this.#throwUnlessRetryable(request, end, { verdict, reason });
    }
    throw new ServingError(MessageCode.ANSWER_LOST, {
      verdict,
      parameters: { reason },
    });
  }

  /** Runs one attempt on a placement, which is released at its end. */
  async runAttempt(
    request: CompletionRequest,
    sink: CompletionSink,
    placement: Placement,
  ): Promise<AttemptOutcome> {
    const gapMeter = new TokenGapMeter(this.#clock, placement.server.tokenGap);
    const remainingMs = Math.max(
      1,
      request.deadlineMs - this.#clock.getMonotonicMs(),
    );
    const deadlineAbort = new AbortController();
    const timer = this.#clock.startTimer(
      remainingMs,
      () => deadlineAbort.abort(),
    );
    const signal = AbortSignal.any([
      request.signal,
      placement.signal,
      deadlineAbort.signal,
    ]);
    const end = await runEngineAttempt({
      address: placement.server.announcement.address,
      path: request.path,
      body: request.body,
      progress: sink.log.getProgress(),
      requestId: request.requestId,
      // On a connection that was kept, a dead server looks as if it had died
      // under the request; a suspect would be refused for it.
      usesNewConnection: request.isNonIdempotent ||
        this.#view.suspicions.isSuspect(request.fingerprint),
      stallTimeoutMs: Math.min(EVENT_TIMEOUT_MS, remainingMs),
      signal,
    }, {
      onEvents: (events, count) => {
        gapMeter.recordEvents(count);
        return sink.onEvents(events, count);
      },
      whenReady: () => sink.whenReady(),
    });
    timer.cancel();
    const isServerFailure = end.kind === "broken" ||
      (end.kind === "answered" && end.status >= 500);
    if (end.kind === "done") this.#detector.recordSuccess(request.fingerprint);
    if (mayHaveCrashedServer(end)) {
      await this.#detector.recordConnectionLoss(request.fingerprint, placement);
    }
    placement.release({ isServerFailure: isServerFailure });
    const isExpected = request.signal.aborted || placement.isPreempted ||
      deadlineAbort.signal.aborted;
    if (end.kind !== "aborted" || isExpected) return end;
    // The server left the view under the request.
    return {
      kind: "broken",
      reason: "the backend server is gone",
      verdict: Verdict.MAY_HAVE_RUN,
      isConnectionLost: false,
    };
  }

  /** Throws when the request has ended too many servers. */
  throwIfPoisoned(fingerprint: string, verdict: Verdict): void {
    const { suspicions } = this.#view;
    if (!suspicions.isPoisoned(fingerprint)) return;
    throw new ServingError(MessageCode.REQUEST_POISONED, {
      verdict,
      parameters: { servers: suspicions.getServerFailureCount(fingerprint) },
    });
  }

  async #place(
    request: CompletionRequest,
    excluded: ReadonlySet<string>,
    verdict: Verdict,
  ): Promise<Placement> {
    this.throwIfPoisoned(request.fingerprint, verdict);
    try {
      return await this.#pool.place({
        deployment: request.deployment,
        model: request.body.model,
        adapter: request.adapter,
        affinity: request.affinity,
        caller: request.caller,
        deadlineMs: request.deadlineMs,
        excluded,
        isSuspect: this.#view.suspicions.isSuspect(request.fingerprint),
        signal: request.signal,
      });
    } catch (error) {
      throw withMinVerdict(error, verdict);
    }
  }

  #getServerCount(request: CompletionRequest): number {
    return this.#view.backends
      .getServing(request.deployment, this.#clock.getMonotonicMs()).length;
  }

  /** Throws unless the request may run again. */
  #throwUnlessRetryable(
    request: CompletionRequest,
    end: AttemptOutcome,
    options: { verdict: Verdict; reason: string },
  ): void {
    const { verdict, reason } = options;
    if (request.isNonIdempotent && verdict !== Verdict.NOT_RUN) {
      throw new ServingError(MessageCode.ANSWER_LOST, {
        verdict,
        parameters: { reason },
      });
    }
    const isFailover = end.kind === "broken" && end.isConnectionLost;
    this.#metrics.count(isFailover ? MetricName.resumes : MetricName.retries);
    // Work of a server that is gone moves with its load; any other retry adds
    // load and has to be earned.
    if (isFailover || this.#budget.tryWithdraw()) return;
    throw new ServingError(MessageCode.RETRY_BUDGET_SPENT, {
      verdict,
      parameters: { reason },
      retryAfterS: 1,
    });
  }
}

function getVerdict(end: AttemptOutcome): Verdict {
  switch (end.kind) {
    case "broken":
      return end.verdict;
    case "answered":
      return BUSY_STATUSES.includes(end.status) ? Verdict.NOT_RUN : Verdict.RAN;
    case "done":
      return Verdict.RAN;
    case "aborted":
      return Verdict.MAY_HAVE_RUN;
    default:
      return assertNever(end);
  }
}

/** Whether the request may have ended the server: it had reached it. */
function mayHaveCrashedServer(end: AttemptOutcome): boolean {
  return end.kind === "broken" && end.isConnectionLost &&
    end.verdict !== Verdict.NOT_RUN;
}

function getFailureReason(end: AttemptOutcome): string {
  if (end.kind === "broken") return end.reason;
  return end.kind === "answered" ? `status ${end.status}` : end.kind;
}

/** An error with at least the verdict that earlier attempts left. */
export function withMinVerdict(error: unknown, minVerdict: Verdict): unknown {
  if (!(error instanceof ServingError) || error.verdict >= minVerdict) {
    return error;
  }
  const copy = new ServingError(error.code, {
    verdict: minVerdict,
    retryAfterS: error.retryAfterS,
    cause: error,
  });
  copy.message = error.message;
  return copy;
}

/** Measures the time between events of one attempt. */
class TokenGapMeter {
  readonly #clock: Clock;
  readonly #tracker: QuantileTracker;
  #lastMs: number | undefined;

  constructor(clock: Clock, tracker: QuantileTracker) {
    this.#clock = clock;
    this.#tracker = tracker;
  }

  /** Some events arrived together. */
  recordEvents(count: number): void {
    const nowMs = this.#clock.getMonotonicMs();
    if (this.#lastMs !== undefined) {
      this.#tracker.note((nowMs - this.#lastMs) / count);
    }
    this.#lastMs = nowMs;
  }
}
