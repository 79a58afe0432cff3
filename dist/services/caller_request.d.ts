/** What every request of a caller carries, read from its headers. */
import { type Workload } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { IncomingMessage, ServerResponse } from "../sys/http.ts";
import type { Random } from "../sys/random.ts";
/** Headers that callers set. */
export declare const CallerHeader: {
    readonly caller: "papayatally-caller";
    readonly deadlineMs: "papayatally-deadline-ms";
    readonly idempotent: "papayatally-idempotent";
    readonly idempotencyKey: "idempotency-key";
    readonly requestId: "x-request-id";
};
/** Time that a request may take when nothing else is said. */
export declare const DEFAULT_TIMEOUT_MS = 60000;
/** A caller's request in progress. */
export interface CallerRequest {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly id: string;
    readonly caller: string;
    /** Empty without a key. */
    readonly key: string;
    readonly isMarkedNonIdempotent: boolean;
    /** Milliseconds that the caller gives; undefined when it says nothing. */
    readonly timeoutMs: number | undefined;
    readonly startMs: number;
    /** Aborted when the caller leaves. */
    readonly signal: AbortSignal;
}
/** Reads a request's headers; a bad one is thrown as BAD_PARAMETER. */
export declare function createCallerRequest(req: IncomingMessage, res: ServerResponse, options: {
    clock: Clock;
    random: Random;
}): CallerRequest;
/** When the request's answer is no longer wanted, in monotonic milliseconds. */
export declare function getDeadlineMs(call: CallerRequest, workload: Workload | undefined): number;
