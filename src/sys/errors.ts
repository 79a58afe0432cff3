/**
 * Errors. Each carries the stable code of its row in the message table and the
 * verdict that says whether the request it ends may have run.
 */
import { getOption } from "@bufbuild/protobuf";
import {
  message as messageOption,
  MessageCode,
  MessageCodeSchema,
  Verdict,
} from "../schema/mod.ts";

/** Values for the placeholders of a message. */
export type MessageParameters = Readonly<Record<string, string | number>>;

interface MessageDefinition {
  readonly name: string;
  readonly text: string;
  readonly httpStatus: number;
  readonly exitCode: number;
}

const messageDefinitions: ReadonlyMap<number, MessageDefinition> = new Map(
  MessageCodeSchema.values.map((value) => {
    const option = getOption(value, messageOption);
    return [value.number, {
      name: value.name.toLowerCase(),
      text: option.text,
      httpStatus: option.httpStatus || 500,
      exitCode: option.exitCode || 1,
    }];
  }),
);

function getDefinition(code: MessageCode): MessageDefinition {
  const definition = messageDefinitions.get(code);
  return definition ??
    messageDefinitions.get(MessageCode.INTERNAL) as MessageDefinition;
}

/** The text of a message with its placeholders filled. */
export function formatMessage(
  code: MessageCode,
  parameters: MessageParameters = {},
): string {
  return getDefinition(code).text.replace(
    /\{(\w+)\}/g,
    (_, name: string) => String(parameters[name] ?? name),
  );
}

/** The stable name of a code, such as `PT3004 answer_lost`. */
export function formatCode(code: MessageCode): string {
  return `PT${code}`;
}

/** The short name of a code, for logs and metrics. */
export function getCodeName(code: MessageCode): string {
  return getDefinition(code).name;
}

/** Words of the verdicts in answers and files. */
export const VerdictText = {
  [Verdict.VERDICT_UNSPECIFIED]: "may have run",
  [Verdict.NOT_RUN]: "not run",
  [Verdict.MAY_HAVE_RUN]: "may have run",
  [Verdict.RAN]: "ran",
} as const;

/** How a {@linkcode ServingError} is made. */
export interface ServingErrorOptions {
  readonly verdict?: Verdict;
  readonly parameters?: MessageParameters;
  /** Seconds after which the caller may come back. */
  readonly retryAfterS?: number;
  readonly cause?: unknown;
}

/** An error with a stable code and a verdict. */
export class ServingError extends Error {
  readonly code: MessageCode;
  readonly verdict: Verdict;
  readonly retryAfterS?: number;

  constructor(code: MessageCode, options: ServingErrorOptions = {}) {
    super(formatMessage(code, options.parameters), { cause: options.cause });
    this.name = "ServingError";
    this.code = code;
    this.verdict = options.verdict ?? Verdict.NOT_RUN;
    this.retryAfterS = options.retryAfterS;
  }

  /** Status of the HTTP answer that carries this error. */
  get httpStatus(): number {
    return getDefinition(this.code).httpStatus;
  }

  /** Exit code of a process that ends with this error. */
  get exitCode(): number {
    return getDefinition(this.code).exitCode;
  }
}

/** The text of any thrown value. */
export function getReason(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** The thrown value as a {@linkcode ServingError}. */
export function asServingError(
  error: unknown,
  verdict?: Verdict,
): ServingError {
  if (error instanceof ServingError) return error;
  return new ServingError(MessageCode.INTERNAL, {
    verdict: verdict ?? Verdict.MAY_HAVE_RUN,
    parameters: { reason: getReason(error) },
    cause: error,
  });
}

/** The end of a request whose signal was aborted: late, or left by its caller. */
export function createAbortError(
  signal: AbortSignal,
  verdict: Verdict,
): ServingError {
  const isDeadlineExceeded = !signal.aborted ||
    signal.reason?.name === "TimeoutError";
  return new ServingError(
    isDeadlineExceeded ? MessageCode.DEADLINE_PASSED : MessageCode.CALLER_LEFT,
    { verdict },
  );
}

/** States that a union has no member left. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value ${JSON.stringify(value)}`);
}

/** States an invariant. */
export function assert(
  condition: boolean,
  invariant: string,
): asserts condition {
  if (!condition) throw new Error(`invariant broken: ${invariant}`);
}
