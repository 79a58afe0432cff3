/** Recorded outcomes: made from failures, sent as answers. */
import { create } from "@bufbuild/protobuf";
import { OutcomeSchema } from "../schema/mod.js";
import { ServingError } from "../sys/errors.js";
import { sendJson } from "./answers.js";
/** Sends a recorded outcome as the answer of a request. */
export function sendOutcome(res, outcome) {
    if (outcome.code !== 0) {
        const error = new ServingError(outcome.code, { verdict: outcome.verdict });
        error.message = outcome.detail;
        throw error;
    }
    if (res.destroyed)
        return;
    if (outcome.body.length === 0) {
        sendJson(res, outcome.status, {});
        return;
    }
    res.writeHead(outcome.status, { "content-type": outcome.contentType });
    res.end(outcome.body);
}
/** A failure as the recorded outcome of a request. */
export function createFailure(error) {
    return create(OutcomeSchema, {
        verdict: error.verdict,
        status: error.httpStatus,
        code: error.code,
        detail: error.message,
    });
}
//# sourceMappingURL=outcomes.js.map