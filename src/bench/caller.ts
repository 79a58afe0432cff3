/** A caller's side of the interface, for the demo, tests and the bench. */
import { createParser } from "eventsource-parser";
import { getTokenText } from "../relay/mod.ts";
import { readBody, sendHttp } from "../sys/http.ts";

/** Options of one request. */
export interface RequestOptions {
  readonly headers?: Record<string, string>;
  readonly signal?: AbortSignal;
  readonly method?: string;
  /** Called at each token. */
  readonly onToken?: () => void;
}

/** A whole answer. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: Record<string, unknown>;
  readonly text: string;
}

/** A streamed completion to its end. */
export interface StreamedCompletion {
  readonly status: number;
  /** Text of all tokens. */
  readonly text: string;
  readonly tokens: number;
  readonly isDone: boolean;
  /** The error event's data, or the body of an error answer. */
  readonly error: string;
}

const MAX_BODY_BYTES = 256 << 20;

/** Sends a request and reads the whole answer. */
export async function sendRequest(
  address: string,
  path: string,
  body: unknown,
  options: RequestOptions = {},
): Promise<BufferedResponse> {
  const isText = typeof body === "string";
  const response = await sendHttp({
    address,
    method: options.method ?? (body === undefined ? "GET" : "POST"),
    path,
    headers: { "content-type": "application/json", ...options.headers },
    body: body === undefined ? undefined : isText ? body : JSON.stringify(body),
    signal: options.signal,
  });
  const bytes = await readBody(response.body, MAX_BODY_BYTES);
  return {
    status: response.status,
    headers: response.headers,
    text: bytes.toString(),
  };
}

/** Sends a completion and reads its stream. */
export async function streamCompletion(
  address: string,
  body: Record<string, unknown>,
  options: RequestOptions = {},
): Promise<StreamedCompletion> {
  const response = await sendHttp({
    address,
    method: "POST",
    path: "/v1/completions",
    headers: { "content-type": "application/json", ...options.headers },
    body: JSON.stringify({ ...body, stream: true }),
    signal: options.signal,
  });
  if (response.status !== 200) {
    const error = (await readBody(response.body, MAX_BODY_BYTES)).toString();
    return {
      status: response.status,
      text: "",
      tokens: 0,
      isDone: false,
      error,
    };
  }
  let text = "";
  let tokens = 0;
  let isDone = false;
  let error = "";
  const parser = createParser({
    onEvent: ({ event, data }) => {
      if (event === "error") error = data;
      else if (data === "[DONE]") isDone = true;
      else {
        text += getTokenText(data);
        tokens += 1;
        options.onToken?.();
      }
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const chunk of response.body) {
      parser.feed(decoder.decode(chunk, { stream: true }));
    }
  } catch (thrown) {
    error ||= String(thrown);
  }
  return { status: 200, text, tokens, isDone, error };
}
