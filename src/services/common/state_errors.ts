/** Errors of calls to the replicated state. */
import { type ItemReply, MessageCode, Verdict } from "../../schema/mod.ts";
import { ServingError } from "../../sys/errors.ts";

/** A command refused by the state machine, with the detail of its reply. */
export class CommandRefusedError extends ServingError {
  constructor(
    { code, detail }: Pick<ItemReply, "code" | "detail">,
    options: { verdict: Verdict },
  ) {
    super(code, options);
    this.message = detail;
  }
}

/** Creates the error of a call that may have been carried out, or may be yet. */
export function createUnknownOutcomeError(reason: string): ServingError {
  return new ServingError(MessageCode.STATE_UNREACHABLE, {
    verdict: Verdict.MAY_HAVE_RUN,
    parameters: { reason },
    retryAfterS: 1,
  });
}

/**
 * Creates the error of a command that was refused while another attempt at it may
 * still be carried out.
 */
export function createUnsettledRefusalError(): ServingError {
  return createUnknownOutcomeError(
    "one attempt was refused, another may still be carried out",
  );
}
