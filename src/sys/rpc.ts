/**
 * Remote procedure calls between own processes and from operators, over gRPC.
 * Services and messages come from the schema; this module binds them to
 * grpc-js and is the only door to it.
 */
import * as grpc from "@grpc/grpc-js";
import { readFileSync } from "node:fs";
import {
  create,
  type DescMessage,
  type DescMethod,
  type DescMethodClientStreaming,
  type DescMethodServerStreaming,
  type DescMethodUnary,
  type DescService,
  fromBinary,
  type MessageInitShape,
  type MessageShape,
  toBinary,
} from "@bufbuild/protobuf";
import { MessageCode, type TlsSettings, Verdict } from "../schema/mod.ts";
import { getReason, ServingError } from "./errors.ts";

/** Largest message of a call, in bytes. */
const MAX_MESSAGE_BYTES = 64 << 20;

/** Time after which a silent connection is probed, in milliseconds. */
const KEEPALIVE_MS = 5_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;

/** Longest wait before a broken connection is tried again, in milliseconds. */
const MAX_RECONNECT_MS = 1_000;
const FIRST_RECONNECT_MS = 100;

const CHANNEL_OPTIONS = {
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
  "grpc.keepalive_time_ms": KEEPALIVE_MS,
  "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
  "grpc.initial_reconnect_backoff_ms": FIRST_RECONNECT_MS,
  "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_MS,
  "grpc.use_local_subchannel_pool": 1,
};

/** Who made a call. */
export interface RpcPeer {
  /** Common name of the peer's certificate; empty without TLS. */
  readonly identity: string;
}

/** Sends answers of a streaming call. */
export interface RpcStream<O> {
  /** Sends one message and resolves when there is room for the next. */
  send(message: O): Promise<void>;
  readonly closed: boolean;
  onClosed(action: () => void): void;
}

type Handlers<S extends DescService> = {
  [K in keyof S["method"]]: Handler<S["method"][K]>;
};

type Handler<M> = M extends DescMethodUnary<infer I, infer O> ? (
    req: MessageShape<I>,
    peer: RpcPeer,
  ) => Promise<MessageInitShape<O>>
  : M extends DescMethodServerStreaming<infer I, infer O> ? (
      req: MessageShape<I>,
      stream: RpcStream<MessageInitShape<O>>,
      peer: RpcPeer,
    ) => Promise<void>
  : M extends DescMethodClientStreaming<infer I, infer O>
    ? (onMessage: (on: (message: MessageShape<I>) => void) => void) => void
  : never;

function createDefinition(method: DescMethod): grpc.MethodDefinition<
  unknown,
  unknown
> {
  const encode = (schema: DescMessage) => (value: unknown) =>
    Buffer.from(toBinary(schema, value as MessageShape<DescMessage>));
  const decode = (schema: DescMessage) => (bytes: Buffer) =>
    fromBinary(schema, bytes);
  return {
    path: `/${method.parent.typeName}/${method.name}`,
    requestStream: method.methodKind === "client_streaming",
    responseStream: method.methodKind === "server_streaming",
    requestSerialize: encode(method.input),
    requestDeserialize: decode(method.input),
    responseSerialize: encode(method.output),
    responseDeserialize: decode(method.output),
  };
}

const CODE_METADATA = "papayatally-code";
const VERDICT_METADATA = "papayatally-verdict";

function toStatus(error: unknown): Partial<grpc.StatusObject> {
  const metadata = new grpc.Metadata();
  if (error instanceof ServingError) {
    metadata.set(CODE_METADATA, String(error.code));
    metadata.set(VERDICT_METADATA, String(error.verdict));
  }
  return {
    code: error instanceof ServingError
      ? grpc.status.FAILED_PRECONDITION
      : grpc.status.INTERNAL,
    details: getReason(error),
    metadata,
  };
}

/** An error of the remote process, with its code and verdict. */
class RemoteError extends ServingError {
  constructor(code: MessageCode, verdict: Verdict, text: string) {
    super(code, { verdict });
    this.message = text;
  }
}

/** The failure of a call as an error with code and verdict. */
function fromStatus(error: grpc.ServiceError): ServingError {
  const code = Number(error.metadata?.get(CODE_METADATA)[0] ?? 0);
  const verdict = Number(error.metadata?.get(VERDICT_METADATA)[0] ?? 0);
  if (code !== 0) return new RemoteError(code, verdict, error.details);
  return new ServingError(MessageCode.STATE_UNREACHABLE, {
    verdict: Verdict.MAY_HAVE_RUN,
    parameters: { reason: error.details || error.message },
    cause: error,
  });
}

