/**
 * Applies the budget of callers to the connections of HTTP servers: refuses
 * connections beyond it, answers the requests of one connection one after the
 * other, and closes connections that are too slow at sending or reading.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  BudgetCause,
  type CallerBudget,
  ConnectionBudget,
  ORDINARY_BYTES,
} from "./caller_budget.ts";

/** Why a connection is closed or a request refused. */
export const CallerFault = {
  ...BudgetCause,
  pipelining: "pipelining",
  pieces: "pieces",
  slowHead: "slow_head",
  slowBody: "slow_body",
  unread: "unread",
} as const;

/** One of {@linkcode CallerFault}. */
export type CallerFault = typeof CallerFault[keyof typeof CallerFault];

/** Reports a fault of a caller at `address`. */
export type ReportFault = (fault: CallerFault, address: string) => void;

/** Interval between checks while there are connections, in milliseconds. */
const CHECK_MS = 500;

/**
 * Maximum time for a head, in milliseconds. Callers may take 3 s; the rest allows
 * for the check interval and for stalls of this process.
 */
const MAX_HEAD_MS = 5_000;

/**
 * Maximum time to the first byte of a new connection, in milliseconds: twice the
 * 15 s for which callers may keep connections idle.
 */
const MAX_UNUSED_MS = 30_000;

/** Period in which a large body must make progress, in milliseconds. */
const BODY_PERIOD_MS = 5_000;

/**
 * The same for a request that holds no more than an ordinary one, in milliseconds:
 * the 15 s for which callers may keep connections idle.
 */
const ORDINARY_BODY_PERIOD_MS = 15_000;

/** Bytes of a body that must arrive in each period: 1 KB a second if large. */
const MIN_PERIOD_BYTES = 5_000;

/** Time without any progress after which an unread response is cut, in ms. */
const MAX_UNREAD_MS = 8_000;

/** Time for the rest of a body after its response was sent, in milliseconds. */
const MAX_REST_MS = 3_000;

/**
 * Requests of one connection that may wait while another is answered. Each takes
 * several kilobytes once it is parsed.
 */
const MAX_WAITING = 16;

/** Bytes of memory that a parsed request takes, without its fields and body. */
const REQUEST_BYTES = 4_096;

/**
 * Bytes of memory that each name or value of a head takes while its request is served:
 * in the lists and the table of the runtime, and in copies to forward.
 */
const FIELD_BYTES = 128;

const BUSY_RESPONSE = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" +
  "Content-Length: 0\r\nConnection: close\r\n\r\n";

const TOO_SLOW_RESPONSE = "HTTP/1.1 408 Request Timeout\r\n" +
  "Content-Length: 0\r\nConnection: close\r\n\r\n";

/** A request that was parsed, with the call that answers it. */
export interface PendingRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly serve: () => void;
}

/** Reading of a body, which the guard watches. */
export interface WatchedBody {
  /** Whether this process does not read at the moment. */
  isPaused(): boolean;
  failAsTooSlow(): void;
}

/** Connections of requests, for those who read bodies. */
const connections = new WeakMap<IncomingMessage, GuardedConnection>();

/** Returns the connection of a request if it is guarded. */
export function tryGetConnection(
  req: IncomingMessage,
): GuardedConnection | undefined {
  return connections.get(req);
}

/** Returns the bytes of memory that a request takes without its body. */
function getHeadBytes(req: IncomingMessage): number {
  return REQUEST_BYTES + req.rawHeaders.length * FIELD_BYTES;
}

/** One connection of a caller. */
export class GuardedConnection {
  readonly socket: Socket;
  readonly budget: ConnectionBudget;
  readonly address: string;
  readonly #guard: CallerGuard;
  readonly #waiting: PendingRequest[] = [];
  /** Bytes of the heads of the requests that wait. */
  #waitingBytes = 0;
  #current: PendingRequest | undefined;
  /**
   * Requests that are not served: one that was refused, whose response closes the
   * connection, and those that came after it.
   */
  #unservedCount = 0;
  #body: WatchedBody | undefined;
  #isCut = false;
  /** Start of the period that the current check is about. */
  #sinceMs: number;
  /** Bytes that had arrived at that time. */
  #sinceBytes = 0;
  /** Bytes that had arrived when the last request ended. */
  #endBytes = 0;
  #unreadSinceMs: number;
  #unreadMark = "";
  #unreadBytes = 0;

