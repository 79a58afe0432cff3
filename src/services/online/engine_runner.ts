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
import type { DeathWatch } from "./death_watch.ts";

/** A completion to run. */
export interface EngineRun {
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
const STALL_MS = 10_000;

const BUSY_STATUSES: readonly number[] = [429, 503];

/** Runs completions of one entry. */
export class EngineRunner {
  readonly #view: FleetView;
  readonly #pool: BackendPool;
  readonly #deaths: DeathWatch;
  readonly #budget: RetryBudget;
  readonly #clock: Clock;
  readonly #metrics: Metrics;

  constructor(options: {
    view: FleetView;
    pool: BackendPool;
    deaths: DeathWatch;
    budget: RetryBudget;
    clock: Clock;
    metrics: Metrics;
  }) {
    this.#view = options.view;
    this.#pool = options.pool;
    this.#deaths = options.deaths;
    this.#budget = options.budget;
    this.#clock = options.clock;
    this.#metrics = options.metrics;
  }

  /** Runs an online completion; throws a ServingError with its verdict. */
  async run(run: EngineRun, sink: CompletionSink): Promise<EngineOutcome> {
    const excluded = new Set<string>();
    let verdict: Verdict = Verdict.NOT_RUN;
    let reason = "";
    this.#budget.deposit();
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const placement = await this.#place(run, excluded, verdict);
      const end = await this.runAttempt(run, sink, placement);
      if (end.kind === "done") return end;
      if (end.kind === "aborted") {
        throw createAbortError(run.signal, Verdict.MAY_HAVE_RUN);
      }
      if (end.kind === "answered" && !BUSY_STATUSES.includes(end.status)) {
        return end;
      }
      verdict = Math.max(verdict, getVerdict(end));
      reason = getEndReason(end);
      excluded.add(placement.server.name);
      if (excluded.size >= this.#getServerCount(run)) excluded.clear();
      this.#requireRetry(run, end, { verdict, reason });
    }
    throw new ServingError(MessageCode.ANSWER_LOST, {
      verdict,
      parameters: { reason },
    });
  }

  /** Runs one attempt on a placement, which is released at its end. */
  async runAttempt(
    run: EngineRun,
    sink: CompletionSink,
    placement: Placement,
  ): Promise<AttemptOutcome> {
    const gaps = new GapMeter(this.#clock, placement.server.tokenGap);
    const leftMs = Math.max(1, run.deadlineMs - this.#clock.getMonotonicMs());
    const late = new AbortController();
    const timer = this.#clock.startTimer(leftMs, () => late.abort());
    const signal = AbortSignal.any([
      run.signal,
      placement.signal,
      late.signal,
    ]);
    const end = await runEngineAttempt({
      address: placement.server.announcement.address,
      path: run.path,
      body: run.body,
      progress: sink.log.getProgress(),
      requestId: run.requestId,
      // On a connection that was kept, a dead server looks as if it had died
      // under the request; a suspect would be refused for it.
      usesNewConnection: run.isNonIdempotent ||
        this.#view.suspicions.isSuspect(run.fingerprint),
      stallTimeoutMs: Math.min(STALL_MS, leftMs),
      signal,
    }, {
      onEvents: (events, count) => {
        gaps.note(count);
        return sink.onEvents(events, count);
      },
      whenReady: () => sink.whenReady(),
    });
    timer.cancel();
    const isFailure = end.kind === "broken" ||
      (end.kind === "answered" && end.status >= 500);
    if (end.kind === "done") this.#deaths.noteFinished(run.fingerprint);
    if (mayHaveKilled(end)) {
      await this.#deaths.noteBroken(run.fingerprint, placement);
    }
    placement.release({ isFailure });
    const isWanted = run.signal.aborted || placement.gaveWay ||
      late.signal.aborted;
    if (end.kind !== "aborted" || isWanted) return end;
    // The server left the view under the request.
    return {
      kind: "broken",
      reason: "the backend server is gone",
      verdict: Verdict.MAY_HAVE_RUN,
      isConnectionLost: false,
    };
  }

  /** Throws when the request has ended too many servers. */
  requireNotRefused(fingerprint: string, verdict: Verdict): void {
    const { suspicions } = this.#view;
    if (!suspicions.isPoisoned(fingerprint)) return;
    throw new ServingError(MessageCode.REQUEST_POISONED, {
      verdict,
      parameters: { servers: suspicions.getServerFailureCount(fingerprint) },
    });
  }

  async #place(
    run: EngineRun,
    excluded: ReadonlySet<string>,
    verdict: Verdict,
  ): Promise<Placement> {
    this.requireNotRefused(run.fingerprint, verdict);
    try {
      return await this.#pool.place({
        deployment: run.deployment,
        model: run.body.model,
        adapter: run.adapter,
        affinity: run.affinity,
        caller: run.caller,
        deadlineMs: run.deadlineMs,
        excluded,
        isSuspect: this.#view.suspicions.isSuspect(run.fingerprint),
        signal: run.signal,
      });
    } catch (error) {
      throw raiseVerdict(error, verdict);
    }
  }

  #getServerCount(run: EngineRun): number {
    return this.#view.backends
      .getServing(run.deployment, this.#clock.getMonotonicMs()).length;
  }

  /** Throws unless the request may run again. */
  #requireRetry(
    run: EngineRun,
    end: AttemptOutcome,
    options: { verdict: Verdict; reason: string },
  ): void {
    const { verdict, reason } = options;
    if (run.isNonIdempotent && verdict !== Verdict.NOT_RUN) {
      throw new ServingError(MessageCode.ANSWER_LOST, {
        verdict,
        parameters: { reason },
      });
    }
    const isMove = end.kind === "broken" && end.isConnectionLost;
    this.#metrics.count(isMove ? MetricName.resumes : MetricName.retries);
    // Work of a server that is gone moves with its load; any other retry adds
    // load and has to be earned.
    if (isMove || this.#budget.tryWithdraw()) return;
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
function mayHaveKilled(end: AttemptOutcome): boolean {
  return end.kind === "broken" && end.isConnectionLost &&
    end.verdict !== Verdict.NOT_RUN;
}

function getEndReason(end: AttemptOutcome): string {
  if (end.kind === "broken") return end.reason;
  return end.kind === "answered" ? `status ${end.status}` : end.kind;
}

/** An error with at least the verdict that earlier attempts left. */
export function raiseVerdict(error: unknown, verdict: Verdict): unknown {
  if (!(error instanceof ServingError) || error.verdict >= verdict) {
    return error;
  }
  const raised = new ServingError(error.code, {
    verdict,
    retryAfterS: error.retryAfterS,
    cause: error,
  });
  raised.message = error.message;
  return raised;
}

/** Measures the time between events of one attempt. */
class GapMeter {
  readonly #clock: Clock;
  readonly #gap: QuantileTracker;
  #lastMs: number | undefined;

  constructor(clock: Clock, gap: QuantileTracker) {
    this.#clock = clock;
    this.#gap = gap;
  }

  /** Some events arrived together. */
  note(count: number): void {
    const nowMs = this.#clock.getMonotonicMs();
    if (this.#lastMs !== undefined) {
      this.#gap.note((nowMs - this.#lastMs) / count);
    }
    this.#lastMs = nowMs;
  }
}
