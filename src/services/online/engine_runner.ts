/**
 * Runs a completion to its end: places it on an engine, relays its events and,
 * after a failure, resumes it on another engine if the verdict allows a retry.
 */
import type { FleetView } from "../../membership/mod.ts";
import type { QuantileTracker, RetryBudget } from "../../policy/mod.ts";
import {
  type AttemptOutcome,
  type CompletionBody,
  createRejectedOutcome,
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
import type { PromptPartGuard } from "../common/prompt_part_guard.ts";
import type { BackendPool } from "./backend_pool.ts";
import type { Placement } from "./placement.ts";
import type { CrashDetector } from "./crash_detector.ts";

/** A completion to run on an engine. */
export interface CompletionRequest {
  readonly requestId: string;
  readonly path: string;
  readonly body: CompletionBody;
  readonly deployment: string;
  readonly adapter: string;
  readonly caller: string;
  /** Identifies repetitions of the request. */
  readonly fingerprint: string;
  /** Keys of the parts of the prompt that other requests may share. */
  readonly promptParts: readonly string[];
  /** Text of the prompt; online requests that share it prefer the same server. */
  readonly affinity: string;
  readonly isNonIdempotent: boolean;
  /** Monotonic milliseconds. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** Receives the events of a completion. */
export interface CompletionSink extends EventSink {
  /** Output of all attempts so far. */
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
  /** A batch item was preempted; its progress is in the sink. */
  | { readonly kind: "preempted" };

/** Maximum number of attempts of one request, for any kind of failure. */
const MAX_ATTEMPTS = 5;

/** Timeout for the response headers and between events, in milliseconds. */
const EVENT_TIMEOUT_MS = 10_000;

/** Status codes of an engine that refused a request without running it. */
const BUSY_STATUSES: readonly number[] = [429, 503];

/** Runs the completions of one entry host. */
export class EngineRunner {
  readonly #view: FleetView;
  readonly #pool: BackendPool;
  readonly #detector: CrashDetector;
  readonly #promptPartGuard: PromptPartGuard;
  readonly #retryBudget: RetryBudget;
  readonly #clock: Clock;
  readonly #metrics: Metrics;

  constructor(options: {
    view: FleetView;
    pool: BackendPool;
    crashDetector: CrashDetector;
    promptPartGuard: PromptPartGuard;
    retryBudget: RetryBudget;
    clock: Clock;
    metrics: Metrics;
  }) {
    this.#view = options.view;
    this.#pool = options.pool;
    this.#detector = options.crashDetector;
    this.#promptPartGuard = options.promptPartGuard;
    this.#retryBudget = options.retryBudget;
    this.#clock = options.clock;
    this.#metrics = options.metrics;
  }

  /**
   * Runs an online completion. Throws a ServingError whose verdict says whether
   * the completion may have run.
   */
  async runCompletion(
    request: CompletionRequest,
    sink: CompletionSink,
  ): Promise<EngineOutcome> {
    const excluded = new Set<string>();
    let verdict: Verdict = Verdict.NOT_RUN;
    let reason = "";
    this.#retryBudget.deposit();
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const placement = await this.#place(request, excluded, verdict);
      const outcome = await this.runAttempt(request, sink, placement);
      if (outcome.kind === "done") return outcome;
      if (outcome.kind === "aborted") {
        throw createAbortError(request.signal, Verdict.MAY_HAVE_RUN);
      }
      if (
        outcome.kind === "answered" && !BUSY_STATUSES.includes(outcome.status)
      ) {
        return outcome;
      }
      verdict = Math.max(verdict, getVerdict(outcome));
      reason = getFailureReason(outcome);
      excluded.add(placement.server.name);
      if (excluded.size >= this.#getServerCount(request)) excluded.clear();
      this.#throwUnlessRetryable(request, outcome, { verdict, reason });
    }
    throw new ServingError(MessageCode.ANSWER_LOST, {
      verdict,
      parameters: { reason },
    });
  }

  /** Runs one attempt on a placement, and releases the placement at its end. */
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
    let hasBegun = false;
    this.#promptPartGuard.recordStart(request.promptParts);
    const progress = sink.log.getProgress();
    const hadBegun = !sink.log.isEmpty || progress.tokens > 0;
    const answer = await runEngineAttempt({
      address: placement.server.announcement.address,
      path: request.path,
      body: request.body,
      progress,
      requestId: request.requestId,
      // On a kept-alive connection, a server that was already down appears to
      // have crashed during the request. A suspect would be refused for that.
      usesNewConnection: request.isNonIdempotent ||
        this.#view.suspicions.isSuspect(request.fingerprint),
      isContinuation: hadBegun,
      stallTimeoutMs: Math.min(EVENT_TIMEOUT_MS, remainingMs),
      signal,
    }, {
      onEvents: (blocks, count) => {
        if (!hasBegun && count > 0) {
          this.#promptPartGuard.recordAnswerBegun(request.promptParts);
        }
        hasBegun ||= count > 0;
        if (count > 0) gapMeter.recordEvents(count);
        return sink.onEvents(blocks, count);
      },
      whenReady: () => sink.whenReady(),
    });
    timer.cancel();
    const end = hadBegun ? rejectError(answer) : answer;
    const isServerFailure = end.kind === "broken" ||
      (end.kind === "answered" && end.status >= 500);
    const isExpected = request.signal.aborted || placement.isPreempted ||
      deadlineAbort.signal.aborted;
    // The entry may learn of the end of a server's lease before that of the
    // connection.
    const isServerLost = end.kind === "aborted" && !isExpected;
    if (end.kind === "done") this.#detector.recordSuccess(request.fingerprint);
    if (isServerLost || mayHaveCrashedServer(end)) {
      await this.#detector.recordConnectionLoss(
        request.fingerprint,
        placement,
        {
          request: request.requestId,
          parts: hasBegun ? [] : request.promptParts,
        },
      );
    }
    placement.release({ isServerFailure });
    if (!isServerLost) return end;
    return {
      kind: "broken",
      reason: "the backend server is gone",
      verdict: Verdict.MAY_HAVE_RUN,
      isConnectionLost: true,
    };
  }

  /** Throws REQUEST_POISONED if the request ran during too many crashes. */
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
    this.#promptPartGuard.throwIfRejected(request.promptParts, {
      verdict,
      hasRetryAfter: verdict === Verdict.NOT_RUN,
    });
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

  /** Throws unless the request may be retried. */
  #throwUnlessRetryable(
    request: CompletionRequest,
    outcome: AttemptOutcome,
    options: { verdict: Verdict; reason: string },
  ): void {
    const { verdict, reason } = options;
    if (request.isNonIdempotent && verdict !== Verdict.NOT_RUN) {
      throw new ServingError(MessageCode.ANSWER_LOST, {
        verdict,
        parameters: { reason },
      });
    }
    const isFailover = outcome.kind === "broken" && outcome.isConnectionLost;
    this.#metrics.count(isFailover ? MetricName.resumes : MetricName.retries);
    // A failover moves the load of a lost server to another one, so it is not
    // charged. Any other retry adds load and is charged to the retry budget.
    if (isFailover || this.#retryBudget.tryWithdraw()) return;
    throw new ServingError(MessageCode.RETRY_BUDGET_SPENT, {
      verdict,
      parameters: { reason },
      retryAfterS: 1,
    });
  }
}

