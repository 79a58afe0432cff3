import { type HttpAgent, type HttpResponse } from "../sys/http.ts";
import type { BackendDialect } from "./dialects.ts";
import type { PoolServer, ServerPermit } from "./server_pool.ts";
import type { ServerReachability } from "./server_reachability.ts";
/** A request to be sent to a backend server. */
export interface BackendRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query, as received from the caller or stored with the item. */
  readonly target: string;
  /** Headers to forward, as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}
/** Options of {@linkcode BackendClient.send}. */
export interface AttemptOptions {
  readonly request: BackendRequest;
  readonly permit: ServerPermit;
  readonly remainingMs: number;
  readonly resumeAfter: number | undefined;
  /** Opens a new connection instead of reusing an idle one. */
  readonly useNewConnection: boolean;
  readonly signal: AbortSignal;
}
/**
 * A response whose body is read through {@linkcode BackendResponse.chunks},
 * which reports each chunk as activity of the server.
 */
export interface BackendResponse extends HttpResponse {
  readonly chunks: AsyncIterable<Buffer>;
}
/** Result of sending a request, up to the head of the response. */
export type AttemptResult =
  /** The server responded; the body is still to be read. */
  | {
    readonly kind: "response";
    readonly response: BackendResponse;
  }
  /** The server certainly did not execute the request. */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    /** Value of the server's Retry-After; undefined if it sent none. */
    readonly retryAfterMs: number | undefined;
  }
  /** No usable response; the server may have executed the request. */
  | {
    readonly kind: "lost";
    readonly reason: string;
  }
  /** The signal was aborted. */
  | {
    readonly kind: "aborted";
  };
/** What a client of the servers reports about its connections. */
type BackendClientReachability = Pick<
  ServerReachability,
  "recordConnected" | "recordUnreachable"
>;
/** Sends requests to backend servers. */
export declare class BackendClient {
  #private;
  constructor(options: {
    dialect: BackendDialect;
    agent: HttpAgent;
    onLoad: (server: string, total: number) => void;
    onWrongServer: (server: string) => void;
    onLeaving: (server: PoolServer) => void;
    onLimit: (permit: ServerPermit, limitPerS: number | undefined) => void;
    /** Called after each attempt without a response. */
    onUnreachable: (server: string) => void;
    /** Called in addition if no connection could be made. */
    onNotConnected?: (server: string) => void;
    onActivity: (server: string) => void;
    reachability?: BackendClientReachability;
    /** Whether nothing reaches an address; simulates a network partition. */
    isPartitioned?: (address: string) => boolean;
  });
  /** Sends a request and waits for the head of the response. */
  send(options: AttemptOptions): Promise<AttemptResult>;
}
export {};
