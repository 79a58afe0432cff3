/** Answers of an entry to callers: JSON and problem details (RFC 9457). */
import { MessageCode } from "../schema/mod.js";
import { asServingError, formatCode, formatMessage, getCodeName, VerdictText, } from "../sys/errors.js";
/** The body of an error answer. */
export function createProblem(error) {
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
export function sendJson(res, status, value, headers = {}) {
    if (res.headersSent)
        return;
    res.writeHead(status, { "content-type": "application/json", ...headers });
    res.end(`${JSON.stringify(value)}\n`);
}
/** Answers with an error, or ends a stream that has begun with one. */
export function sendProblem(res, thrown) {
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
export function createRawHeaderProblem(limit) {
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
//# sourceMappingURL=answers.js.map