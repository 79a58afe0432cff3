/**
 * HTTP servers and clients, based on `node:http`, which production code uses
 * only through this module. For a failed request, the client determines whether
 * it may have run.
 */
import http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { MessageCode, Verdict } from "../schema/mod.ts";
import { getReason, ServingError } from "./errors.ts";
import type { CallerGuard } from "./caller_guard.ts";
import { watchConnectionEnd } from "./connection_end.ts";
import { abortResponse } from "./framed_response.ts";
import {
  HttpAgent,
  isIdSpent,
  recordFailedRequest,
  recordRepeatableRequest,
} from "./http_agent.ts";
import { isolate } from "./isolation.ts";
import {
  areValidTrailers,
  hasDelimitedBody,
  ResponseHeadCheck,
  tryFindFramingFault,
} from "./response_head.ts";

export { readBody } from "./request_body.ts";
export type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from "node:http";

/** Handles one request. */
export type HttpHandler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
) => void;

/** A listening server and the address to which it is bound. */
export interface HttpListener {
  readonly address: string;
  /** Accepts no new connections and resolves when all requests have ended. */
  drain(): Promise<void>;
  /** Closes the server and all of its connections at once. */
  close(): void;
}

/** Parses an address of the form host:port. */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

const MAX_PORT = 65_535;

/**
 * Parses an address to connect to; undefined if it has no host or no port that
 * a process can listen on. The runtime throws for some of these addresses and
 * replaces others by port 80.
 */
export function tryParseTarget(
  address: string,
): { host: string; port: number } | undefined {
  const { host, port } = parseAddress(address);
  const isValid = host !== "" && Number.isInteger(port) && port > 0 &&
    port <= MAX_PORT;
  return isValid ? { host, port } : undefined;
}

/** Default time for which an idle connection is kept open. */
const DEFAULT_IDLE_TIMEOUT_MS = 30_000;

/** Options of a server. */
export interface ListenOptions {
  readonly maxHeaderBytes?: number;
  /** Raw response to a request whose headers exceed `maxHeaderBytes`. */
  readonly headersTooLargeResponse?: string;
  /** Returns the current bounds; undefined for the defaults. */
  readonly getBounds?: () => { readonly idleTimeoutMs: number } | undefined;
  /** Bounds what callers take of the process; undefined for no bounds. */
  readonly guard?: CallerGuard;
}

/** Opens a server; fails with PORT_BUSY if it cannot listen on the address. */
export function listenHttp(
  address: string,
  handler: HttpHandler,
  options: ListenOptions = {},
): Promise<HttpListener> {
  const { getBounds, guard } = options;
  const serve = isolate(handler, (_, res) => abortResponse(res));
  const server = http.createServer({
    maxHeaderSize: options.maxHeaderBytes,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
    requestTimeout: 0,
  }, (req, res) => {
    // Bounds may change while connections are open. Each response tells the
    // caller how long its connection is kept open.
    const idleMs = getBounds?.()?.idleTimeoutMs ?? 0;
    if (idleMs > 0) server.keepAliveTimeout = idleMs;
    // Without a listener, a failed write would be an error of the process.
    res.on("error", () => res.destroy());
    if (guard === undefined) serve(req, res);
    else guard.admit(req, res, () => serve(req, res));
  });
  // A head is bounded by its size. Beyond a number of fields, the runtime would drop the
  // rest of them and go on.
  server.maxHeadersCount = 0;
  guard?.attach(server);
  server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
    const response = error.code === "HPE_HEADER_OVERFLOW"
      ? options.headersTooLargeResponse
      : undefined;
    if (response === undefined || !socket.writable) socket.destroy();
    else socket.end(response);
  });
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    const refuse = (error: unknown) =>
      reject(
        new ServingError(MessageCode.PORT_BUSY, {
          parameters: { address, reason: getReason(error) },
        }),
      );
    server.on("error", refuse);
    listenOrRefuse(() => server.listen(port, host), refuse);
    server.on("listening", () => {
      // A later error, such as a connection that cannot be accepted for lack of
      // descriptors, concerns that connection; it is reported at process level.
      server.off("error", refuse).on("error", (error) => {
        Promise.reject(error);
      });
      const actualPort = (server.address() as AddressInfo).port;
      resolve(createListener(server, `${host}:${actualPort}`));
    });
  });
}

