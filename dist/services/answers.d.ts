import { type ServingError } from "../sys/errors.ts";
import type { ServerResponse } from "../sys/http.ts";
/** The body of an error answer. */
export declare function createProblem(error: ServingError): Record<string, unknown>;
/** Answers with JSON. */
export declare function sendJson(res: ServerResponse, status: number, value: unknown, headers?: Record<string, string>): void;
/** Answers with an error, or ends a stream that has begun with one. */
export declare function sendProblem(res: ServerResponse, thrown: unknown): void;
/** A raw answer for a request whose headers were too large to parse. */
export declare function createRawHeaderProblem(limit: number): string;
