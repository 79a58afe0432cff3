/** What both sides of remote procedure calls share: bindings and credentials. */
import * as grpc from "@grpc/grpc-js";
import { type DescMethod } from "@bufbuild/protobuf";
import type { TlsSettings } from "../schema/mod.ts";
/** Options of every connection and server. */
export declare const CHANNEL_OPTIONS: {
    "grpc.max_receive_message_length": number;
    "grpc.max_send_message_length": number;
    "grpc.keepalive_time_ms": number;
    "grpc.keepalive_timeout_ms": number;
    "grpc.initial_reconnect_backoff_ms": number;
    "grpc.max_reconnect_backoff_ms": number;
    "grpc.use_local_subchannel_pool": number;
};
/** Messages that this process sent by gRPC, without the frames around them. */
export declare const rpcTraffic: {
    sentBytes: number;
    sentMessages: number;
};
/** Metadata that carry an error's code and verdict. */
export declare const CODE_METADATA = "papayatally-code";
export declare const VERDICT_METADATA = "papayatally-verdict";
/** How grpc-js is to call a method of the schema. */
export declare function createDefinition(method: DescMethod): grpc.MethodDefinition<unknown, unknown>;
/** Key material read from the files that the settings name. */
export interface RpcCredentials {
    readonly server: grpc.ServerCredentials;
    readonly client: grpc.ChannelCredentials;
    readonly isSecure: boolean;
    /** Whether messages to an address vanish; a test cuts the network so. */
    readonly isCut: (address: string) => boolean;
}
/** Reads certificates; without settings connections are plain. */
export declare function createCredentials(tls?: TlsSettings, isCut?: (address: string) => boolean): RpcCredentials;
