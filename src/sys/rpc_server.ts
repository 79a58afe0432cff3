/** Server of remote procedure calls, based on grpc-js. */
import * as grpc from "@grpc/grpc-js";
import {
  create,
  type DescMessage,
  type DescMethod,
  type DescMethodClientStreaming,
  type DescMethodServerStreaming,
  type DescMethodUnary,
  type DescService,
  type MessageInitShape,
  type MessageShape,
  toBinary,
} from "@bufbuild/protobuf";
import { MessageCode } from "../schema/mod.ts";
import { getReason, ServingError } from "./errors.ts";
import { isolate } from "./isolation.ts";
import {
  CHANNEL_OPTIONS,
  CODE_METADATA_KEY,
  createMethodDefinition,
  type RpcCredentials,
  VERDICT_METADATA_KEY,
} from "./rpc_common.ts";

/** The client of a call. */
export interface RpcPeer {
  /** Common name of the peer's certificate; empty without TLS. */
  readonly identity: string;
}

/** Sending end of a server-streaming call. */
export interface RpcStream<O> {
  /**
   * Sends a message and resolves when the next can be sent. Rejects if the message
   * cannot be encoded; nothing is sent then and the stream stays open.
   */
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

function toStatus(error: unknown): Partial<grpc.StatusObject> {
  const metadata = new grpc.Metadata();
  if (error instanceof ServingError) {
    metadata.set(CODE_METADATA_KEY, String(error.code));
    metadata.set(VERDICT_METADATA_KEY, String(error.verdict));
  }
  return {
    code: error instanceof ServingError
      ? grpc.status.FAILED_PRECONDITION
      : grpc.status.INTERNAL,
    details: getReason(error),
    metadata,
  };
}

function getIdentity(call: { getAuthContext?: () => unknown }): string {
  const context = call.getAuthContext?.() as
    | { sslPeerCertificate?: { subject?: { CN?: string } } }
    | undefined;
  return context?.sslPeerCertificate?.subject?.CN ?? "";
}

/** A gRPC server on one address. */
export class RpcServer {
  readonly #credentials: RpcCredentials;
  readonly #services: {
    definitions: grpc.ServiceDefinition;
    implementations: grpc.UntypedServiceImplementation;
  }[] = [];
  #server = new grpc.Server(CHANNEL_OPTIONS);

  constructor(credentials: RpcCredentials) {
    this.#credentials = credentials;
  }

  /** Adds a service with the handlers of all its methods. */
  addService<S extends DescService>(service: S, handlers: Handlers<S>): void {
    const bindings = service.methods.map((method) => {
      const handler = handlers[method.localName as keyof Handlers<S>];
      return {
        name: method.name,
        definition: createMethodDefinition(method),
        handler: createHandler(method, handler as never),
      };
    });
    const definitions = bindings.map((
      { name, definition },
    ) => [name, definition]);
    const implementations = bindings.map((
      { name, handler },
    ) => [name, handler]);
    const added = {
      definitions: Object.fromEntries(definitions),
      implementations: Object.fromEntries(implementations),
    };
    this.#services.push(added);
    this.#server.addService(added.definitions, added.implementations);
  }

  /** Listens on `address` and returns the address with the actual port. */
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
          this.#replaceServer();
          reject(
            new ServingError(MessageCode.PORT_BUSY, {
              parameters: { address, reason: error.message },
            }),
          );
        },
      );
    });
  }

  /** The library's server fails for good on an address that it failed on once. */
  #replaceServer(): void {
    this.#server.forceShutdown();
    this.#server = new grpc.Server(CHANNEL_OPTIONS);
    this.#services.forEach(({ definitions, implementations }) =>
      this.#server.addService(definitions, implementations)
    );
  }

  /** Stops at once, cancelling open calls. */
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
      run((on) => call.on("data", isolate(on)));
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
      .then((reply) => create(method.output, reply))
      .then(
        (reply) => callback(null, reply),
        (error) => callback(toStatus(error)),
      );
  }) as grpc.UntypedHandleCall;
}

class ServerStream implements RpcStream<MessageInitShape<DescMessage>> {
  readonly #call: grpc.ServerWritableStream<unknown, unknown>;
  readonly #output: DescMessage;
  readonly #closeListeners = new Set<() => void>();
  closed = false;

  constructor(
    call: grpc.ServerWritableStream<unknown, unknown>,
    output: DescMessage,
  ) {
    this.#call = call;
    this.#output = output;
    call.on("cancelled", () => this.#close());
    call.on("close", () => this.#close());
    call.on("error", () => {});
  }

  onClosed(action: () => void): void {
    this.#closeListeners.add(action);
  }

  async send(message: MessageInitShape<DescMessage>): Promise<void> {
    if (this.closed) return;
    // grpc-js ends the whole stream if a message cannot be encoded.
    const bytes = toBinary(this.#output, create(this.#output, message));
    if (this.#call.write(bytes)) return;
    await new Promise<void>((resolve) => {
      const resume = () => {
        this.#closeListeners.delete(resume);
        this.#call.off("drain", resume);
        resolve();
      };
      this.#call.on("drain", resume);
      this.#closeListeners.add(resume);
    });
  }

  #close(): void {
    if (this.closed) return;
    this.closed = true;
    [...this.#closeListeners].forEach((action) => action());
  }
}
