/** HTTP responses of an entry: JSON and problem details (RFC 9457). */
import { MessageCode } from "../../schema/mod.ts";
import {
  asServingError,
  formatCode,
  formatMessage,
  getCodeName,
  type ServingError,
  VerdictText,
} from "../../sys/errors.ts";
import { sendWhole } from "../../sys/framed_response.ts";
import type { ServerResponse } from "../../sys/http.ts";

/** Creates the body of an error response. */
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

/** Sends a JSON response; no effect if the headers are already sent. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  if (res.headersSent) return;
  sendWhole(
    res,
    status,
    { "content-type": "application/json", ...headers },
    `${JSON.stringify(value)}\n`,
  );
}

/** Sends an error response, or ends a started stream with an error event. */
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
  sendWhole(
    res,
    error.httpStatus,
    { "content-type": "application/problem+json", ...retry },
    `${JSON.stringify(problem)}\n`,
  );
}

/** Creates the raw response to a request whose headers exceed the limit. */
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
