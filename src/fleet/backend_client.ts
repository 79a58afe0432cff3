/**
 * Sends a request to a backend server once, and classifies the result by whether
 * the request may be retried.
 */
import { Verdict } from "../schema/mod.ts";
import { BodyChunks } from "../sys/body_chunks.ts";
import { getReason } from "../sys/errors.ts";
import {
  discardBody,
  type HttpAgent,
  type HttpResponse,
  HttpSendError,
  sendHttp,
} from "../sys/http.ts";
import type { Clock } from "../sys/clock.ts";
import { ResponseTimer, type ResponseTimes } from "./response_timer.ts";
import type { BackendDialect } from "./dialects.ts";
import {
  type ByteCounter,
  getHeaderBytes,
  RemoteByteKind,
} from "./remote_bytes.ts";
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
  /** Name of the caller's organisation; undefined if it has none. */
  readonly organisation?: string | undefined;
  /** Priority of the organisation or else of the route; 0 is the highest. */
  readonly priority?: number;
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
  | { readonly kind: "response"; readonly response: BackendResponse }
  /** The server certainly did not execute the request. */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    /** Value of the server's Retry-After; undefined if it sent none. */
    readonly retryAfterMs: number | undefined;
  }
  /** No usable response; the server may have executed the request. */
  | { readonly kind: "lost"; readonly reason: string }
  /** The signal was aborted. */
  | { readonly kind: "aborted" };

/** What a client of the servers reports about its connections. */
type BackendClientReachability = Pick<
  ServerReachability,
  "recordConnected" | "recordUnreachable"
>;

const MS_PER_S = 1_000;

/** Longest wait of a server that is passed on to callers, in milliseconds. */
const MAX_RETRY_AFTER_MS = 3_600_000;

const DECIMAL_PATTERN = /^\d+(\.\d*)?$/;

