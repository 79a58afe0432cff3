/**
 * Errors. Each carries the stable code of its row in the message table and the
 * verdict that says whether the request it ends may have run.
 */
import { getOption } from "@bufbuild/protobuf";
import { message as messageOption, MessageCode, MessageCodeSchema, Verdict, } from "../schema/mod.js";
const messageRows = new Map(MessageCodeSchema.values.map((value) => {
    const option = getOption(value, messageOption);
    return [value.number, {
            name: value.name.toLowerCase(),
            text: option.text,
            httpStatus: option.httpStatus || 500,
            exitCode: option.exitCode || 1,
        }];
}));
function getRow(code) {
    const row = messageRows.get(code);
    return row ?? messageRows.get(MessageCode.INTERNAL);
}
/** The text of a message with its placeholders filled. */
export function formatMessage(code, parameters = {}) {
    return getRow(code).text.replace(/\{(\w+)\}/g, (_, name) => String(parameters[name] ?? name));
}
/** The stable name of a code, such as `PT3004 answer_lost`. */
export function formatCode(code) {
    return `PT${code}`;
}
/** The short name of a code, for logs and metrics. */
export function getCodeName(code) {
    return getRow(code).name;
}
/** Words of the verdicts in answers and files. */
export const VerdictText = {
    [Verdict.VERDICT_UNSPECIFIED]: "may have run",
    [Verdict.NOT_RUN]: "not run",
    [Verdict.MAY_HAVE_RUN]: "may have run",
    [Verdict.RAN]: "ran",
};
/** An error with a stable code and a verdict. */
export class ServingError extends Error {
    code;
    verdict;
    retryAfterS;
    constructor(code, options = {}) {
        super(formatMessage(code, options.parameters), { cause: options.cause });
        this.name = "ServingError";
        this.code = code;
        this.verdict = options.verdict ?? Verdict.NOT_RUN;
        this.retryAfterS = options.retryAfterS;
    }
    /** Status of the HTTP answer that carries this error. */
    get httpStatus() {
        return getRow(this.code).httpStatus;
    }
    /** Exit code of a process that ends with this error. */
    get exitCode() {
        return getRow(this.code).exitCode;
    }
}
/** The text of any thrown value. */
export function getReason(error) {
    return error instanceof Error ? error.message : String(error);
}
/** The thrown value as a {@linkcode ServingError}. */
export function asServingError(error, verdict) {
    if (error instanceof ServingError)
        return error;
    return new ServingError(MessageCode.INTERNAL, {
        verdict: verdict ?? Verdict.MAY_HAVE_RUN,
        parameters: { reason: getReason(error) },
        cause: error,
    });
}
/** The end of a request whose signal was aborted: late, or left by its caller. */
export function createAbortError(signal, verdict) {
    const isLate = !signal.aborted || signal.reason?.name === "TimeoutError";
    return new ServingError(isLate ? MessageCode.DEADLINE_PASSED : MessageCode.CALLER_LEFT, { verdict });
}
/** States that a union has no member left. */
export function assertNever(value) {
    throw new Error(`unexpected value ${JSON.stringify(value)}`);
}
/** States an invariant. */
export function assert(holds, invariant) {
    if (!holds)
        throw new Error(`invariant broken: ${invariant}`);
}
//# sourceMappingURL=errors.js.map