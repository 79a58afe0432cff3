/** One attempt of a request on a plain service. */
import { Verdict } from "../schema/mod.ts";
import { type HttpAnswer, type HttpCall } from "../sys/http.ts";
/** The head of an answer, or how the attempt failed. */
export type ServiceResult = {
    readonly kind: "answered";
    readonly answer: HttpAnswer;
} | {
    readonly kind: "broken";
    readonly reason: string;
    readonly verdict: Verdict;
    readonly isConnectionLost: boolean;
} | {
    readonly kind: "aborted";
};
/** Sends a request to a plain service; its body passes through unread. */
export declare function callService(call: HttpCall): Promise<ServiceResult>;