/** Node.js throws for a port out of range. */
function listenOrRefuse(
  listen: () => void,
  refuse: (error: unknown) => void,
): void {
  try {
    listen();
  } catch (error) {
    refuse(error);
  }
}

const IDLE_CLOSE_INTERVAL_MS = 50;

function createListener(server: http.Server, address: string): HttpListener {
  return {
    address,
    drain: () =>
      new Promise((resolve) => {
        const timer = setInterval(
          () => server.closeIdleConnections(),
          IDLE_CLOSE_INTERVAL_MS,
        );
        server.close(() => {
          clearInterval(timer);
          resolve();
        });
        server.closeIdleConnections();
      }),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** A request to send. */
export interface HttpRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** A record, or a list of alternating names and values to send unchanged. */
  readonly headers?: http.OutgoingHttpHeaders | readonly string[];
  readonly body?: Uint8Array | string;
  /**
   * Opens a new connection instead of reusing an idle one, so that a failure to
   * connect proves that the request did not run.
   */
  readonly usesNewConnection?: boolean;
  /**
   * Id that answers name, by which the caller tells them apart. A request is never
   * sent again on a connection on which it failed, as a faulty server may write its
   * earlier answer once more. Without an id, a connection is closed after any answer
   * other than a success.
   */
  readonly requestId?: string;
  /** Agent whose connections to use; defaults to one shared agent. */
  readonly agent?: HttpAgent;
  /** Maximum wait for the response headers, in milliseconds. */
  readonly headersTimeoutMs?: number;
  readonly signal?: AbortSignal;
  /** Called when a new connection has been made for the request. */
  readonly onConnect?: () => void;
  /** Whether nothing reaches the address; simulates a network partition. */
  readonly isPartitioned?: boolean;
}

/** Status and headers of a response; the body follows as a stream. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: http.IncomingMessage;
  /**
   * Whether a length or chunks tell where the body ends. Otherwise it ends with
   * its connection, whole or not: it must not be passed on as whole unless its
   * sender is still there.
   */
  readonly isDelimited: boolean;
  /**
   * Resolves with whether the whole body has arrived, or, of a body that is not
   * delimited, all that the server sent before it closed the connection in an
   * orderly way. Must be called once the body has ended.
   */
  isComplete(): Promise<boolean>;
}

/** A request that failed before its response headers arrived. */
export class HttpSendError extends Error {
  /** NOT_RUN only if no byte of the request can have reached the server. */
  readonly verdict: Verdict;
  /** Whether the connection failed, rather than timed out or was aborted. */
  readonly isConnectionLost: boolean;
  /** Whether the request itself cannot be sent, to any server. */
  readonly isInvalidRequest: boolean;
  /**
   * Whether the other side reset the connection, so that a process listens there. A
   * reset right after the connection was made may come before that is known here.
   */
  readonly isReset: boolean;

  constructor(
    reason: string,
    options: {
      verdict: Verdict;
      isConnectionLost: boolean;
      isInvalidRequest?: boolean;
      isReset?: boolean;
    },
  ) {
    super(reason);
    this.name = "HttpSendError";
    this.verdict = options.verdict;
    this.isConnectionLost = options.isConnectionLost;
    this.isInvalidRequest = options.isInvalidRequest ?? false;
    this.isReset = options.isReset ?? false;
  }
}

const CONNECT_TIMEOUT_MS = 1_000;

const sharedAgent = new HttpAgent({
  keepAlive: true,
  maxSockets: Infinity,
  maxFreeSockets: 256,
  timeout: 60_000,
});

export type { HttpAgent };

/** Creates an agent that closes idle connections after `idleTimeoutMs`. */
export function createHttpAgent(options: { idleTimeoutMs: number }): HttpAgent {
  return new HttpAgent({
    keepAlive: true,
    maxSockets: Infinity,
    scheduling: "lifo",
    timeout: options.idleTimeoutMs,
  });
}

/** Creates a request; fails with NOT_RUN if it cannot be sent as it is. */
function createRequest(request: HttpRequest): http.ClientRequest {
  const target = tryParseTarget(request.address);
  if (target === undefined) {
    throw new HttpSendError(
      `"${request.address}" is not an address of the form host:port`,
      { verdict: Verdict.NOT_RUN, isConnectionLost: true },
    );
  }
  try {
    const req = http.request({
      ...target,
      method: request.method,
      path: request.path,
      headers: request.headers as http.OutgoingHttpHeaders,
      agent: request.usesNewConnection === true
        ? false
        : request.agent ?? sharedAgent,
      signal: request.signal,
    });
    // As for the heads of requests.
    req.maxHeadersCount = 0;
    return req;
  } catch (error) {
    // The runtime rejects characters of the method, the path and the headers.
    throw new HttpSendError(getReason(error), {
      verdict: Verdict.NOT_RUN,
      isConnectionLost: false,
      isInvalidRequest: true,
    });
  }
}