  constructor(guard: CallerGuard, socket: Socket, budget: ConnectionBudget) {
    this.#guard = guard;
    this.socket = socket;
    this.budget = budget;
    this.address = socket.remoteAddress ?? "";
    this.#sinceMs = performance.now();
    this.#unreadSinceMs = this.#sinceMs;
  }

  /** The budget that all connections share. */
  get sharedBudget(): CallerBudget {
    return this.#guard.budget;
  }

  /** Returns the request that is served now. */
  getCurrent(): PendingRequest | undefined {
    return this.#current;
  }

  report(fault: CallerFault): void {
    this.#guard.report(fault, this.address);
  }

  /** Serves a request once those before it on the connection are answered. */
  admit(request: PendingRequest): void {
    if (this.#isCut) return;
    if (this.#unservedCount > 0) {
      this.#drop(request);
      return;
    }
    connections.set(request.req, this);
    const bytes = getHeadBytes(request.req);
    const cause = this.budget.acquire(bytes);
    if (cause !== undefined) {
      this.#refuse(request, cause);
      return;
    }
    if (this.#current === undefined) {
      this.#start(request);
      return;
    }
    this.#waiting.push(request);
    this.#waitingBytes += bytes;
    this.socket.pause();
    this.#checkWaiting();
  }

  /** Cuts the connection if too many requests wait; the runtime keeps each of them. */
  #checkWaiting(): void {
    const count = this.#waiting.length + this.#unservedCount;
    if (count > MAX_WAITING) this.cut(CallerFault.pipelining);
  }

  /** Watches the rate of a body until the returned function is called. */
  watch(body: WatchedBody): () => void {
    this.#body = body;
    this.#restartPeriod();
    return () => {
      this.#body = undefined;
    };
  }

