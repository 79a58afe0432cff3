/** Replies and outcomes that an item group gives by itself. */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
  type ItemReplySchema,
  MessageCode,
  type Outcome,
  OutcomeSchema,
  Verdict,
} from "../../schema/mod.ts";
import { formatMessage } from "../../sys/errors.ts";

/** Fields of a reply. */
export type ItemReplyInit = MessageInitShape<typeof ItemReplySchema>;

/** A refusal with its code and text. */
export function createErrorReply(
  code: MessageCode,
  parameters: Record<string, string | number>,
): ItemReplyInit {
  return { code, detail: formatMessage(code, parameters) };
}

/** The refusal of an epoch that has ended. */
export function createStaleEpochReply(epoch: number): ItemReplyInit {
  return createErrorReply(MessageCode.STALE_EPOCH, { epoch });
}

/** The outcome of what a lost entry had dispatched. */
export function createEntryLostOutcome(): Outcome {
  return create(OutcomeSchema, {
    verdict: Verdict.MAY_HAVE_RUN,
    status: 502,
    code: MessageCode.ENTRY_LOST,
    detail: formatMessage(MessageCode.ENTRY_LOST),
  });
}

/** The outcome of an item that failed too often. */
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
