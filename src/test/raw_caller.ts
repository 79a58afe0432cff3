/**
 * A caller that reads the bytes of its connection and sees how the connection
 * ended, which HTTP libraries hide.
 */
import { connect } from "node:net";
import { EventSplitter } from "../relay/mod.ts";

/** How the other side closed a connection. */
export const ConnectionEnd = {
  /** In an orderly way, after all that it had sent. */
  closed: "closed",
  reset: "reset",
} as const;

/** One of {@linkcode ConnectionEnd}. */
export type ConnectionEnd = typeof ConnectionEnd[keyof typeof ConnectionEnd];

/** All that a caller received on one connection. */
export interface RawAnswer {
  readonly status: number;
  /** Names in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  /** The body as it was sent, with the framing of chunks. */
  readonly rawBody: string;
  /** The body without the framing of chunks, as far as it arrived. */
  readonly body: string;
  readonly end: ConnectionEnd;
  /** Whether the answer looks whole to a caller that goes by RFC 9112. */
  readonly looksWhole: boolean;
}

/** A request of a raw caller. */
export interface RawRequest {
  readonly address: string;
  readonly target: string;
  readonly httpVersion?: "1.0" | "1.1";
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Resolves when the last byte of the body is to be sent; at once by default. */
  readonly whenComplete?: Promise<void>;
  /** Called with all bytes that have arrived, after each read. */
  readonly onData?: (bytes: string) => void;
}

/** Sends a POST on a connection of its own and reads until the other side ends it. */
export function sendRawRequest(request: RawRequest): Promise<RawAnswer> {
  const { address, target, httpVersion = "1.1", body = "" } = request;
  const [host, port] = address.split(":");
  const headers = {
    "Host": address,
    "Content-Length": String(body.length),
    ...request.headers,
  };
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    const chunks: Buffer[] = [];
    let end: ConnectionEnd = ConnectionEnd.closed;
    const getText = () => Buffer.concat(chunks).toString("latin1");
    socket.on("data", (chunk) => {
      chunks.push(chunk);
      request.onData?.(getText());
    });
    socket.on("error", () => {
      end = ConnectionEnd.reset;
    });
    socket.on("close", () => resolve(parseRawAnswer(getText(), end)));
    const lines = Object.entries(headers)
      .map(([name, value]) => `${name}: ${value}\r\n`);
    const sentBody = request.whenComplete === undefined
      ? body
      : body.slice(0, -1);
    socket.write(
      `POST ${target} HTTP/${httpVersion}\r\n${lines.join("")}\r\n${sentBody}`,
    );
    request.whenComplete?.then(() => socket.write(body.slice(-1)));
  });
}

const HEAD_END = "\r\n\r\n";

function parseRawAnswer(text: string, end: ConnectionEnd): RawAnswer {
  const headEnd = text.indexOf(HEAD_END);
  const head = headEnd < 0 ? "" : text.slice(0, headEnd);
  const rawBody = headEnd < 0 ? "" : text.slice(headEnd + HEAD_END.length);
  const [statusLine = "", ...headerLines] = head.split("\r\n");
  const headers = new Map(headerLines.map((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  const isChunked = headers.get("transfer-encoding") === "chunked";
  const { body, isTerminated } = isChunked
    ? decodeChunks(rawBody)
    : { body: rawBody, isTerminated: false };
  const length = headers.get("content-length");
  const isWholeBody = length === undefined
    ? end === ConnectionEnd.closed && !endsInsideEvent(headers, body)
    : body.length >= Number(length);
  return {
    status: Number(statusLine.split(" ")[1] ?? 0),
    headers,
    rawBody,
    body,
    end,
    looksWhole: headEnd >= 0 && (isChunked ? isTerminated : isWholeBody),
  };
}

function endsInsideEvent(
  headers: ReadonlyMap<string, string>,
  body: string,
): boolean {
  if (headers.get("content-type") !== "text/event-stream") return false;
  const splitter = new EventSplitter();
  splitter.push(Buffer.from(body, "latin1"));
  return splitter.isInsideEvent;
}

/** Decodes a chunked body; `isTerminated` tells whether its last chunk is there. */
function decodeChunks(raw: string): { body: string; isTerminated: boolean } {
  const sizeEnd = raw.indexOf("\r\n");
  if (sizeEnd < 0) return { body: "", isTerminated: false };
  const size = parseInt(raw.slice(0, sizeEnd), 16);
  if (size === 0) return { body: "", isTerminated: true };
  const start = sizeEnd + 2;
  const chunk = raw.slice(start, start + size);
  const rest = decodeChunks(raw.slice(start + size + 2));
  return { body: chunk + rest.body, isTerminated: rest.isTerminated };
}
