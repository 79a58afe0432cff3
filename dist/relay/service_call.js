/** One attempt of a request on a plain service. */
import { Verdict } from "../schema/mod.js";
import { getReason } from "../sys/errors.js";
import { HttpSendError, removeHopHeaders, sendHttp, } from "../sys/http.js";
/** Sends a request to a plain service; its body passes through unread. */
export async function callService(call) {
    try {
        const headers = removeHopHeaders((call.headers ?? {}));
        const answer = await sendHttp({ ...call, headers });
        return { kind: "answered", answer };
    }
    catch (error) {
        if (call.signal?.aborted === true)
            return { kind: "aborted" };
        const sent = error instanceof HttpSendError ? error : undefined;
        return {
            kind: "broken",
            reason: getReason(error),
            verdict: sent?.verdict ?? Verdict.MAY_HAVE_RUN,
            isConnectionLost: sent?.isBroken ?? true,
        };
    }
}
//# sourceMappingURL=service_call.js.map