/**
 * Maximum number of bytes in a row that bring nothing of a response's body, in bytes:
 * heads of informational responses, sizes of chunks and the like. The runtime bounds
 * each head, but not their number, nor the zeros before a size.
 */
const MAX_BODILESS_BYTES = 256 * 1024;

/** Ends a request whose connection brings bytes without end that are no body. */
function boundBodilessBytes(req: http.ClientRequest, socket: Socket): void {
  let bytes = 0;
  let body: http.IncomingMessage | undefined;
  // Called after the runtime has parsed the chunk and added its part of the body.
  const count = (chunk: Buffer) => {
    const bringsBody = body !== undefined && body.readableLength > 0;
    bytes = bringsBody ? 0 : bytes + chunk.length;
    if (bytes <= MAX_BODILESS_BYTES) return;
    req.destroy(
      new Error(`more than ${MAX_BODILESS_BYTES} bytes came without a body`),
    );
  };
  req.once("response", (response) => {
    body = response;
  });
  socket.on("data", count);
  req.once("close", () => socket.off("data", count));
}

/** Checks the heads of the response before the runtime reads them. */
function checkHeads(
  req: http.ClientRequest,
  socket: Socket,
): ResponseHeadCheck {
  const check = new ResponseHeadCheck();
  const push = (chunk: Buffer) => {
    if (!check.push(chunk)) req.destroy(new Error(check.fault));
    if (check.isDone) socket.off("data", push);
  };
  socket.prependListener("data", push);
  req.once("close", () => socket.off("data", push));
  return check;
}

/** Connections of responses, which they no longer name once they have ended. */
const connections = new WeakMap<http.IncomingMessage, Socket>();

/**
 * Sends a request and resolves with the status and headers of the response.
 * Each failure is an {@linkcode HttpSendError}.
 */
export function sendHttp(request: HttpRequest): Promise<HttpResponse> {
  if (request.isPartitioned === true) return failAsUnreachable(request);
  const { requestId } = request;
  return new Promise((resolve, reject) => {
    let isConnected = false;
    let hasTimedOut = false;
    let headCheck: ResponseHeadCheck | undefined;
    const req = createRequest(request);
    const failWithTimeout = () => {
      hasTimedOut = true;
      req.destroy(new Error("no answer in time"));
    };
    const connectTimer = setTimeout(() => {
      if (!isConnected) failWithTimeout();
    }, CONNECT_TIMEOUT_MS);
    const headTimer = request.headersTimeoutMs === undefined
      ? undefined
      : setTimeout(failWithTimeout, request.headersTimeoutMs);
    const clearTimers = () => {
      clearTimeout(connectTimer);
      clearTimeout(headTimer);
    };
    req.on("socket", (socket) => {
      if (isIdSpent(socket, requestId)) {
        // Nothing has been written yet.
        clearTimers();
        req.destroy();
        resolve(sendHttp({ ...request, usesNewConnection: true }));
        return;
      }
      boundBodilessBytes(req, socket);
      headCheck = checkHeads(req, socket);
      if (!socket.connecting) isConnected = true;
      else {socket.once("connect", () => {
          isConnected = true;
          request.onConnect?.();
        });}
    });
    req.on("response", (response) => {
      clearTimers();
      const { headers, statusCode: status = 0, socket, httpVersion } = response;
      const fault = headCheck?.fault ??
        tryFindFramingFault(httpVersion, headers);
      if (fault !== undefined) {
        req.destroy(new Error(fault));
        return;
      }
      connections.set(response, socket);
      if (!isSuccessStatus(status)) {
        recordFailedRequest(socket, requestId);
      }
      const isDelimited = hasDelimitedBody(request.method, status, headers);
      const hasClosedOrderly = isDelimited
        ? Promise.resolve(true)
        : watchConnectionEnd(socket);
      resolve({
        status,
        headers,
        body: response,
        isDelimited,
        isComplete: async () =>
          response.complete && areValidTrailers(response.rawTrailers) &&
          await hasClosedOrderly,
      });
    });
    req.on("error", (error: NodeJS.ErrnoException) => {
      clearTimers();
      reject(
        new HttpSendError(getReason(error), {
          verdict: isConnected ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
          isConnectionLost: !hasTimedOut && request.signal?.aborted !== true,
          isReset: error.code === "ECONNRESET",
        }),
      );
    });
    // A response that changes the protocol, which no request asks for, ends the
    // request without any other event.
    req.on("close", () => {
      clearTimers();
      reject(
        new HttpSendError("the connection closed without an answer", {
          verdict: Verdict.MAY_HAVE_RUN,
          isConnectionLost: false,
        }),
      );
    });
    req.end(request.body);
  });
}

