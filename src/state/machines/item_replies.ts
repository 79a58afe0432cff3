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
export type ReplyInit = MessageInitShape<typeof ItemReplySchema>;

/** A refusal with its code and text. */
export function createRefusal(
  code: MessageCode,
  parameters: Record<string, string | number>,
): ReplyInit {
  return { code, detail: formatMessage(code, parameters) };
}

/** The refusal of an epoch that has ended. */
export function createStaleReply(epoch: number): ReplyInit {
  return createRefusal(MessageCode.STALE_EPOCH, { epoch });
}

/** The outcome of what a lost entry had dispatched. */
export function createLostOutcome(): Outcome {
  return create(OutcomeSchema, {
    verdict: Verdict.MAY_HAVE_RUN,
    status: 502,
    code: MessageCode.ENTRY_LOST,
    detail: formatMessage(MessageCode.ENTRY_LOST),
  });
}

/** The outcome of an item that failed too often. */
export function createFailedOutcome(attempts: number): Outcome {
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
