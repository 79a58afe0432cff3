/** What every request of a caller carries, read from its headers. */
import { MessageCode, type Workload } from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { ServingError } from "../../sys/errors.ts";
import type { IncomingMessage, ServerResponse } from "../../sys/http.ts";
import type { Random } from "../../sys/random.ts";

/** Headers that callers set. */
export const CallerHeader = {
  caller: "papayatally-caller",
  deadlineMs: "papayatally-deadline-ms",
  idempotent: "papayatally-idempotent",
  idempotencyKey: "idempotency-key",
  requestId: "x-request-id",
} as const;

/** Time that a request may take when nothing else is said. */
export const DEFAULT_TIMEOUT_MS = 60_000;

const MAX_TIMEOUT_MS = 24 * 3_600_000;
const MAX_KEY_LENGTH = 255;

/** A caller's request in progress. */
export interface CallerRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly id: string;
  readonly caller: string;
  /** Empty without a key. */
  readonly key: string;
  readonly isMarkedNonIdempotent: boolean;
  /** Milliseconds that the caller gives; undefined when it says nothing. */
  readonly timeoutMs: number | undefined;
  readonly startMs: number;
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
}

function getHeader(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return (Array.isArray(value) ? value[0] : value) ?? "";
}

function parseTimeout(text: string): number | undefined {
  if (text === "") return undefined;
  const value = Number(text);
  const isValid = Number.isInteger(value) && value >= 1 &&
    value <= MAX_TIMEOUT_MS;
  if (isValid) return value;
  throw new ServingError(MessageCode.BAD_PARAMETER, {
    parameters: {
      name: CallerHeader.deadlineMs,
      expected: `a whole number from 1 to ${MAX_TIMEOUT_MS}`,
    },
  });
}

/** An idempotency key may be written as a quoted string. */
function parseKey(text: string): string {
  const key = text.replace(/^"(.*)"$/, "$1");
  if (key.length <= MAX_KEY_LENGTH) return key;
  throw new ServingError(MessageCode.BAD_PARAMETER, {
    parameters: {
      name: CallerHeader.idempotencyKey,
      expected: `at most ${MAX_KEY_LENGTH} characters`,
    },
  });
}

/** Reads a request's headers; a bad one is thrown as BAD_PARAMETER. */
export function createCallerRequest(
  req: IncomingMessage,
  res: ServerResponse,
  options: { clock: Clock; random: Random },
): CallerRequest {
  const abortController = new AbortController();
  res.on("close", () => {
    if (!res.writableFinished) abortController.abort();
  });
  return {
    req,
    res,
    id: getHeader(req, CallerHeader.requestId) || options.random.createId(),
    caller: getHeader(req, CallerHeader.caller) || "anonymous",
    key: parseKey(getHeader(req, CallerHeader.idempotencyKey)),
    isMarkedNonIdempotent:
      getHeader(req, CallerHeader.idempotent).toLowerCase() === "false",
    timeoutMs: parseTimeout(getHeader(req, CallerHeader.deadlineMs)),
    startMs: options.clock.getMonotonicMs(),
    signal: abortController.signal,
  };
}

/** When the request's answer is no longer wanted, in monotonic milliseconds. */
export function getDeadlineMs(
  call: CallerRequest,
  workload: Workload | undefined,
): number {
  const allowedMs = workload?.timeoutMs || DEFAULT_TIMEOUT_MS;
  return call.startMs + Math.min(call.timeoutMs ?? allowedMs, allowedMs);
}
