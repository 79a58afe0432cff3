/**
 * How callers and backend servers write what the fleet has to know: an
 * abstract class for each side, so that a deployment with its own names needs
 * no change elsewhere.
 */
import type { Route, SubmitJob } from "../schema/mod.ts";
import type { ServingError } from "../sys/errors.ts";
import type { IncomingHttpHeaders } from "../sys/http.ts";

/** What a request says of itself besides its target. */
export interface RequestMetadata {
  /** The caller's name for this attempt; empty when it gave none. */
  readonly requestId: string;
  /** Time that the caller will wait, in milliseconds; undefined without. */
  readonly deadlineMs: number | undefined;
  /** Ids of the prompt's parts that other requests share, in order. */
  readonly prefix: readonly string[];
  /** Number of the last event that the caller has; undefined from the start. */
  readonly resumeAfter: number | undefined;
}

/** A call about a job. */
export type JobCall =
  | {
    readonly kind: "results";
    readonly job: string;
    readonly after: number;
    readonly waitMs: number;
  }
  | { readonly kind: "body"; readonly job: string; readonly item: string }
  | { readonly kind: "end"; readonly job: string };

/** One result of a job, as text. */
export interface JobItemResult {
  readonly id: string;
  readonly isDone: boolean;
  readonly text: string;
}

/** A page of a job's results. */
export interface JobPage {
  readonly total: number;
  readonly after: number;
  readonly results: readonly JobItemResult[];
}

/** An answer of the fleet itself. */
export interface LocalResponse {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | string;
}

/** How callers speak. */
export abstract class CallerDialect {
  /** Reads what a request says of itself. */
  abstract readRequestMetadata(headers: IncomingHttpHeaders): RequestMetadata;

  /** A call about a job, or undefined when the target is none. */
  abstract tryReadJobCall(
    method: string,
    target: string,
    headers: IncomingHttpHeaders,
  ): JobCall | undefined;

  /** Decodes a submitted job; BODY_MALFORMED when it can't be read. */
  abstract decodeJob(
    body: Buffer,
    headers: IncomingHttpHeaders,
    route: Route,
  ): SubmitJob;

  abstract createJobPage(page: JobPage): LocalResponse;

  /** The answer of a request that ends with an error of the fleet. */
  abstract createErrorResponse(error: ServingError): LocalResponse;
}

/** What a backend server is told with a request. */
export interface BackendRequestMetadata {
  /** Id of the server that is meant. */
  readonly server: string;
  /** Time that is left for the answer, in milliseconds. */
  readonly remainingMs: number;
  /** Number of the last event that was passed on; undefined from the start. */
  readonly resumeAfter: number | undefined;
}

/** What a backend server's answer says besides the answer itself. */
export interface BackendResponseMetadata {
  /** It did not run the request and never will. */
  readonly isNotRun: boolean;
  /** Another server than the one that was meant. */
  readonly isWrongServer: boolean;
  /** Request that it answers; empty when it doesn't say. */
  readonly requestId: string;
  /** Requests running and waiting there; undefined when it doesn't say. */
  readonly load: number | undefined;
}

/** How backend servers speak. */
export abstract class BackendDialect {
  /** Lower-case names of headers that only the fleet may set. */
  abstract readonly reservedHeaders: ReadonlySet<string>;

  /** Headers for a backend server, names and values in turn. */
  abstract createHeaders(metadata: BackendRequestMetadata): string[];

  /** Header that carries a request's id. */
  abstract readonly requestIdHeader: string;

  abstract readResponseMetadata(
    status: number,
    headers: IncomingHttpHeaders,
  ): BackendResponseMetadata;
}
