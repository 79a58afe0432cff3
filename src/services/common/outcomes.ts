/** Recorded outcomes: created from errors, sent as HTTP responses. */
import { create } from "@bufbuild/protobuf";
import { type Outcome, OutcomeSchema } from "../../schema/mod.ts";
import { ServingError } from "../../sys/errors.ts";
import { FramedResponse } from "../../sys/framed_response.ts";
import type { ServerResponse } from "../../sys/http.ts";
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
  const framed = new FramedResponse(res);
  framed.sendHead(
    outcome.status,
    {
      "content-type": outcome.contentType,
      ...outcome.isUndelimited
        ? {}
        : { "content-length": String(outcome.body.length) },
    },
    { isUnframed: outcome.isUndelimited },
  );
  framed.write(Buffer.from(outcome.body));
  framed.end();
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
