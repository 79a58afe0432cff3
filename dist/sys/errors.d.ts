import { MessageCode, Verdict } from "../schema/mod.ts";
/** Values for the placeholders of a message. */
export type MessageParameters = Readonly<Record<string, string | number>>;
/** The text of a message with its placeholders filled. */
export declare function formatMessage(code: MessageCode, parameters?: MessageParameters): string;
/** The stable name of a code, such as `PT3004 answer_lost`. */
export declare function formatCode(code: MessageCode): string;
/** The short name of a code, for logs and metrics. */
export declare function getCodeName(code: MessageCode): string;
/** Words of the verdicts in answers and files. */
export declare const VerdictText: {
    readonly 0: "may have run";
    readonly 1: "not run";
    readonly 2: "may have run";
    readonly 3: "ran";
};
/** How a {@linkcode ServingError} is made. */
export interface ServingErrorOptions {
    readonly verdict?: Verdict;
    readonly parameters?: MessageParameters;
    /** Seconds after which the caller may come back. */
    readonly retryAfterS?: number;
    readonly cause?: unknown;
}
/** An error with a stable code and a verdict. */
export declare class ServingError extends Error {
    readonly code: MessageCode;
    readonly verdict: Verdict;
    readonly retryAfterS?: number;
    constructor(code: MessageCode, options?: ServingErrorOptions);
    /** Status of the HTTP answer that carries this error. */
    get httpStatus(): number;
    /** Exit code of a process that ends with this error. */
    get exitCode(): number;
}
/** The text of any thrown value. */
export declare function getReason(error: unknown): string;
/** The thrown value as a {@linkcode ServingError}. */
export declare function asServingError(error: unknown, verdict?: Verdict): ServingError;
/** The end of a request whose signal was aborted: late, or left by its caller. */
export declare function createAbortError(signal: AbortSignal, verdict: Verdict): ServingError;
/** States that a union has no member left. */
export declare function assertNever(value: never): never;
/** States an invariant. */
export declare function assert(holds: boolean, invariant: string): asserts holds;
