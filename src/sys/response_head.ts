/**
 * Decides what counts as an HTTP/1 response (RFC 9110 and 9112). Versions of the
 * runtime differ in what their parsers take: blanks in names of fields, other
 * protocols, control bytes in reason phrases. So the heads of responses are checked
 * as they arrive, before the parser reads them, and its result is used only if it
 * agrees on where the head ended. Chunks are left to the parser.
 */
import type { IncomingHttpHeaders } from "node:http";

/** Bytes of a value or of a reason phrase, as latin1 characters. */
const TEXT = String.raw`[\t\x20-\x7e\x80-\xff]*`;

const TOKEN = "[-!#$%&'*+.^_`|~0-9A-Za-z]+";

/** Statuses from 100 to 599 are valid (RFC 9110, section 15). */
const STATUS_LINE = String.raw`HTTP/1\.\d [1-5]\d\d(?: ${TEXT})?`;

const FIELD_LINE = `${TOKEN}:${TEXT}`;

const STATUS_LINE_PATTERN = new RegExp(`^${STATUS_LINE}$`);
const FIELD_LINE_PATTERN = new RegExp(`^${FIELD_LINE}$`);
const NAME_PATTERN = new RegExp(`^${TOKEN}$`);
const VALUE_PATTERN = new RegExp(`^${TEXT}$`);

/** A whole head; its single lines are looked at only if it doesn't match. */
const HEAD_PATTERN = new RegExp(
  String.raw`^${STATUS_LINE}\r\n(?:${FIELD_LINE}\r\n)*\r\n$`,
);

/** No request of this program asks for another protocol (RFC 9110, section 7.8). */
const SWITCHING_HEAD_PATTERN = /^HTTP\/1\.\d 101/;

const INTERIM_HEAD_PATTERN = /^HTTP\/1\.\d 1(?!01)/;

const HEAD_END = "\r\n\r\n";

/** Maximum number of characters of a line that an error names. */
const MAX_NAMED_CHARACTERS = 80;

/** Checks the heads of one response: interim ones (1xx) and the final one. */
export class ResponseHeadCheck {
  /** Pieces of a head that has not ended. */
  #pieces: string[] = [];
  /** Last characters of the pieces, in which the end of the head may begin. */
  #tail = "";
  #isDone = false;
  #fault: string | undefined;

  /** Whether the final head has ended, or can't be one. */
  get isDone(): boolean {
    return this.#isDone;
  }

  /**
   * Why the bytes are no response, given that the parser has read a head from them;
   * undefined if they are one.
   */
  get fault(): string | undefined {
    return this.#fault ??
      (this.#isDone ? undefined : "the head of the response doesn't end");
  }

  /** Checks the bytes that have arrived; returns whether they may be a response. */
  push(bytes: Buffer): boolean {
    let text = bytes.toString("latin1");
    while (!this.#isDone) {
      const end = (this.#tail + text).indexOf(HEAD_END);
      if (end < 0) {
        this.#pieces.push(text);
        this.#tail = (this.#tail + text).slice(1 - HEAD_END.length);
        break;
      }
      const headEnd = end + HEAD_END.length - this.#tail.length;
      const head = this.#pieces.join("") + text.slice(0, headEnd);
      text = text.slice(headEnd);
      this.#pieces = [];
      this.#tail = "";
      this.#fault = tryFindHeadFault(head);
      this.#isDone = this.#fault !== undefined ||
        !INTERIM_HEAD_PATTERN.test(head);
    }
    return this.#fault === undefined;
  }
}

/** Returns why a head is not that of a response; undefined if it is. */
export function tryFindHeadFault(head: string): string | undefined {
  if (SWITCHING_HEAD_PATTERN.test(head)) {
    return "the response switches to a protocol that was not asked for";
  }
  if (HEAD_PATTERN.test(head)) return undefined;
  const [statusLine = "", ...fields] = head.slice(0, -HEAD_END.length)
    .split("\r\n");
  if (!STATUS_LINE_PATTERN.test(statusLine)) {
    return `${quote(statusLine)} is no status line of HTTP/1`;
  }
  const field = fields.find((line) => !FIELD_LINE_PATTERN.test(line)) ?? "";
  return `${quote(field)} is no header field`;
}

/**
 * Returns why the framing of a response tells no receiver where its body ends, or
 * codes it in a way that nobody asked for; undefined if it doesn't.
 */
export function tryFindFramingFault(
  httpVersion: string,
  headers: IncomingHttpHeaders,
): string | undefined {
  const coding = headers["transfer-encoding"];
  if (coding === undefined) return undefined;
  if (httpVersion === "1.0") return "HTTP/1.0 has no transfer codings";
  if (headers["content-length"] !== undefined) {
    return "the response has both a length and a transfer coding";
  }
  return coding.toLowerCase() === "chunked"
    ? undefined
    : `${quote(coding)} is another transfer coding than "chunked"`;
}

/** Whether a response tells where its body ends (RFC 9112, section 6.3). */
export function hasDelimitedBody(
  method: string,
  status: number,
  headers: IncomingHttpHeaders,
): boolean {
  const hasNoBody = method === "HEAD" || status === 204 || status === 304;
  return hasNoBody || headers["transfer-encoding"] !== undefined ||
    headers["content-length"] !== undefined;
}

/** Whether trailers are fields; they are alternating names and values. */
export function areValidTrailers(raw: readonly string[]): boolean {
  return raw.every((text, index) =>
    (index % 2 === 0 ? NAME_PATTERN : VALUE_PATTERN).test(text)
  );
}

function quote(text: string): string {
  return JSON.stringify(text.slice(0, MAX_NAMED_CHARACTERS));
}
