/** One attempt of a request on a plain service. */
import { Verdict } from "../schema/mod.ts";
import { getReason } from "../sys/errors.ts";
import {
  type HttpAnswer,
  type HttpCall,
  HttpSendError,
  removeHopHeaders,
  sendHttp,
} from "../sys/http.ts";

/** The head of an answer, or how the attempt failed. */
export type ServiceResult =
  | { readonly kind: "answered"; readonly answer: HttpAnswer }
  | {
    readonly kind: "broken";
    readonly reason: string;
    readonly verdict: Verdict;
    readonly isConnectionLost: boolean;
  }
  | { readonly kind: "aborted" };

/** Sends a request to a plain service; its body passes through unread. */
export async function callService(call: HttpCall): Promise<ServiceResult> {
  try {
    const headers = removeHopHeaders(
      (call.headers ?? {}) as Parameters<typeof removeHopHeaders>[0],
    );
    const answer = await sendHttp({ ...call, headers });
    return { kind: "answered", answer };
  } catch (error) {
    if (call.signal?.aborted === true) return { kind: "aborted" };
    const sent = error instanceof HttpSendError ? error : undefined;
    return {
      kind: "broken",
      reason: getReason(error),
      verdict: sent?.verdict ?? Verdict.MAY_HAVE_RUN,
      isConnectionLost: sent?.isBroken ?? true,
    };
  }
}
