/**
 * Error replies and failure outcomes that the state machine of an item group
 * creates. Their texts are replicated state, so they must be the same on all
 * replicas.
 */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
  type ItemReplySchema,
  MessageCode,
  type Outcome,
  OutcomeSchema,
  Verdict,
} from "../../schema/mod.ts";
import { formatMessage } from "../../sys/errors.ts";

/** Initial fields of an `ItemReply` message. */
export type ItemReplyInit = MessageInitShape<typeof ItemReplySchema>;

/** An error reply with its message code and text. */
export function createErrorReply(
  code: MessageCode,
  parameters: Record<string, string | number>,
): ItemReplyInit {
  return { code, detail: formatMessage(code, parameters) };
}

/** The error reply to a command of a session that has ended. */
export function createStaleEpochReply(epoch: number): ItemReplyInit {
  return createErrorReply(MessageCode.STALE_EPOCH, { epoch });
}

/** The outcome of a non-idempotent run whose entry was lost. */
export function createEntryLostOutcome(): Outcome {
  return create(OutcomeSchema, {
    verdict: Verdict.MAY_HAVE_RUN,
    status: 502,
    code: MessageCode.ENTRY_LOST,
    detail: formatMessage(MessageCode.ENTRY_LOST),
  });
}

/** The outcome of an item that used up its charged attempts. */
export function createAttemptsSpentOutcome(attempts: number): Outcome {
  return create(OutcomeSchema, {
    verdict: Verdict.MAY_HAVE_RUN,
    status: 502,
    code: MessageCode.ATTEMPTS_SPENT,
    detail: formatMessage(MessageCode.ATTEMPTS_SPENT, {
      attempts,
      reason: "each attempt failed",
    }),
  });
}