/** Sends requests to backend servers. */
export class BackendClient {
  readonly #dialect: BackendDialect;
  readonly #agent: HttpAgent;
  readonly #onLoad: (server: string, total: number) => void;
  readonly #onWrongServer: (server: string) => void;
  readonly #onLeaving: (server: PoolServer) => void;
  readonly #onLimit: (
    permit: ServerPermit,
    limitPerS: number | undefined,
  ) => void;
  readonly #onUnreachable: (server: string) => void;
  readonly #onNotConnected: (server: string) => void;
  readonly #onActivity: (server: string) => void;
  readonly #onSlowdown: (server: string, slowdown: number) => void;
  readonly #onTimes: (permit: ServerPermit, times: ResponseTimes) => void;
  readonly #clock: Pick<Clock, "getMonotonicMs"> | undefined;
  readonly #reachability: BackendClientReachability | undefined;
  readonly #onBytes: ByteCounter;
  readonly #isPartitioned: (address: string) => boolean;

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
    /** Called with the slowdown that a server states; 1 is usual. */
    onSlowdown?: (server: string, slowdown: number) => void;
    /** Called with the times of each response that was read to its end. */
    onTimes?: (permit: ServerPermit, times: ResponseTimes) => void;
    /** Measures the times; without it, none are. */
    clock?: Pick<Clock, "getMonotonicMs">;
    reachability?: BackendClientReachability;
    /** Called with the bytes sent to and received from a data centre. */
    onBytes?: ByteCounter;
    /** Whether nothing reaches an address; simulates a network partition. */
    isPartitioned?: (address: string) => boolean;
  }) {
    this.#dialect = options.dialect;
    this.#agent = options.agent;
    this.#onLoad = options.onLoad;
    this.#onWrongServer = options.onWrongServer;
    this.#onLeaving = options.onLeaving;
    this.#onLimit = options.onLimit;
    this.#onUnreachable = options.onUnreachable;
    this.#onNotConnected = options.onNotConnected ?? (() => {});
    this.#onActivity = options.onActivity;
    this.#onSlowdown = options.onSlowdown ?? (() => {});
    this.#onTimes = options.onTimes ?? (() => {});
    this.#clock = options.clock;
    this.#reachability = options.reachability;
    this.#onBytes = options.onBytes ?? (() => {});
    this.#isPartitioned = options.isPartitioned ?? (() => false);
  }

  /** Sends a request and waits for the head of the response. */
  async send(options: AttemptOptions): Promise<AttemptResult> {
    const { request, permit } = options;
    const headers = this.#createHeaders(options);
    this.#onBytes(
      permit.server.dataCentre,
      RemoteByteKind.requests,
      request.target.length + getHeaderBytes(headers) + request.body.length,
    );
    try {
      const response = await sendHttp({
        address: permit.server.address,
        method: request.method,
        path: request.target,
        headers,
        body: request.body,
        // A response to a request without an id can't be told from others that
        // are late on the same connection.
        usesNewConnection: options.useNewConnection || request.requestId === "",
        requestId: request.requestId,
        agent: this.#agent,
        signal: options.signal,
        onConnect: () => this.#reachability?.recordConnected(),
        isPartitioned: this.#isPartitioned(permit.server.address),
      });
      return this.#classifyResponse(response, options);
    } catch (error) {
      return this.#classifyError(error, options);
    }
  }

  #createHeaders(
    { request, permit, remainingMs, resumeAfter }: AttemptOptions,
  ) {
    return [
      ...request.headers,
      ...this.#dialect.createHeaders({
        server: permit.server.id,
        remainingMs: Math.max(1, Math.floor(remainingMs)),
        resumeAfter,
        organisation: request.organisation,
      }),
      "Content-Length",
      String(request.body.length),
    ];
  }

  #classifyResponse(
    response: HttpResponse,
    options: AttemptOptions,
  ): AttemptResult {
    const { request, permit } = options;
    const { id, dataCentre } = permit.server;
    this.#onActivity(id);
    const countBytes = (bytes: number) =>
      this.#onBytes(dataCentre, RemoteByteKind.responses, bytes);
    countBytes(getHeaderBytes(response.body.rawHeaders));
    const meta = this.#dialect.readResponseMetadata(
      response.status,
      response.headers,
    );
    // A response that names no request may be bytes that a faulty server sent in
    // addition to an earlier one, so neither what it says of the request nor what
    // it says of the server counts.
    if (meta.requestId === "" && request.requestId !== "") {
      response.body.destroy();
      return { kind: "lost", reason: "the answer names no request" };
    }
    // Also if the response is for another request or its body never ends: what
    // the server says of itself holds for all that follow.
    if (meta.isLeaving) this.#onLeaving(permit.server);
    const isMismatched = meta.requestId !== request.requestId;
    // Only the response to this request says that the server has no limit now.
    const isLimitKnown = !isMismatched || meta.limitPerS !== undefined;
    if (isLimitKnown && !meta.isWrongServer) {
      this.#onLimit(permit, meta.limitPerS);
    }
    if (isMismatched) {
      // The response belongs to another request, so responses on this connection
      // can no longer be matched to requests. Destroying the body closes the
      // connection.
      response.body.destroy();
      return {
        kind: "lost",
        reason: "the answer belongs to another request",
      };
    }
    if (meta.load !== undefined) this.#onLoad(permit.server.id, meta.load);
    if (meta.slowdown !== undefined && !meta.isWrongServer) {
      this.#onSlowdown(permit.server.id, meta.slowdown);
    }
    if (meta.isWrongServer) this.#onWrongServer(permit.server.id);
    if (meta.isUnprovenSuccess) {
      response.body.destroy();
      return {
        kind: "lost",
        reason: `the server answered ${response.status} without its proof`,
      };
    }
    if (meta.isUnprovenRefusal) {
      discardBody(response.body);
      return {
        kind: "lost",
        reason: `the server answered ${response.status} and may have run it`,
      };
    }
    if (!meta.isNotRun) {
      const timer = this.#createTimer(response.status, meta.slowdown, options);
      let bytes = 0;
      const chunks = new BodyChunks(
        response.body,
        (chunk) => {
          bytes += chunk.length;
          this.#onActivity(id);
          timer?.recordChunk();
        },
        () => timer?.recordEnd(),
      );
      response.body.on("close", () => countBytes(bytes));
      return { kind: "response", response: { ...response, chunks } };
    }
    discardBody(response.body);
    return {
      kind: "notRun",
      reason: `the server answered ${response.status} and did not run it`,
      retryAfterMs: readRetryAfter(response.headers["retry-after"]),
    };
  }

  /** Times responses that show how fast the server works. */
  #createTimer(
    status: number,
    slowdown: number | undefined,
    { permit }: AttemptOptions,
  ): ResponseTimer | undefined {
    const { server, startedMs } = permit;
    const isUsual = status >= 200 && status < 300;
    // A request that waited in the server's queue tells nothing of its speed, and
    // without figures from the server nothing is decided by speed.
    const hasQueued = server.busy >= server.slots;
    if (this.#clock === undefined || !isUsual || hasQueued) return undefined;
    if (slowdown === undefined && server.slowdown === undefined) {
      return undefined;
    }
    return new ResponseTimer({
      startedMs,
      slowdown: slowdown ?? 1,
      clock: this.#clock,
      onTimes: (times) => this.#onTimes(permit, times),
    });
  }

  #classifyError(error: unknown, options: AttemptOptions): AttemptResult {
    if (options.signal.aborted) return { kind: "aborted" };
    const reason = getReason(error);
    if (error instanceof HttpSendError && error.isInvalidRequest) {
      // No fault of the server, and not "notRun": that would be sent again until
      // it runs.
      return { kind: "lost", reason };
    }
    this.#onUnreachable(options.permit.server.id);
    const isNotRun = error instanceof HttpSendError &&
      error.verdict === Verdict.NOT_RUN;
    if (isNotRun) {
      // A server that resets a connection, such as one too many, still runs.
      if (!error.isReset) this.#onNotConnected(options.permit.server.id);
      this.#reachability?.recordUnreachable(options.permit.server.id);
    }
    return isNotRun
      ? { kind: "notRun", reason, retryAfterMs: undefined }
      : { kind: "lost", reason };
  }
}

function readRetryAfter(value: string | undefined): number | undefined {
  return value !== undefined && DECIMAL_PATTERN.test(value.trim())
    ? Math.min(MAX_RETRY_AFTER_MS, Number(value) * MS_PER_S)
    : undefined;
}
