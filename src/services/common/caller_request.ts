/** Properties that every caller's request has, parsed from its headers. */
import { MessageCode, type Workload } from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { ServingError } from "../../sys/errors.ts";
import type { IncomingMessage, ServerResponse } from "../../sys/http.ts";
import type { Random } from "../../sys/random.ts";
import type { StopPeriod } from "./stop_period.ts";

/** Names of the request headers that callers may set. */
export const CallerHeader = {
  caller: "papayatally-caller",
  deadlineMs: "papayatally-deadline-ms",
  idempotent: "papayatally-idempotent",
  idempotencyKey: "idempotency-key",
  requestId: "x-request-id",
} as const;

/** Timeout of a request whose workload sets none, in milliseconds. */
export const DEFAULT_TIMEOUT_MS = 60_000;

const MAX_TIMEOUT_MS = 24 * 3_600_000;
const MAX_KEY_LENGTH = 255;

/** A caller's request in progress. */
export interface CallerRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly id: string;
  readonly caller: string;
  /** Idempotency key; empty if there is none. */
  readonly key: string;
  /** Whether a header of the request declares it non-idempotent. */
  readonly isMarkedNonIdempotent: boolean;
  /** Timeout in milliseconds; undefined if the caller set none. */
  readonly timeoutMs: number | undefined;
  /** Monotonic milliseconds. */
  readonly startMs: number;
  /**
   * Aborted when the caller disconnects before the response is complete, or this
   * process ends in a planned stop.
   */
  readonly signal: AbortSignal;
  readonly stopPeriod: StopPeriod;
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

/** Parses an idempotency key, which may be a quoted string. */
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

/** Parses a request's headers; throws BAD_PARAMETER if one is invalid. */
export function createCallerRequest(
  req: IncomingMessage,
  res: ServerResponse,
  options: { clock: Clock; random: Random; stopPeriod: StopPeriod },
): CallerRequest {
  const abortController = new AbortController();
  const { ended } = options.stopPeriod;
  const abort = () => abortController.abort();
  if (ended.aborted) abort();
  ended.addEventListener("abort", abort);
  res.on("close", () => {
    ended.removeEventListener("abort", abort);
    if (!res.writableFinished) abort();
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
    stopPeriod: options.stopPeriod,
  };
}

/**
 * Returns the deadline of the request, in monotonic milliseconds. A caller can
 * shorten the workload's timeout but not extend it.
 */
export function getDeadlineMs(
  call: CallerRequest,
  workload: Workload | undefined,
): number {
  const allowedMs = workload?.timeoutMs || DEFAULT_TIMEOUT_MS;
  return call.startMs + Math.min(call.timeoutMs ?? allowedMs, allowedMs);
}
