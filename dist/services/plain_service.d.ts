import type { FleetView } from "../membership/mod.ts";
import type { RetryBudget } from "../policy/mod.ts";
import { type Outcome, type Workload } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { type IncomingHttpHeaders } from "../sys/http.ts";
import type { BackendPool } from "./backend_pool.ts";
import { type CallerRequest } from "./caller_request.ts";
import type { DeathWatch } from "./death_watch.ts";
import type { KeyedStore } from "./keyed_store.ts";
/** A request to a plain service. */
export interface ServiceRun {
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    readonly body: Uint8Array;
    readonly deployment: string;
    readonly caller: string;
    readonly fingerprint: string;
    readonly isNonIdempotent: boolean;
    /** Monotonic milliseconds. */
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
}
/** Serves plain services' callers. */
export declare class PlainService {
    #private;
    constructor(options: {
        view: FleetView;
        pool: BackendPool;
        keys: KeyedStore;
        deaths: DeathWatch;
        budget: RetryBudget;
        clock: Clock;
        bodyBytes: number;
    });
    /** Serves one request; errors are thrown as ServingError. */
    serve(call: CallerRequest, workload: Workload): Promise<void>;
    /** Runs a request to its whole answer, for keyed requests and batch items. */
    runWhole(run: ServiceRun): Promise<Outcome>;
}
