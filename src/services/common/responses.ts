/** Answers of an entry to callers: JSON and problem details (RFC 9457). */
import { MessageCode } from "../../schema/mod.ts";
import {
  asServingError,
  formatCode,
  formatMessage,
  getCodeName,
  type ServingError,
  VerdictText,
} from "../../sys/errors.ts";
import type { ServerResponse } from "../../sys/http.ts";

/** The body of an error answer. */
export function createProblem(error: ServingError): Record<string, unknown> {
  return {
    type: `urn:papayatally:error:${formatCode(error.code)}`,
    title: getCodeName(error.code).replaceAll("_", " "),
    status: error.httpStatus,
    detail: error.message,
    code: formatCode(error.code),
    verdict: VerdictText[error.verdict],
  };
}

/** Answers with JSON. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  if (res.headersSent) return;
  res.writeHead(status, { "content-type": "application/json", ...headers });
  res.end(`${JSON.stringify(value)}\n`);
}

/** Answers with an error, or ends a stream that has begun with one. */
export function sendProblem(res: ServerResponse, thrown: unknown): void {
  const error = asServingError(thrown);
  const problem = createProblem(error);
  if (res.headersSent) {
    if (!res.writableEnded) {
      res.end(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
    }
    return;
  }
  const retry = error.retryAfterS === undefined
    ? {}
    : { "retry-after": String(error.retryAfterS) };
  res.writeHead(error.httpStatus, {
    "content-type": "application/problem+json",
    ...retry,
  });
  res.end(`${JSON.stringify(problem)}\n`);
}

/** A raw answer for a request whose headers were too large to parse. */
export function createRawHeaderProblem(limit: number): string {
  const body = JSON.stringify({
    code: formatCode(MessageCode.HEADERS_TOO_LARGE),
    detail: formatMessage(MessageCode.HEADERS_TOO_LARGE, { limit }),
    verdict: "not run",
  });
  return [
    "HTTP/1.1 431 Request Header Fields Too Large",
    "content-type: application/problem+json",
    `content-length: ${Buffer.byteLength(body)}`,
    "connection: close",
    "",
    body,
  ].join("\r\n");
}
