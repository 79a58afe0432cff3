/** Client of remote procedure calls, based on grpc-js. */
import * as grpc from "@grpc/grpc-js";
import {
  create,
  type DescMessage,
  type DescMethodClientStreaming,
  type DescMethodServerStreaming,
  type DescMethodUnary,
  type MessageInitShape,
  type MessageShape,
} from "@bufbuild/protobuf";
import { MessageCode, Verdict } from "../schema/mod.ts";
import { ServingError } from "./errors.ts";
import { tryParseTarget } from "./http.ts";
import { isolate } from "./isolation.ts";
import {
  CHANNEL_OPTIONS,
  CODE_METADATA_KEY,
  createMethodDefinition,
  type RpcCredentials,
  VERDICT_METADATA_KEY,
} from "./rpc_common.ts";

/** An error that the remote process returned, with its code and verdict. */
class RemoteError extends ServingError {
  constructor(code: MessageCode, verdict: Verdict, text: string) {
    super(code, { verdict });
    this.message = text;
  }
}

/**
 * Converts the status of a failed call to an error with code and verdict;
 * `defaultVerdict` holds unless the remote process gives one.
 */
function toServingError(
  error: grpc.ServiceError,
  defaultVerdict: Verdict = Verdict.MAY_HAVE_RUN,
): ServingError {
  const code = Number(error.metadata?.get(CODE_METADATA_KEY)[0] ?? 0);
  const verdict = Number(error.metadata?.get(VERDICT_METADATA_KEY)[0] ?? 0);
  if (code !== 0) return new RemoteError(code, verdict, error.details);
  return new ServingError(MessageCode.STATE_UNREACHABLE, {
    verdict: defaultVerdict,
    parameters: { reason: error.details || error.message },
    cause: error,
  });
}

/** Sending end of a client-streaming call. */
export interface RpcSender<M> {
  /** Whether the send buffer is full, because the remote process is too slow. */
  readonly isBufferFull: boolean;
  send(message: M): void;
  close(): void;
}

/** Options of a call. */
export interface CallOptions {
  /** Maximum wait for the reply, in milliseconds. */
  readonly timeoutMs?: number;
}

const DEFAULT_CALL_TIMEOUT_MS = 5_000;

/**
 * Target in place of an address that is none. All calls fail; the library throws
 * for some such addresses as soon as a client is made.
 */
const UNREACHABLE_TARGET = "dns:";

/** A connection to one process. */
export class RpcClient {
  readonly #credentials: RpcCredentials;
  readonly #isPartitioned: () => boolean;
  readonly address: string;
  #client: grpc.Client;

  constructor(address: string, credentials: RpcCredentials) {
    this.address = address;
    this.#credentials = credentials;
    this.#isPartitioned = () => credentials.isPartitioned(address);
    this.#client = this.#connect();
  }

