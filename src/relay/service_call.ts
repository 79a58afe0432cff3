/** One attempt of a request on a plain service. */
import { Verdict } from "../schema/mod.ts";
import { getReason } from "../sys/errors.ts";
import {
  type HttpRequest,
  type HttpResponse,
  HttpSendError,
  removeHopByHopHeaders,
  sendHttp,
} from "../sys/http.ts";

/** The head of an answer, or how the attempt failed. */
export type ServiceResult =
  | { readonly kind: "answered"; readonly response: HttpResponse }
  | {
    readonly kind: "broken";
    readonly reason: string;
    readonly verdict: Verdict;
    readonly isConnectionLost: boolean;
  }
  | { readonly kind: "aborted" };

/** Sends a request to a plain service; its body passes through unread. */
export async function callService(
  request: HttpRequest,
): Promise<ServiceResult> {
  try {
    const headers = removeHopByHopHeaders(
      (request.headers ?? {}) as Parameters<typeof removeHopByHopHeaders>[0],
    );
    const response = await sendHttp({ ...request, headers });
    return { kind: "answered", response: response };
  } catch (error) {
    if (request.signal?.aborted === true) return { kind: "aborted" };
    const sendError = error instanceof HttpSendError ? error : undefined;
    return {
      kind: "broken",
      reason: getReason(error),
      verdict: sendError?.verdict ?? Verdict.MAY_HAVE_RUN,
      isConnectionLost: sendError?.isConnectionLost ?? true,
    };
  }
}