/**
 * An engine's error can't follow the output of another one, so it fails the attempt
 * to continue it. A refusal remains one.
 */
function rejectError(outcome: AttemptOutcome): AttemptOutcome {
  return outcome.kind === "answered" && !BUSY_STATUSES.includes(outcome.status)
    ? createRejectedOutcome(`status ${outcome.status}`)
    : outcome;
}

function getVerdict(outcome: AttemptOutcome): Verdict {
  switch (outcome.kind) {
    case "broken":
      return outcome.verdict;
    case "answered":
      return BUSY_STATUSES.includes(outcome.status)
        ? Verdict.NOT_RUN
        : Verdict.RAN;
    case "done":
      return Verdict.RAN;
    case "aborted":
      return Verdict.MAY_HAVE_RUN;
    default:
      return assertNever(outcome);
  }
}

/**
 * Whether the request may have crashed the server: the connection was lost
 * after the request had reached the server.
 */
function mayHaveCrashedServer(outcome: AttemptOutcome): boolean {
  return outcome.kind === "broken" && outcome.isConnectionLost &&
    outcome.verdict !== Verdict.NOT_RUN;
}

function getFailureReason(outcome: AttemptOutcome): string {
  if (outcome.kind === "broken") return outcome.reason;
  return outcome.kind === "answered"
    ? `status ${outcome.status}`
    : outcome.kind;
}

/** Raises the verdict of an error to at least that of earlier attempts. */
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

/** Measures the time between the events of one attempt. */
class TokenGapMeter {
  readonly #clock: Clock;
  readonly #tracker: QuantileTracker;
  #lastMs: number | undefined;

  constructor(clock: Clock, tracker: QuantileTracker) {
    this.#clock = clock;
    this.#tracker = tracker;
  }

  /** Records events that arrived together. */
  recordEvents(count: number): void {
    const nowMs = this.#clock.getMonotonicMs();
    if (this.#lastMs !== undefined) {
      this.#tracker.note((nowMs - this.#lastMs) / count);
    }
    this.#lastMs = nowMs;
  }
}
