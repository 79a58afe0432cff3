/** What both sides of remote procedure calls share: bindings and credentials. */
import * as grpc from "@grpc/grpc-js";
import { readFileSync } from "node:fs";
import { fromBinary, toBinary, } from "@bufbuild/protobuf";
/** Largest message of a call, in bytes. */
const MAX_MESSAGE_BYTES = 64 << 20;
/** Time after which a silent connection is probed, in milliseconds. */
const KEEPALIVE_MS = 5_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;
/** Longest wait before a broken connection is tried again, in milliseconds. */
const MAX_RECONNECT_MS = 1_000;
const FIRST_RECONNECT_MS = 100;
// Failures come back to the caller, who reports them in one line.
grpc.setLogVerbosity(grpc.logVerbosity.NONE);
/** Options of every connection and server. */
export const CHANNEL_OPTIONS = {
    "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
    "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
    "grpc.keepalive_time_ms": KEEPALIVE_MS,
    "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
    "grpc.initial_reconnect_backoff_ms": FIRST_RECONNECT_MS,
    "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_MS,
    "grpc.use_local_subchannel_pool": 1,
};
/** Messages that this process sent by gRPC, without the frames around them. */
export const rpcTraffic = { sentBytes: 0, sentMessages: 0 };
/** Metadata that carry an error's code and verdict. */
export const CODE_METADATA = "papayatally-code";
export const VERDICT_METADATA = "papayatally-verdict";
/** How grpc-js is to call a method of the schema. */
export function createDefinition(method) {
    const encode = (schema) => (value) => {
        const bytes = toBinary(schema, value);
        rpcTraffic.sentBytes += bytes.length;
        rpcTraffic.sentMessages += 1;
        return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    };
    const decode = (schema) => (bytes) => fromBinary(schema, bytes);
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
/** Reads certificates; without settings connections are plain. */
export function createCredentials(tls, isCut = () => false) {
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
        server: grpc.ServerCredentials.createSsl(authority, [{ private_key: key, cert_chain: certificate }], true),
        client: grpc.credentials.createSsl(authority, key, certificate),
        isSecure: true,
    };
}
//# sourceMappingURL=rpc_common.js.map