import type { FleetView } from "../membership/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { type Random } from "../sys/random.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { StateClient } from "./state_client.ts";
/** Path below which jobs live. */
export declare const JOBS_PATH = "/v1/jobs";
/** Bounds on a job. */
export interface JobLimits {
    readonly lineBytes: number;
    readonly jobItems: number;
    readonly jobBytes: number;
}
/** Serves callers' jobs. */
export declare class JobService {
    #private;
    constructor(options: {
        view: FleetView;
        state: StateClient;
        groupCount: number;
        clock: Clock;
        random: Random;
        limits: JobLimits;
    });
    /** Serves one request below {@linkcode JOBS_PATH}. */
    serve(call: CallerRequest): Promise<void>;
}