function getIdentity(call: { getAuthContext?: () => unknown }): string {
  const context = call.getAuthContext?.() as
    | { sslPeerCertificate?: { subject?: { CN?: string } } }
    | undefined;
  return context?.sslPeerCertificate?.subject?.CN ?? "";
}

/** Key material read from the files that the settings name. */
export interface RpcCredentials {
  readonly server: grpc.ServerCredentials;
  readonly client: grpc.ChannelCredentials;
  readonly isSecure: boolean;
  /** Whether messages to an address vanish; a test cuts the network so. */
  readonly isCut: (address: string) => boolean;
}

/** Reads certificates; without settings connections are plain. */
export function createCredentials(
  tls?: TlsSettings,
  isCut: (address: string) => boolean = () => false,
): RpcCredentials {
  if (tls === undefined) {
    return {
      isCut,
      server: grpc.ServerCredentials.createInsecure(),
      client: grpc.credentials.createInsecure(),
      isSecure: false,
    };
  }
  const authority = readFileSync(tls.authority);
  const key = readFileSync(tls.key);
  const certificate = readFileSync(tls.certificate);
  return {
    isCut,
    server: grpc.ServerCredentials.createSsl(
      authority,
      [{ private_key: key, cert_chain: certificate }],
      true,
    ),
    client: grpc.credentials.createSsl(authority, key, certificate),
    isSecure: true,
  };
}

/** A gRPC server on one address. */
export class RpcServer {
  readonly #server = new grpc.Server(CHANNEL_OPTIONS);
  readonly #credentials: RpcCredentials;

  constructor(credentials: RpcCredentials) {
    this.#credentials = credentials;
  }

  /** Serves all methods of a service. */
  addService<S extends DescService>(service: S, handlers: Handlers<S>): void {
    const rows = service.methods.map((method) => {
      const handler = handlers[method.localName as keyof Handlers<S>];
      return {
        name: method.name,
        definition: createDefinition(method),
        handler: createHandler(method, handler as never),
      };
    });
    const definitions = rows.map(({ name, definition }) => [name, definition]);
    const handlerRows = rows.map(({ name, handler }) => [name, handler]);
    this.#server.addService(
      Object.fromEntries(definitions),
      Object.fromEntries(handlerRows),
    );
  }

  /** Listens on `address` and returns the real one. */
  listen(address: string): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(
        address,
        this.#credentials.server,
        (error, port) => {
          if (error === null) {
            const host = address.slice(0, address.lastIndexOf(":"));
            resolve(`${host}:${port}`);
            return;
          }
          reject(
            new ServingError(MessageCode.PORT_BUSY, {
              parameters: { address, reason: error.message },
            }),
          );
        },
      );
    });
  }

  /** Ends at once. */
  close(): void {
    this.#server.forceShutdown();
  }
}

function createHandler(
  method: DescMethod,
  handler: (...args: never[]) => unknown,
): grpc.UntypedHandleCall {
  if (method.methodKind === "client_streaming") {
    return ((
      call: grpc.ServerReadableStream<unknown, unknown>,
      callback: grpc.sendUnaryData<unknown>,
    ) => {
      const run = handler as (on: (on: (m: unknown) => void) => void) => void;
      run((on) => call.on("data", on));
      call.on("end", () => callback(null, create(method.output)));
      call.on("error", () => {});
    }) as grpc.UntypedHandleCall;
  }
  if (method.methodKind === "server_streaming") {
    return ((call: grpc.ServerWritableStream<unknown, unknown>) => {
      const stream = new ServerStream(call, method.output);
      const run = handler as (
        req: unknown,
        stream: unknown,
        peer: RpcPeer,
      ) => Promise<void>;
      Promise.resolve()
        .then(() => run(call.request, stream, { identity: getIdentity(call) }))
        .then(
          () => call.end(),
          (error) => call.emit("error", toStatus(error)),
        );
    }) as grpc.UntypedHandleCall;
  }
  return ((
    call: grpc.ServerUnaryCall<unknown, unknown>,
    callback: grpc.sendUnaryData<unknown>,
  ) => {
    const run = handler as (
      req: unknown,
      peer: RpcPeer,
    ) => Promise<MessageInitShape<DescMessage>>;
    Promise.resolve()
      .then(() => run(call.request, { identity: getIdentity(call) }))
      .then(
        (reply) => callback(null, create(method.output, reply)),
        (error) => callback(toStatus(error)),
      );
  }) as grpc.UntypedHandleCall;
}

