/**
 * Runs a completion until it ends: places it, relays its events, and after a
 * failure resumes it elsewhere as far as its verdict allows.
 */
import type { FleetView } from "../membership/mod.ts";
import type { RetryBudget } from "../policy/mod.ts";
import { type AttemptEnd, type CompletionBody, type EventLog, type EventSink } from "../relay/mod.ts";
import { Verdict } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { type Metrics } from "../sys/metrics.ts";
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
export type EngineOutcome = {
    readonly kind: "done";
} | {
    readonly kind: "answered";
    readonly status: number;
    readonly body: Buffer;
    readonly contentType: string;
}
/** A batch item that gave way; its progress is in the sink. */
 | {
    readonly kind: "gave way";
};
/** Runs completions of one entry. */
export declare class EngineRunner {
    #private;
    constructor(options: {
        view: FleetView;
        pool: BackendPool;
        deaths: DeathWatch;
        budget: RetryBudget;
        clock: Clock;
        metrics: Metrics;
    });
    /** Runs an online completion; throws a ServingError with its verdict. */
    run(run: EngineRun, sink: CompletionSink): Promise<EngineOutcome>;
    /** Runs one attempt on a placement, which is released at its end. */
    runAttempt(run: EngineRun, sink: CompletionSink, placement: Placement): Promise<AttemptEnd>;
    /** Throws when the request has ended too many servers. */
    requireNotRefused(fingerprint: string, verdict: Verdict): void;
}
/** An error with at least the verdict that earlier attempts left. */
export declare function raiseVerdict(error: unknown, verdict: Verdict): unknown;
