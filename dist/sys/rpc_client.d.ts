import { type DescMessage, type DescMethodClientStreaming, type DescMethodServerStreaming, type DescMethodUnary, type MessageInitShape, type MessageShape } from "@bufbuild/protobuf";
import { ServingError } from "./errors.ts";
import { type RpcCredentials } from "./rpc_common.ts";
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
/** A connection to one process. */
export declare class RpcClient {
    #private;
    readonly address: string;
    constructor(address: string, credentials: RpcCredentials);
    /**
     * Calls a method once. A failure without an answer is STATE_UNREACHABLE with
     * the verdict that the call may have run.
     */
    call<I extends DescMessage, O extends DescMessage>(method: DescMethodUnary<I, O>, req: MessageInitShape<I>, options?: CallOptions): Promise<MessageShape<O>>;
    /** Calls a method that answers with a stream. */
    openStream<I extends DescMessage, O extends DescMessage>(method: DescMethodServerStreaming<I, O>, req: MessageInitShape<I>, on: {
        message: (message: MessageShape<O>) => void;
        end: (error?: ServingError) => void;
    }): {
        cancel(): void;
        pause(): void;
        resume(): void;
    };
    /** Opens a stream of messages to the remote process. */
    openSender<I extends DescMessage, O extends DescMessage>(method: DescMethodClientStreaming<I, O>, onEnd: () => void): RpcSender<MessageInitShape<I>>;
    close(): void;
}
/** Connections of one process by address, opened when first used. */
export declare class RpcClients {
    #private;
    constructor(credentials: RpcCredentials);
    get(address: string): RpcClient;
    close(): void;
}
