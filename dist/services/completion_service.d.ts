import type { FleetView } from "../membership/mod.ts";
import { type CompletionBody, EventLog } from "../relay/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { type Metrics } from "../sys/metrics.ts";
import { type CallerRequest } from "./caller_request.ts";
import type { EngineRunner } from "./engine_runner.ts";
import type { KeyedStore } from "./keyed_store.ts";
/** Paths of completions. */
export declare const COMPLETION_PATHS: readonly string[];
/** Parses a completion's body. */
export declare function parseCompletion(bytes: Uint8Array): CompletionBody;
/** Stable text of a prompt; the same under any key and sampling. */
export declare function getPromptText(body: CompletionBody): string;
/** What the engine is asked, so that a resent request is known again. */
export declare function getFingerprint(workload: string, body: CompletionBody): string;
/** Serves completions. */
export declare class CompletionService {
    #private;
    constructor(options: {
        view: FleetView;
        runner: EngineRunner;
        keys: KeyedStore;
        clock: Clock;
        metrics: Metrics;
        bodyBytes: number;
    });
    /** Serves one request; errors are thrown as ServingError. */
    serve(call: CallerRequest): Promise<void>;
}
/** A whole answer in the shape of the stream's last event. */
export declare function createWholeAnswer(log: EventLog): Record<string, unknown>;
