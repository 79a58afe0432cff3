import { type DescMethodClientStreaming, type DescMethodServerStreaming, type DescMethodUnary, type DescService, type MessageInitShape, type MessageShape } from "@bufbuild/protobuf";
import { type RpcCredentials } from "./rpc_common.ts";
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
type Handler<M> = M extends DescMethodUnary<infer I, infer O> ? (req: MessageShape<I>, peer: RpcPeer) => Promise<MessageInitShape<O>> : M extends DescMethodServerStreaming<infer I, infer O> ? (req: MessageShape<I>, stream: RpcStream<MessageInitShape<O>>, peer: RpcPeer) => Promise<void> : M extends DescMethodClientStreaming<infer I, infer O> ? (onMessage: (on: (message: MessageShape<I>) => void) => void) => void : never;
/** A gRPC server on one address. */
export declare class RpcServer {
    #private;
    constructor(credentials: RpcCredentials);
    /** Serves all methods of a service. */
    addService<S extends DescService>(service: S, handlers: Handlers<S>): void;
    /** Listens on `address` and returns the real one. */
    listen(address: string): Promise<string>;
    /** Ends at once. */
    close(): void;
}
export {};
