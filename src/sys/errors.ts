/**
 * Errors. Each carries the stable code of its entry in the message table and a
 * verdict, which says whether the failed request may have run.
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

/** Returns the text of a message with its placeholders replaced. */
export function formatMessage(
  code: MessageCode,
  parameters: MessageParameters = {},
): string {
  return getDefinition(code).text.replace(
    /\{(\w+)\}/g,
    (_, name: string) => String(parameters[name] ?? name),
  );
}

/** Returns the stable identifier of a code, such as `PT3004`. */
export function formatCode(code: MessageCode): string {
  return `PT${code}`;
}

/** Returns the name of a code for logs and metrics, such as `answer_lost`. */
export function getCodeName(code: MessageCode): string {
  return getDefinition(code).name;
}

/** Texts of the verdicts in responses and files. */
export const VerdictText = {
  [Verdict.VERDICT_UNSPECIFIED]: "may have run",
  [Verdict.NOT_RUN]: "not run",
  [Verdict.MAY_HAVE_RUN]: "may have run",
  [Verdict.RAN]: "ran",
} as const;

/** Options of a {@linkcode ServingError}. */
export interface ServingErrorOptions {
  readonly verdict?: Verdict;
  readonly parameters?: MessageParameters;
  /** Time after which the caller may retry, in seconds. */
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

  /** Status of the HTTP response that reports this error. */
  get httpStatus(): number {
    return getDefinition(this.code).httpStatus;
  }

  /** Exit code of a process that exits because of this error. */
  get exitCode(): number {
    return getDefinition(this.code).exitCode;
  }
}

/** Returns the message of any thrown value. */
export function getReason(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** Converts any thrown value to a {@linkcode ServingError}. */
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

/**
 * Creates the error of an aborted request: CALLER_LEFT if the caller
 * disconnected, otherwise DEADLINE_PASSED.
 */
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

/** Marks code as unreachable because all members of a union are handled. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value ${JSON.stringify(value)}`);
}

/** Throws unless the condition of an invariant is true. */
export function assert(
  condition: boolean,
  invariant: string,
): asserts condition {
  if (!condition) throw new Error(`invariant violated: ${invariant}`);
}