function isSuccessStatus(status: number): boolean {
  return status >= 200 && status < 300;
}

/** Fails as a connection does that nothing answers. */
function failAsUnreachable({ signal }: HttpRequest): Promise<never> {
  return new Promise((_, reject) => {
    const fail = () => {
      clearTimeout(timer);
      reject(
        new HttpSendError("no answer in time", {
          verdict: Verdict.NOT_RUN,
          isConnectionLost: false,
        }),
      );
    };
    const timer = setTimeout(fail, CONNECT_TIMEOUT_MS);
    signal?.addEventListener("abort", fail);
    if (signal?.aborted === true) fail();
  });
}

/**
 * Records that a response doesn't end its request, which may be sent again: a copy
 * of the response must not answer it then.
 */
export function rejectAnswer(
  { body }: Pick<HttpResponse, "body">,
  requestId: string,
): void {
  const socket = connections.get(body);
  if (socket !== undefined) recordFailedRequest(socket, requestId);
}

/**
 * Records that other requests may have the id of one that is answered: a copy of the
 * response must not answer them.
 */
export function recordRepeatableAnswer(
  { body }: Pick<HttpResponse, "body">,
  requestId: string,
): void {
  const socket = connections.get(body);
  if (socket !== undefined) recordRepeatableRequest(socket, requestId);
}

/** Maximum size of a body that is discarded before its connection is closed. */
const MAX_DISCARDED_BYTES = 64 * 1024;

/** Maximum time for the rest of a discarded body to arrive, in milliseconds. */
const DISCARD_TIMEOUT_MS = 1_000;

/**
 * Discards a body that nobody needs, so that its connection can be reused. The
 * connection is closed if the body is large or does not end soon.
 */
export function discardBody(body: http.IncomingMessage): void {
  let bytes = 0;
  const timer = setTimeout(() => body.destroy(), DISCARD_TIMEOUT_MS);
  body.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_DISCARDED_BYTES) body.destroy();
  });
  body.on("error", () => {});
  body.on("close", () => clearTimeout(timer));
}

/** Hop-by-hop headers, which apply to one connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Removes hop-by-hop headers, those that `Connection` names and those in
 * `additional` from raw headers (alternating names and values).
 */
export function removeRawHopByHopHeaders(
  raw: readonly string[],
  additional: ReadonlySet<string> = new Set(),
): string[] {
  const pairs = raw.flatMap((name, index) =>
    index % 2 === 0 ? [{ name, value: raw[index + 1] ?? "" }] : []
  );
  const connectionOptions = new Set(
    pairs.filter(({ name }) => name.toLowerCase() === "connection")
      .flatMap(({ value }) => value.split(","))
      .map((name) => name.trim().toLowerCase()),
  );
  return pairs.filter(({ name }) => {
    const lower = name.toLowerCase();
    return !HOP_BY_HOP_HEADERS.has(lower) && !connectionOptions.has(lower) &&
      !additional.has(lower);
  }).flatMap(({ name, value }) => [name, value]);
}

/** Removes hop-by-hop headers and those that `Connection` names. */
export function removeHopByHopHeaders(
  headers: http.IncomingHttpHeaders,
): http.OutgoingHttpHeaders {
  const connectionOptions = (headers.connection ?? "").split(",").map((name) =>
    name.trim().toLowerCase()
  );
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) =>
      !HOP_BY_HOP_HEADERS.has(name) && !connectionOptions.includes(name)
    ),
  );
}

/** Calls `action` when no data of `body` has arrived for `ms` milliseconds. */
export function setIdleTimeout(
  body: http.IncomingMessage,
  ms: number,
  action: () => void,
): void {
  body.setTimeout(ms, action);
}
