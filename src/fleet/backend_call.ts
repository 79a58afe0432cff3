/**
 * One attempt of a request at one backend server: sends it, and classes what
 * comes back by what the fleet may do next.
 */
import { Verdict } from "../schema/mod.ts";
import { getReason } from "../sys/errors.ts";
import {
  type HttpAgent,
  type HttpResponse,
  HttpSendError,
  sendHttp,
} from "../sys/http.ts";
import type { BackendDialect } from "./dialects.ts";
import type { Place } from "./server_pool.ts";

/** A request as it goes to backend servers. */
export interface BackendRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  /** Headers to pass on, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** How an attempt begins. */
export interface AttemptOptions {
  readonly request: BackendRequest;
  readonly place: Place;
  readonly leftMs: number;
  readonly resumeAfter: number | undefined;
  /** Use a connection of its own. */
  readonly isFresh: boolean;
  readonly signal: AbortSignal;
}

/** An answer whose body is read by {@linkcode BackendAnswer.chunks}. */
export interface BackendAnswer extends HttpResponse {
  readonly chunks: AsyncIterable<Buffer>;
}

/** What came of sending a request, up to the head of its answer. */
export type AttemptHead =
  /** The server answers; the body follows. */
  | { readonly kind: "answer"; readonly answer: BackendAnswer }
  /** The server surely did not run it. */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    /** Time the server asked to be left alone; undefined when it didn't. */
    readonly retryAfterMs: number | undefined;
  }
  /** It may have run. */
  | { readonly kind: "lost"; readonly reason: string }
  /** The signal was aborted. */
  | { readonly kind: "aborted" };

const MS_PER_S = 1_000;

/** Sends requests to backend servers. */
export class BackendCaller {
  readonly #dialect: BackendDialect;
  readonly #agent: HttpAgent;
  readonly #onLoad: (server: string, total: number) => void;
  readonly #onMisplaced: (server: string) => void;
  readonly #onUnreachable: (server: string) => void;
  readonly #onHeard: (server: string) => void;

  constructor(options: {
    dialect: BackendDialect;
    agent: HttpAgent;
    onLoad: (server: string, total: number) => void;
    onMisplaced: (server: string) => void;
    onUnreachable: (server: string) => void;
    onHeard: (server: string) => void;
  }) {
    this.#dialect = options.dialect;
    this.#agent = options.agent;
    this.#onLoad = options.onLoad;
    this.#onMisplaced = options.onMisplaced;
    this.#onUnreachable = options.onUnreachable;
    this.#onHeard = options.onHeard;
  }

  /** Sends one attempt and waits for the head of its answer. */
  async send(options: AttemptOptions): Promise<AttemptHead> {
    const { request, place } = options;
    try {
      const answer = await sendHttp({
        address: place.server.address,
        method: request.method,
        path: request.target,
        headers: this.#createHeaders(options),
        body: request.body,
        usesNewConnection: options.isFresh,
        agent: this.#agent,
        signal: options.signal,
      });
      return this.#classify(answer, options);
    } catch (error) {
      return this.#classifyFailure(error, options);
    }
  }

  #createHeaders({ request, place, leftMs, resumeAfter }: AttemptOptions) {
    return [
      ...request.headers,
      ...this.#dialect.createHeaders({
        server: place.server.id,
        leftMs: Math.max(1, Math.floor(leftMs)),
        resumeAfter,
      }),
      "Content-Length",
      String(request.body.length),
    ];
  }

  #classify(answer: HttpResponse, options: AttemptOptions): AttemptHead {
    const { request, place } = options;
    const { id } = place.server;
    this.#onHeard(id);
    const facts = this.#dialect.readAnswer(answer.status, answer.headers);
    const isOther = facts.requestId !== "" &&
      facts.requestId !== request.requestId;
    if (isOther) {
      // An answer to somebody else's request: nothing on this connection can
      // be told apart any more.
      answer.body.destroy();
      return { kind: "lost", reason: "the answer belongs to another request" };
    }
    if (facts.load !== undefined) this.#onLoad(place.server.id, facts.load);
    if (facts.isWrongServer) this.#onMisplaced(place.server.id);
    if (!facts.isNotRun) {
      const chunks = readChunks(answer.body, () => this.#onHeard(id));
      return { kind: "answer", answer: { ...answer, chunks } };
    }
    answer.body.resume();
    return {
      kind: "notRun",
      reason: `the server answered ${answer.status} and did not run it`,
      retryAfterMs: readRetryAfter(answer.headers["retry-after"]),
    };
  }

  #classifyFailure(error: unknown, options: AttemptOptions): AttemptHead {
    if (options.signal.aborted) return { kind: "aborted" };
    const reason = getReason(error);
    this.#onUnreachable(options.place.server.id);
    const isNotRun = error instanceof HttpSendError &&
      error.verdict === Verdict.NOT_RUN;
    return isNotRun
      ? { kind: "notRun", reason, retryAfterMs: undefined }
      : { kind: "lost", reason };
  }
}

async function* readChunks(
  body: HttpResponse["body"],
  onChunk: () => void,
): AsyncIterable<Buffer> {
  for await (const chunk of body) {
    onChunk();
    yield chunk;
  }
}

function readRetryAfter(value: string | undefined): number | undefined {
  const seconds = Number(value);
  return value === undefined || !Number.isFinite(seconds)
    ? undefined
    : seconds * MS_PER_S;
}
