/**
 * HTTP by Node's own library, on both sides. This module is the door to it:
 * it opens servers, sends requests and says of a failed request whether it may
 * have run.
 */
import http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { MessageCode, Verdict } from "../schema/mod.ts";
import { getReason, ServingError } from "./errors.ts";

export type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from "node:http";

/** Takes one request. */
export type HttpHandler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
) => void;

/** A server and its real address. */
export interface HttpListener {
  readonly address: string;
  /** Takes no new connection and resolves when the open requests have ended. */
  drain(): Promise<void>;
  /** Ends all connections. */
  close(): void;
}

/** Splits host:port. */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

/** Time for which an idle connection of a caller is kept by default. */
const DEFAULT_IDLE_TIMEOUT_MS = 30_000;

/** How a server is opened. */
export interface ListenOptions {
  readonly maxHeaderBytes?: number;
  readonly headersTooLargeResponse?: string;
  /** Bounds that are in force now; undefined for the defaults. */
  readonly getBounds?: () => { readonly idleTimeoutMs: number } | undefined;
}

/** Opens a server; a busy port is PORT_BUSY. */
export function listenHttp(
  address: string,
  handler: HttpHandler,
  options: ListenOptions = {},
): Promise<HttpListener> {
  const { getBounds } = options;
  const server = http.createServer({
    maxHeaderSize: options.maxHeaderBytes,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
    requestTimeout: 0,
  }, (req, res) => {
    // Bounds may change while connections are open; each answer tells the
    // caller the time for which its connection is kept.
    const idleMs = getBounds?.()?.idleTimeoutMs ?? 0;
    if (idleMs > 0) server.keepAliveTimeout = idleMs;
    handler(req, res);
  });
  server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
    const response = error.code === "HPE_HEADER_OVERFLOW"
      ? options.headersTooLargeResponse
      : undefined;
    if (response === undefined || !socket.writable) socket.destroy();
    else socket.end(response);
  });
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", (error) =>
      reject(
        new ServingError(MessageCode.PORT_BUSY, {
          parameters: { address, reason: getReason(error) },
        }),
      ));
    server.listen(port, host, () => {
      const actualPort = (server.address() as AddressInfo).port;
      resolve(createListener(server, `${host}:${actualPort}`));
    });
  });
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

/** One request to send. */
export interface HttpRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** As a record, or as names and values in turn to send as they are. */
  readonly headers?: http.OutgoingHttpHeaders | readonly string[];
  readonly body?: Uint8Array | string;
  /** Use a connection of its own, so that a refused one is truly not run. */
  readonly usesNewConnection?: boolean;
  /** Connections to use; all senders share others by default. */
  readonly agent?: HttpAgent;
  /** Longest wait for the head of the answer, in milliseconds. */
  readonly headersTimeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** The head of an answer; the body follows as a stream. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: http.IncomingMessage;
}

/** A request without an answer. */
export class HttpSendError extends Error {
  /** Not run only when no byte of the request can have arrived. */
  readonly verdict: Verdict;
  /** The connection broke, rather than the wait for the answer. */
  readonly isConnectionLost: boolean;

  constructor(
    reason: string,
    options: { verdict: Verdict; isConnectionLost: boolean },
  ) {
    super(reason);
    this.name = "HttpSendError";
    this.verdict = options.verdict;
    this.isConnectionLost = options.isConnectionLost;
  }
}

const CONNECT_TIMEOUT_MS = 1_000;

const sharedAgent = new http.Agent({
  keepAlive: true,
  maxSockets: Infinity,
  maxFreeSockets: 256,
  timeout: 60_000,
});

/** Connections that are kept for a while after their last answer. */
export type HttpAgent = http.Agent;

/** Creates an agent whose idle connections are closed after `idleMs`. */
export function createHttpAgent(options: { idleTimeoutMs: number }): HttpAgent {
  return new http.Agent({
    keepAlive: true,
    maxSockets: Infinity,
    scheduling: "lifo",
    timeout: options.idleTimeoutMs,
  });
}

/** Sends a request and resolves with the head of its answer. */
export function sendHttp(request: HttpRequest): Promise<HttpResponse> {
  const { host, port } = parseAddress(request.address);
  return new Promise((resolve, reject) => {
    let isConnected = false;
    let hasTimedOut = false;
    const req = http.request({
      host,
      port,
      method: request.method,
      path: request.path,
      headers: request.headers as http.OutgoingHttpHeaders,
      agent: request.usesNewConnection === true
        ? false
        : request.agent ?? sharedAgent,
      signal: request.signal,
    });
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
      if (!socket.connecting) isConnected = true;
      else {socket.once("connect", () => {
          isConnected = true;
        });}
    });
    req.on("response", (response) => {
      clearTimers();
      // After the head, a broken connection shows on the body alone.
      req.on("error", () => {});
      resolve({
        status: response.statusCode ?? 0,
        headers: response.headers,
        body: response,
      });
    });
    req.on("error", (error) => {
      clearTimers();
      reject(
        new HttpSendError(getReason(error), {
          verdict: isConnected ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
          isConnectionLost: !hasTimedOut && request.signal?.aborted !== true,
        }),
      );
    });
    req.end(request.body);
  });
}

/** Reads a whole body of at most `limit` bytes. */
export async function readBody(
  body: http.IncomingMessage,
  limit: number,
): Promise<Buffer> {
  const declaredBytes = Number(body.headers["content-length"] ?? 0);
  if (declaredBytes > limit) throw createBodyTooLargeError(limit);
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > limit) throw createBodyTooLargeError(limit);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function createBodyTooLargeError(limit: number): ServingError {
  return new ServingError(MessageCode.BODY_TOO_LARGE, {
    verdict: Verdict.NOT_RUN,
    parameters: { limit },
  });
}

/** Headers that belong to one connection and are not passed on. */
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

/** Raw headers, names and values in turn, without those of the connection. */
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

/** Headers without those of the connection. */
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

/** Calls `action` when nothing of a body arrived for `ms` milliseconds. */
export function setIdleTimeout(
  body: http.IncomingMessage,
  ms: number,
  action: () => void,
): void {
  body.setTimeout(ms, action);
}
