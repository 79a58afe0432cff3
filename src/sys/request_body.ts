/**
 * Reads bodies. Bytes of a caller's request are acquired from the budget of callers
 * before they are read; while there is no room, its connection is not read.
 */
import type { IncomingMessage } from "node:http";
import { MessageCode, Verdict } from "../schema/mod.ts";
import { ORDINARY_BYTES } from "./caller_budget.ts";
import {
  CallerFault,
  type GuardedConnection,
  tryGetConnection,
} from "./caller_guard.ts";
import { ServingError } from "./errors.ts";

/** Time for which a request waits for room in the budget, in milliseconds. */
const MAX_WAIT_MS = 1_000;

/** Retry-After of a refusal, in seconds: bodies that stand still are cut later. */
const RETRY_AFTER_S = 1;

/** First capacity for a body of unknown length, in bytes. */
const MIN_CAPACITY = 4_096;

/** Number of pieces from which their mean size counts. */
const MAX_TINY_PIECES = 4_096;

/**
 * Smallest mean size of the pieces of a body, in bytes. The HTTP parser makes a
 * buffer of some hundred bytes for each chunk, however small.
 */
const MIN_PIECE_BYTES = 16;

/** Options of {@linkcode readBody}. */
export interface ReadBodyOptions {
  /** Bytes that are acquired for each byte of the body, for decoded forms of it. */
  readonly copies?: number;
}

/**
 * Reads a complete body; fails with BODY_TOO_LARGE above `limit` bytes. The body of
 * a caller's request also fails with CALLERS_EXCEED_MEMORY or BODY_TOO_SLOW.
 */
export function readBody(
  body: IncomingMessage,
  limit: number,
  { copies = 1 }: ReadBodyOptions = {},
): Promise<Buffer> {
  const connection = tryGetConnection(body);
  return connection === undefined
    ? readUnguarded(body, limit)
    : new GuardedReading(body, connection, limit, copies).read();
}

/**
 * Acquires bytes for a caller's request, which are released with its response.
 * Waits for room if there is none; fails with CALLERS_EXCEED_MEMORY.
 */
export async function acquireForCaller(
  req: IncomingMessage,
  bytes: number,
): Promise<void> {
  const connection = tryGetConnection(req);
  if (connection !== undefined) await acquire(connection, bytes);
}

/** Acquires bytes for a caller's request if there is room for them now. */
export function tryAcquireForCaller(
  req: IncomingMessage,
  bytes: number,
): boolean {
  const connection = tryGetConnection(req);
  return connection === undefined ||
    connection.budget.acquire(bytes) === undefined;
}

/** Releases bytes of a caller's request before its response has ended. */
export function releaseForCaller(req: IncomingMessage, bytes: number): void {
  tryGetConnection(req)?.budget.release(bytes);
}

/**
 * Whether a body that was not read may take long to arrive, so that its connection
 * should be closed after a refusal.
 */
export function hasLargeRest(req: IncomingMessage): boolean {
  const { "transfer-encoding": coding, "content-length": length } = req.headers;
  return !req.complete &&
    (coding !== undefined || Number(length ?? 0) > ORDINARY_BYTES);
}

/**
 * Discards the body of a caller's request that needs none while it arrives. Unread,
 * it would keep a buffer for each chunk of what the parser has read.
 */
export function ignoreBody(req: IncomingMessage): void {
  const connection = tryGetConnection(req);
  if (connection === undefined || req.complete) return;
  const size = new PieceCount();
  req.on("data", (piece: Buffer) => {
    size.add(piece.length);
    if (size.isTiny) connection.cut(CallerFault.pieces);
  });
}

/** Number and bytes of the pieces of a body. */
class PieceCount {
  #pieces = 0;
  #bytes = 0;

  add(bytes: number): void {
    this.#pieces += 1;
    this.#bytes += bytes;
  }

  /** Whether there are very many pieces, and very small ones. */
  get isTiny(): boolean {
    return this.#pieces > MAX_TINY_PIECES &&
      this.#bytes < this.#pieces * MIN_PIECE_BYTES;
  }
}

async function readUnguarded(
  body: IncomingMessage,
  limit: number,
): Promise<Buffer> {
  throwIfDeclaredTooLarge(body, limit);
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > limit) throw createBodyTooLargeError(limit);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function throwIfDeclaredTooLarge(body: IncomingMessage, limit: number): void {
  const declaredBytes = Number(body.headers["content-length"] ?? 0);
  if (declaredBytes > limit) throw createBodyTooLargeError(limit);
}

function createBodyTooLargeError(limit: number): ServingError {
  return new ServingError(MessageCode.BODY_TOO_LARGE, {
    verdict: Verdict.NOT_RUN,
    parameters: { limit },
  });
}