class ServerStream implements RpcStream<MessageInitShape<DescMessage>> {
  readonly #call: grpc.ServerWritableStream<unknown, unknown>;
  readonly #output: DescMessage;
  closed = false;

  constructor(
    call: grpc.ServerWritableStream<unknown, unknown>,
    output: DescMessage,
  ) {
    this.#call = call;
    this.#output = output;
    this.onClosed(() => {
      this.closed = true;
    });
    call.on("error", () => {});
  }

  onClosed(action: () => void): void {
    this.#call.on("cancelled", action);
    this.#call.on("close", action);
  }

  send(message: MessageInitShape<DescMessage>): Promise<void> {
    if (this.closed) return Promise.resolve();
    const roomy = this.#call.write(create(this.#output, message));
    if (roomy) return Promise.resolve();
    return new Promise((resolve) => {
      this.#call.once("drain", resolve);
      this.onClosed(resolve);
    });
  }
}

/** The sending side of a stream of messages. */
export interface RpcSender<M> {
  /** The remote process takes messages more slowly than they are sent. */
  readonly isFull: boolean;
  send(message: M): void;
  close(): void;
}

/** Options of one call. */
export interface CallOptions {
  /** Longest wait for the answer, in milliseconds. */
  readonly timeoutMs?: number;
}

const DEFAULT_CALL_TIMEOUT_MS = 5_000;

/** A connection to one process. */
export class RpcClient {
  readonly #client: grpc.Client;
  readonly #isCut: () => boolean;
  readonly address: string;

  constructor(address: string, credentials: RpcCredentials) {
    this.address = address;
    this.#isCut = () => credentials.isCut(address);
    this.#client = new grpc.Client(
      address,
      credentials.client,
      CHANNEL_OPTIONS,
    );
  }

  /**
   * Calls a method once. A failure without an answer is STATE_UNREACHABLE with
   * the verdict that the call may have run.
   */
  call<I extends DescMessage, O extends DescMessage>(
    method: DescMethodUnary<I, O>,
    req: MessageInitShape<I>,
    options: CallOptions = {},
  ): Promise<MessageShape<O>> {
    const definition = createDefinition(method);
    const timeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    if (this.#isCut()) return rejectAfter(timeoutMs);
    return new Promise((resolve, reject) => {
      this.#client.makeUnaryRequest(
        definition.path,
        definition.requestSerialize,
        definition.responseDeserialize as (bytes: Buffer) => MessageShape<O>,
        create(method.input, req),
        new grpc.Metadata(),
        { deadline: new Date(Date.now() + timeoutMs) },
        (error, reply) => {
          if (error !== null) reject(fromStatus(error));
          else resolve(reply as MessageShape<O>);
        },
      );
    });
  }

  /** Calls a method that answers with a stream. */
  openStream<I extends DescMessage, O extends DescMessage>(
    method: DescMethodServerStreaming<I, O>,
    req: MessageInitShape<I>,
    on: {
      message: (message: MessageShape<O>) => void;
      end: (error?: ServingError) => void;
    },
  ): { cancel(): void; pause(): void; resume(): void } {
    const definition = createDefinition(method);
    const call = this.#client.makeServerStreamRequest(
      definition.path,
      definition.requestSerialize,
      definition.responseDeserialize as (bytes: Buffer) => MessageShape<O>,
      create(method.input, req),
      new grpc.Metadata(),
    );
    call.on("data", (message) => {
      if (!this.#isCut()) on.message(message);
    });
    call.on("error", (error: grpc.ServiceError) => on.end(fromStatus(error)));
    call.on("end", () => on.end());
    return call;
  }

  /** Opens a stream of messages to the remote process. */
  openSender<I extends DescMessage, O extends DescMessage>(
    method: DescMethodClientStreaming<I, O>,
    onEnd: () => void,
  ): RpcSender<MessageInitShape<I>> {
    const definition = createDefinition(method);
    const call = this.#client.makeClientStreamRequest(
      definition.path,
      definition.requestSerialize,
      definition.responseDeserialize,
      new grpc.Metadata(),
      { deadline: Infinity },
      () => onEnd(),
    );
    let full = false;
    call.on("error", onEnd);
    call.on("drain", () => {
      full = false;
    });
    return {
      get isFull() {
        return full;
      },
      send: (message) => {
        if (this.#isCut()) return;
        full = !call.write(create(method.input, message));
      },
      close: () => call.cancel(),
    };
  }

  close(): void {
    this.#client.close();
  }
}

/** What a caller sees when messages vanish: nothing until its time is over. */
function rejectAfter(timeoutMs: number): Promise<never> {
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
