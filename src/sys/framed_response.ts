/**
 * Responses of which no part is taken for the whole when this process is gone: the
 * system then closes its connections in an orderly way. A body of unknown length is
 * sent in chunks. HTTP/1.0 has none, so there the response is held back until its
 * length is known. A body that ended with the connection of its sender may be a
 * part itself, so a framing must not say that it is whole: it is held back too, and
 * sent without a framing in one piece.
 */
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";

/** Headers by name, or as a list of alternating names and values. */
export type ResponseHeaders = OutgoingHttpHeaders | readonly string[];

/**
 * Maximum size of a body that is held back for its length, in bytes. A longer one
 * is sent without a framing, as HTTP/1.0 knows no other way.
 */
const MAX_MEASURED_BYTES = 1 << 20;

/**
 * Maximum size of a body that is sent without a framing, in bytes: what a new
 * connection takes at once, so that no end of this process divides it. A longer one
 * is sent in chunks.
 */
const MAX_UNFRAMED_BYTES = 16 * 1024;

/** A response that is held back until all of it is there. */
interface HeldResponse {
  readonly status: number;
  readonly headers: ResponseHeaders;
  /** Sends the response once it is whole. */
  readonly send: typeof sendWhole;
  readonly maxBytes: number;
  readonly chunks: Buffer[];
  bytes: number;
}

function hold(
  status: number,
  headers: ResponseHeaders,
  send: typeof sendWhole,
  maxBytes: number,
): HeldResponse {
  return { status, headers, send, maxBytes, chunks: [], bytes: 0 };
}

/** Options of the head of a response. */
export interface HeadOptions {
  /** Whether nothing but the end of its connection tells where the body ends. */
  readonly isUnframed?: boolean;
}

/** A response in progress. */
export class FramedResponse {
  readonly #res: ServerResponse;
  #held: HeldResponse | undefined;

  constructor(res: ServerResponse) {
    this.#res = res;
  }

  /** Whether the status and headers are given; they may be held back. */
  get hasHead(): boolean {
    return this.#held !== undefined || this.#res.headersSent;
  }

  /** Gives the status and headers. */
  sendHead(
    status: number,
    headers: ResponseHeaders,
    { isUnframed = false }: HeadOptions = {},
  ): void {
    if (isUnframed) {
      this.#held = hold(status, headers, sendUnframed, MAX_UNFRAMED_BYTES);
    } else this.#sendFramedHead(status, headers);
  }

  /** Writes a part of the body; returns false if the caller reads too slowly. */
  write(bytes: Buffer): boolean {
    const held = this.#held;
    if (held === undefined) return this.#res.write(bytes);
    held.chunks.push(bytes);
    held.bytes += bytes.length;
    return held.bytes <= held.maxBytes || this.#release(held);
  }

  /** Ends the response as a whole one, as far as its framing can say so. */
  end(): void {
    const held = this.#held;
    this.#held = undefined;
    if (held === undefined) {
      this.#res.end();
      return;
    }
    const body = Buffer.concat(held.chunks);
    held.send(this.#res, held.status, held.headers, body);
  }

  /**
   * Breaks the response off. If it has no chunks, only a reset tells the caller
   * reliably that data is missing.
   */
  abort(): void {
    this.#held = undefined;
    abortResponse(this.#res);
  }

  /** Holds back for another reason, or sends, what became too long. */
  #release({ status, headers, send, chunks }: HeldResponse): boolean {
    this.#held = undefined;
    const body = Buffer.concat(chunks);
    if (send === sendUnframed) this.#sendFramedHead(status, headers);
    else writeHead(this.#res, status, headers);
    return this.write(body);
  }

  #sendFramedHead(status: number, headers: ResponseHeaders): void {
    if (this.#needsLength(status, headers)) {
      this.#held = hold(status, headers, sendWhole, MAX_MEASURED_BYTES);
    } else writeHead(this.#res, status, headers);
  }

  #needsLength(status: number, headers: ResponseHeaders): boolean {
    const hasNoBody = this.#res.req.method === "HEAD" || status === 204 ||
      status === 304;
    return !this.#res.useChunkedEncodingByDefault && !hasNoBody &&
      !hasLength(headers);
  }
}

/** Sends a response whose body is known; adds its length to the headers. */
export function sendWhole(
  res: ServerResponse,
  status: number,
  headers: ResponseHeaders,
  body: Uint8Array | string,
): void {
  const length = String(Buffer.byteLength(body));
  writeHead(
    res,
    status,
    isList(headers)
      ? [...headers, "Content-Length", length]
      : { ...headers, "content-length": length },
  );
  if (res.shouldKeepAlive || res.req.complete) res.end(body);
  else endAfterRest(res, body);
}

/**
 * Maximum time for which a connection that is closed after a refusal stays open
 * for what is still on its way, in milliseconds. The system discards a response
 * that has not been read if bytes arrive at a closed connection.
 */
const MAX_REST_MS = 500;

/** Maximum number of bytes that are discarded in this time: one legal body. */
const MAX_REST_BYTES = 4 << 20;

/** Counted for each piece beside its bytes, which bounds the number of pieces. */
const PIECE_BYTES = 1_024;

function endAfterRest(res: ServerResponse, body: Uint8Array | string): void {
  const { req } = res;
  let bytes = 0;
  const end = () => {
    clearTimeout(timer);
    res.end();
  };
  const timer = setTimeout(end, MAX_REST_MS);
  res.write(body);
  req.on("data", (piece: Buffer) => {
    bytes += piece.length + PIECE_BYTES;
    if (bytes > MAX_REST_BYTES) end();
  });
  req.resume();
  req.on("end", end);
  req.on("error", end);
  res.on("close", () => clearTimeout(timer));
}

/**
 * Sends a response that ends with its connection, as some servers do. It looks the
 * same if it is a part.
 */
export function sendUnframed(
  res: ServerResponse,
  status: number,
  headers: ResponseHeaders,
  body: Uint8Array | string,
): void {
  res.useChunkedEncodingByDefault = false;
  writeHead(res, status, headers);
  res.end(body);
}

/** Resolves when a response can take more, or its connection has closed. */
export function whenWritable(res: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const resume = () => {
      res.off("drain", resume);
      res.off("close", resume);
      resolve();
    };
    res.on("drain", resume);
    res.on("close", resume);
  });
}

/**
 * Closes the connection of a response that broke off. If it has no chunks, only a
 * reset tells the caller reliably that data is missing.
 */
export function abortResponse(res: ServerResponse): void {
  if (res.headersSent && !res.chunkedEncoding) res.socket?.resetAndDestroy();
  res.destroy();
}

function writeHead(
  res: ServerResponse,
  status: number,
  headers: ResponseHeaders,
): void {
  res.writeHead(status, headers as OutgoingHttpHeaders);
}

function isList(headers: ResponseHeaders): headers is readonly string[] {
  return Array.isArray(headers);
}

function hasLength(headers: ResponseHeaders): boolean {
  const names = isList(headers)
    ? headers.filter((_, index) => index % 2 === 0)
    : Object.keys(headers);
  return names.some((name) => name.toLowerCase() === "content-length");
}
