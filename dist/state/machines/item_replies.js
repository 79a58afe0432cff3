/** Replies and outcomes that an item group gives by itself. */
import { create } from "@bufbuild/protobuf";
import { MessageCode, OutcomeSchema, Verdict, } from "../../schema/mod.js";
import { formatMessage } from "../../sys/errors.js";
/** A refusal with its code and text. */
export function createRefusal(code, parameters) {
    return { code, detail: formatMessage(code, parameters) };
}
/** The refusal of an epoch that has ended. */
export function createStaleReply(epoch) {
    return createRefusal(MessageCode.STALE_EPOCH, { epoch });
}
/** The outcome of what a lost entry had dispatched. */
export function createLostOutcome() {
    return create(OutcomeSchema, {
        verdict: Verdict.MAY_HAVE_RUN,
        status: 502,
        code: MessageCode.ENTRY_LOST,
        detail: formatMessage(MessageCode.ENTRY_LOST),
    });
}
/** The outcome of an item that failed too often. */
export function createFailedOutcome(attempts) {
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
//# sourceMappingURL=item_replies.js.map