function createNoRoomError(reason: CallerFault): ServingError {
  return new ServingError(MessageCode.CALLERS_EXCEED_MEMORY, {
    verdict: Verdict.NOT_RUN,
    retryAfterS: RETRY_AFTER_S,
    parameters: { reason },
  });
}

/**
 * Resolves once bytes are acquired; rejects after {@linkcode MAX_WAIT_MS}. A request
 * acquires no more than the part of one connection, so that a legal one is always
 * served when load is low.
 */
function acquire(connection: GuardedConnection, bytes: number): Promise<void> {
  const { budget, sharedBudget } = connection;
  const tryAcquire = () => {
    const rest = Math.max(0, sharedBudget.maxConnectionBytes - budget.bytes);
    return budget.acquire(Math.min(bytes, rest));
  };
  const cause = tryAcquire();
  if (cause === undefined) return Promise.resolve();
  return new Promise((resolve, reject) => {
    const end = () => {
      clearTimeout(timer);
      cancel();
      connection.socket.off("close", refuse);
    };
    const refuse = () => {
      end();
      connection.report(cause);
      reject(createNoRoomError(cause));
    };
    const retry = () => {
      if (tryAcquire() !== undefined) return;
      end();
      resolve();
    };
    const timer = setTimeout(refuse, MAX_WAIT_MS);
    const cancel = sharedBudget.whenReleased(retry);
    connection.socket.on("close", refuse);
  });
}

/** Reads the body of a caller's request into one buffer that grows. */
class GuardedReading {
  readonly #body: IncomingMessage;
  readonly #connection: GuardedConnection;
  readonly #limit: number;
  readonly #copies: number;
  readonly #size = new PieceCount();
  #bytes = Buffer.alloc(0);
  #length = 0;
  #isPaused = false;

  constructor(
    body: IncomingMessage,
    connection: GuardedConnection,
    limit: number,
    copies: number,
  ) {
    this.#body = body;
    this.#connection = connection;
    this.#limit = limit;
    this.#copies = copies;
  }

  async read(): Promise<Buffer> {
    throwIfDeclaredTooLarge(this.#body, this.#limit);
    try {
      await this.#grow(Number(this.#body.headers["content-length"] ?? 0));
      return await this.#readPieces();
    } catch (error) {
      // The rest of the body would have to be read to use the connection again.
      const { res } = this.#connection.getCurrent() ?? {};
      if (res !== undefined && !res.headersSent) res.shouldKeepAlive = false;
      throw error;
    }
  }

  #readPieces(): Promise<Buffer> {
    const body = this.#body;
    return new Promise((resolve, reject) => {
      const stop = () => {
        unwatch();
        body.off("data", take);
        body.off("end", end);
        body.off("error", fail);
        body.off("close", close);
      };
      const fail = (error: unknown) => {
        stop();
        reject(error);
      };
      const close = () => fail(new Error("aborted"));
      const end = () => {
        stop();
        resolve(this.#bytes.subarray(0, this.#length));
      };
      const take = (piece: Buffer) => {
        try {
          this.#take(piece, fail);
        } catch (error) {
          fail(error);
        }
      };
      const unwatch = this.#connection.watch({
        isPaused: () => this.#isPaused,
        failAsTooSlow: () =>
          fail(
            new ServingError(MessageCode.BODY_TOO_SLOW, {
              verdict: Verdict.NOT_RUN,
            }),
          ),
      });
      if (body.destroyed) {
        close();
        return;
      }
      body.on("end", end);
      body.on("error", fail);
      body.on("close", close);
      body.on("data", take);
    });
  }

  #take(piece: Buffer, fail: (error: unknown) => void): void {
    const length = this.#length + piece.length;
    if (length > this.#limit) throw createBodyTooLargeError(this.#limit);
    this.#size.add(piece.length);
    if (this.#size.isTiny) {
      this.#connection.report(CallerFault.pieces);
      throw createNoRoomError(CallerFault.pieces);
    }
    if (length <= this.#bytes.length) {
      this.#append(piece);
      return;
    }
    const capacity = Math.min(
      this.#limit,
      Math.max(MIN_CAPACITY, 2 * this.#bytes.length, length),
    );
    this.#isPaused = true;
    this.#body.pause();
    this.#grow(capacity).then(() => {
      this.#isPaused = false;
      this.#append(piece);
      this.#body.resume();
    }).catch(fail);
  }

  #append(piece: Buffer): void {
    piece.copy(this.#bytes, this.#length);
    this.#length += piece.length;
  }

  async #grow(capacity: number): Promise<void> {
    const added = (capacity - this.#bytes.length) * this.#copies;
    await acquire(this.#connection, added);
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.#bytes.copy(grown, 0, 0, this.#length);
    this.#bytes = grown;
  }
}
