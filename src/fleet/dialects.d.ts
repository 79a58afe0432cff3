/**
 * Abstract classes for the protocols of callers and of backend servers. A
 * deployment with its own header names, paths or formats implements these two
 * classes and needs no changes elsewhere.
 */
import type { Route, SubmitJob } from "../schema/mod.ts";
import type { ServingError } from "../sys/errors.ts";
import type { IncomingHttpHeaders } from "../sys/http.ts";
/** Metadata that a caller sends with a request. */
export interface RequestMetadata {
  /** Id that the caller gave to this attempt; empty if it gave none. */
  readonly requestId: string;
  /** Timeout of the caller, in milliseconds; undefined if it set none. */
  readonly timeoutMs: number | undefined;
  /** Ids of the parts of the prompt's shared prefix, in order. */
  readonly prefix: readonly string[];
  /**
   * Number of the last event that the caller has received; undefined to start
   * from the beginning.
   */
  readonly resumeAfter: number | undefined;
  /**
   * Id of the attempt that brought the stream's first event, if the caller takes
   * a stream up again; otherwise empty.
   */
  readonly resumedRequest: string;
}
/** A request for a job's results or an item's body, or to end a job. */
export type JobRequest = {
  readonly kind: "results";
  readonly job: string;
  readonly after: number;
  readonly waitMs: number;
} | {
  readonly kind: "body";
  readonly job: string;
  readonly item: string;
} | {
  readonly kind: "end";
  readonly job: string;
};
/** Result of one item of a job. */
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
/** A response that was generated here rather than by a backend server. */
export interface LocalResponse {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | string;
}
/** Decodes requests of callers and encodes the responses generated here. */
export declare abstract class CallerDialect {
  /** Reads the metadata from a request's headers. */
  abstract readRequestMetadata(headers: IncomingHttpHeaders): RequestMetadata;
  /** Decodes a request about a job; undefined if it is another request. */
  abstract tryDecodeJobRequest(
    method: string,
    target: string,
    headers: IncomingHttpHeaders,
  ): JobRequest | undefined;
  /** Decodes a submitted job; throws BODY_MALFORMED if the body is invalid. */
  abstract decodeJob(
    body: Buffer,
    headers: IncomingHttpHeaders,
    route: Route,
  ): SubmitJob;
  abstract createJobPage(page: JobPage): LocalResponse;
  /** Creates the response to a request that failed with `error`. */
  abstract createErrorResponse(error: ServingError): LocalResponse;
}
/** Metadata sent to a backend server with a request. */
export interface BackendRequestMetadata {
  /** Id of the server that the request is for. */
  readonly server: string;
  /** Time remaining for the response, in milliseconds. */
  readonly remainingMs: number;
  /**
   * Number of the last event received from an earlier attempt; undefined to
   * start from the beginning.
   */
  readonly resumeAfter: number | undefined;
}
/** Metadata that a backend server sends with a response. */
export interface BackendResponseMetadata {
  /** The server didn't execute the request and never will. */
  readonly isNotRun: boolean;
  /** The status is a success, but the server did not put its stamp on it. */
  readonly isUnprovenSuccess: boolean;
  /**
   * Callers take the status for a promise that the request didn't run, but the
   * server doesn't say so.
   */
  readonly isUnprovenRefusal: boolean;
  /** The response comes from a server other than the one addressed. */
  readonly isWrongServer: boolean;
  /** The server leaves and must get no further requests. */
  readonly isLeaving: boolean;
  /**
   * Requests a second that the server takes from all processes together;
   * undefined if it names no limit.
   */
  readonly limitPerS: number | undefined;
  /** Id of the request that it responds to; empty if the server sent none. */
  readonly requestId: string;
  /** Requests running and queued there; undefined if the server sent none. */
  readonly load: number | undefined;
}
/** Encodes metadata for backend servers and decodes theirs. */
export declare abstract class BackendDialect {
  /**
   * Lower-case names of headers that only the fleet may set. They are removed
   * from callers' requests and from job items.
   */
  abstract readonly reservedHeaders: ReadonlySet<string>;
  /** Creates headers for a backend server, as alternating names and values. */
  abstract createHeaders(metadata: BackendRequestMetadata): string[];
  /** Name of the header with the request id. */
  abstract readonly requestIdHeader: string;
  abstract readResponseMetadata(
    status: number,
    headers: IncomingHttpHeaders,
  ): BackendResponseMetadata;
}