  /**
   * Calls a unary method, without retries. A call without a reply fails with
   * STATE_UNREACHABLE and the verdict MAY_HAVE_RUN, or NOT_RUN if no connection
   * took it.
   */
  call<I extends DescMessage, O extends DescMessage>(
    method: DescMethodUnary<I, O>,
    req: MessageInitShape<I>,
    options: CallOptions = {},
  ): Promise<MessageShape<O>> {
    const definition = createMethodDefinition(method);
    const timeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    if (this.#isPartitioned()) return rejectAfterTimeout(timeoutMs);
    const client = this.#client;
    return new Promise((resolve, reject) => {
      const call = client.makeUnaryRequest(
        definition.path,
        definition.requestSerialize,
        definition.responseDeserialize as (bytes: Buffer) => MessageShape<O>,
        create(method.input, req),
        new grpc.Metadata(),
        { deadline: new Date(Date.now() + timeoutMs) },
        (error, reply) => {
          // A call without a connection has the peer that it was meant for.
          const isUnsent = call.getPeer() === client.getChannel().getTarget();
          if (error?.code === grpc.status.DEADLINE_EXCEEDED) {
            this.#replaceUnresponsive(client);
          }
          const verdict = isUnsent ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
          if (error !== null) reject(toServingError(error, verdict));
          else resolve(reply as MessageShape<O>);
        },
      );
    });
  }

  /**
   * Calls a server-streaming method. If `message` throws, the stream ends, as it does
   * if the connection is lost.
   */
  openStream<I extends DescMessage, O extends DescMessage>(
    method: DescMethodServerStreaming<I, O>,
    req: MessageInitShape<I>,
    handlers: {
      message: (message: MessageShape<O>) => void;
      end: (error?: ServingError) => void;
    },
  ): { cancel(): void; pause(): void; resume(): void } {
    const definition = createMethodDefinition(method);
    const call = this.#client.makeServerStreamRequest(
      definition.path,
      definition.requestSerialize,
      definition.responseDeserialize as (bytes: Buffer) => MessageShape<O>,
      create(method.input, req),
      new grpc.Metadata(),
    );
    // What the message said is sent anew on the next stream.
    const receive = isolate(handlers.message, () => call.cancel());
    call.on("data", (message) => {
      if (!this.#isPartitioned()) receive(message);
    });
    call.on(
      "error",
      (error: grpc.ServiceError) => handlers.end(toServingError(error)),
    );
    call.on("end", () => handlers.end());
    return call;
  }

  /** Calls a client-streaming method. */
  openSender<I extends DescMessage, O extends DescMessage>(
    method: DescMethodClientStreaming<I, O>,
    onEnd: () => void,
  ): RpcSender<MessageInitShape<I>> {
    const definition = createMethodDefinition(method);
    const call = this.#client.makeClientStreamRequest(
      definition.path,
      definition.requestSerialize,
      definition.responseDeserialize,
      new grpc.Metadata(),
      { deadline: Infinity },
      () => onEnd(),
    );
    let needsDrain = false;
    call.on("error", onEnd);
    call.on("drain", () => {
      needsDrain = false;
    });
    return {
      get isBufferFull() {
        return needsDrain;
      },
      send: (message) => {
        if (this.#isPartitioned()) return;
        needsDrain = !call.write(create(method.input, message));
      },
      close: () => call.cancel(),
    };
  }

  close(): void {
    this.#client.close();
  }

  #connect(): grpc.Client {
    return new grpc.Client(
      tryParseTarget(this.address) === undefined
        ? UNREACHABLE_TARGET
        : this.address,
      this.#credentials.client,
      CHANNEL_OPTIONS,
    );
  }

  /**
   * Replaces the connection after a call has timed out. A connection can fail
   * without a reset, which looks the same as a slow process, so the next call
   * uses a new one. Open calls on the old connection end at their own
   * deadlines.
   */
  #replaceUnresponsive(client: grpc.Client): void {
    if (this.#client !== client) return;
    this.#client = this.#connect();
    client.close();
  }
}

/** Simulates lost messages: the call fails only after its timeout. */
function rejectAfterTimeout(timeoutMs: number): Promise<never> {
  return new Promise((_, reject) =>
    setTimeout(() =>
      reject(
        new ServingError(MessageCode.STATE_UNREACHABLE, {
          verdict: Verdict.MAY_HAVE_RUN,
          parameters: { reason: "no answer in time" },
        }),
      ), timeoutMs)
  );
}

/** Clients of one process by address, created on first use. */
export class RpcClientPool {
  readonly #credentials: RpcCredentials;
  readonly #clients = new Map<string, RpcClient>();

  constructor(credentials: RpcCredentials) {
    this.#credentials = credentials;
  }

  get(address: string): RpcClient {
    const existing = this.#clients.get(address);
    if (existing !== undefined) return existing;
    const client = new RpcClient(address, this.#credentials);
    this.#clients.set(address, client);
    return client;
  }

  close(): void {
    this.#clients.forEach((client) => client.close());
    this.#clients.clear();
  }
}
