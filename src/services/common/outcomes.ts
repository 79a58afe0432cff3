/** Recorded outcomes: created from errors, sent as HTTP responses. */
import { create } from "@bufbuild/protobuf";
import { type Outcome, OutcomeSchema } from "../../schema/mod.ts";
import { ServingError } from "../../sys/errors.ts";
import { sendResponseHead, type ServerResponse } from "../../sys/http.ts";
import { sendJson } from "./responses.ts";

/**
 * Sends a recorded outcome as the response; throws a ServingError if the outcome
 * is a failure.
 */
export function sendOutcome(res: ServerResponse, outcome: Outcome): void {
  if (outcome.code !== 0) {
    const error = new ServingError(outcome.code, { verdict: outcome.verdict });
    error.message = outcome.detail;
    throw error;
  }
  if (res.destroyed) return;
  if (outcome.body.length === 0) {
    sendJson(res, outcome.status, {});
    return;
  }
  sendResponseHead(
    res,
    outcome.status,
    { "content-type": outcome.contentType },
    { isDelimited: !outcome.isUndelimited },
  );
  res.end(outcome.body);
}

/** Converts an error to an outcome that can be recorded. */
export function createFailureOutcome(error: ServingError): Outcome {
  return create(OutcomeSchema, {
    verdict: error.verdict,
    status: error.httpStatus,
    code: error.code,
    detail: error.message,
  });
}
