import { type Outcome } from "../schema/mod.ts";
import { ServingError } from "../sys/errors.ts";
import type { ServerResponse } from "../sys/http.ts";
/** Sends a recorded outcome as the answer of a request. */
export declare function sendOutcome(res: ServerResponse, outcome: Outcome): void;
/** A failure as the recorded outcome of a request. */
export declare function createFailure(error: ServingError): Outcome;