  /** Closes the connection, after a raw response if there is one. */
  cut(fault: CallerFault, response?: string): void {
    if (this.#isCut) return;
    this.#isCut = true;
    this.report(fault);
    this.#waiting.length = 0;
    // The system takes a short text at once.
    if (response !== undefined && this.socket.writable) {
      this.socket.write(response);
    }
    this.socket.destroy();
  }

  check(nowMs: number): void {
    if (this.#isCut || this.socket.destroyed) return;
    this.#checkUnread(nowMs);
    if (this.#body !== undefined) this.#checkBody(this.#body, nowMs);
    else if (this.#current === undefined) this.#checkIdle(nowMs);
  }

  #start(request: PendingRequest): void {
    this.#current = request;
    request.res.on("close", () => this.#finish(request));
    request.serve();
  }

  /**
   * Refuses a request without room for its head. The runtime sends the response after
   * those to the requests before it, and closes the connection then.
   */
  #refuse(request: PendingRequest, cause: BudgetCause): void {
    const { res } = request;
    this.report(cause);
    res.shouldKeepAlive = false;
    res.writeHead(503, { "Retry-After": "1", "Content-Length": "0" }).end();
    this.#drop(request);
  }

  /** Frees the fields of a request that isn't served. */
  #drop({ req }: PendingRequest): void {
    this.#unservedCount += 1;
    req.rawHeaders = [];
    req.headers = {};
    this.#checkWaiting();
  }

  #finish(request: PendingRequest): void {
    if (this.#current !== request) return;
    this.#current = undefined;
    this.budget.release(
      this.budget.bytes - this.#unreadBytes - this.#waitingBytes,
    );
    this.#restartPeriod();
    this.#endBytes = this.socket.bytesRead;
    const next = this.#waiting.shift();
    if (next !== undefined) this.#waitingBytes -= getHeadBytes(next.req);
    if (this.#waiting.length === 0) this.socket.resume();
    if (next !== undefined) this.#start(next);
    else if (!request.req.complete) this.#watchRest(request.req);
  }

  /** A body that nobody needs may not keep its connection open. */
  #watchRest(req: IncomingMessage): void {
    const timer = setTimeout(() => {
      if (!req.complete) this.cut(CallerFault.slowBody);
    }, MAX_REST_MS);
    timer.unref();
    const end = () => {
      clearTimeout(timer);
      if (this.#current === undefined) this.#endBytes = this.socket.bytesRead;
    };
    req.once("end", end);
    req.once("close", end);
  }

  #restartPeriod(): void {
    this.#sinceMs = performance.now();
    this.#sinceBytes = this.socket.bytesRead;
  }

  #checkBody(body: WatchedBody, nowMs: number): void {
    if (body.isPaused()) this.#restartPeriod();
    const periodMs = this.budget.bytes > ORDINARY_BYTES
      ? BODY_PERIOD_MS
      : ORDINARY_BODY_PERIOD_MS;
    if (nowMs - this.#sinceMs < periodMs) return;
    const bytes = this.socket.bytesRead - this.#sinceBytes;
    this.#restartPeriod();
    if (bytes >= MIN_PERIOD_BYTES) return;
    this.report(CallerFault.slowBody);
    body.failAsTooSlow();
  }

  #checkIdle(nowMs: number): void {
    const { bytesRead } = this.socket;
    if (bytesRead === this.#endBytes) {
      // An idle connection that was used before is closed by the HTTP server.
      const isTooLong = bytesRead === 0 &&
        nowMs - this.#sinceMs > MAX_UNUSED_MS;
      if (bytesRead > 0) this.#restartPeriod();
      if (isTooLong) this.cut(CallerFault.slowHead);
    } else if (this.#sinceBytes === this.#endBytes) this.#restartPeriod();
    else if (nowMs - this.#sinceMs > MAX_HEAD_MS) {
      this.cut(CallerFault.slowHead, TOO_SLOW_RESPONSE);
    }
  }

  /** Counts unread bytes, and cuts a caller that reads nothing. */
  #checkUnread(nowMs: number): void {
    const { writableLength, bytesWritten } = this.socket;
    const { _handle: handle } = this.socket as Socket & {
      readonly _handle?: { readonly writeQueueSize?: number } | null;
    };
    const queued = handle?.writeQueueSize ?? 0;
    const unread = Math.max(writableLength, queued);
    this.budget.charge(unread - this.#unreadBytes);
    this.#unreadBytes = unread;
    // New responses are no sign that the caller reads.
    const mark = `${bytesWritten - writableLength}/${queued}`;
    if (unread === 0 || mark !== this.#unreadMark) {
      this.#unreadMark = mark;
      this.#unreadSinceMs = nowMs;
    } else if (nowMs - this.#unreadSinceMs > MAX_UNREAD_MS) {
      this.cut(CallerFault.unread);
    }
  }
}

/** Guards all HTTP servers of a process. */
export class CallerGuard {
  readonly budget: CallerBudget;
  readonly report: ReportFault;
  readonly #open = new Map<Socket, GuardedConnection>();
  #timer: NodeJS.Timeout | undefined;

  constructor(budget: CallerBudget, report: ReportFault) {
    this.budget = budget;
    this.report = report;
  }

  /** Guards the connections of a server. */
  attach(server: Server): void {
    server.on("connection", (socket: Socket) => this.#take(socket));
  }

  /** Serves a request, at once or after those before it. */
  admit(req: IncomingMessage, res: ServerResponse, serve: () => void): void {
    const connection = this.#open.get(req.socket);
    // A connection that was refused has no budget; its requests are not served.
    if (connection === undefined) req.socket.destroy();
    else connection.admit({ req, res, serve });
  }

  #take(socket: Socket): void {
    const address = socket.remoteAddress ?? "";
    const budget = this.budget.openConnection(address);
    if (!(budget instanceof ConnectionBudget)) {
      this.report(budget, address);
      socket.write(BUSY_RESPONSE);
      socket.destroy();
      return;
    }
    this.#open.set(socket, new GuardedConnection(this, socket, budget));
    socket.once("close", () => {
      budget.close();
      this.#open.delete(socket);
      if (this.#open.size > 0) return;
      clearInterval(this.#timer);
      this.#timer = undefined;
    });
    this.#timer ??= setInterval(() => this.#check(), CHECK_MS).unref();
  }

  #check(): void {
    const nowMs = performance.now();
    this.#open.forEach((connection) => connection.check(nowMs));
  }
}
