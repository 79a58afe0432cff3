/** Bindings and credentials shared by clients and servers of remote calls. */
import * as grpc from "@grpc/grpc-js";
import { readFileSync } from "node:fs";
import {
  type DescMessage,
  type DescMethod,
  fromBinary,
  type MessageShape,
  toBinary,
} from "@bufbuild/protobuf";
import type { TlsSettings } from "../schema/mod.ts";

/** Maximum size of a message, in bytes. */
const MAX_MESSAGE_BYTES = 64 << 20;

/** Time after which a silent connection is pinged, in milliseconds. */
const KEEPALIVE_INTERVAL_MS = 5_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;

/** Maximum wait before reconnecting a failed connection, in milliseconds. */
const MAX_RECONNECT_BACKOFF_MS = 1_000;
const INITIAL_RECONNECT_BACKOFF_MS = 100;

// Disables the library's own log: failures are returned to the caller, which
// reports each in one line.
grpc.setLogVerbosity(grpc.logVerbosity.NONE);

/** Options of all connections and servers. */
export const CHANNEL_OPTIONS = {
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
  "grpc.keepalive_time_ms": KEEPALIVE_INTERVAL_MS,
  "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
  "grpc.initial_reconnect_backoff_ms": INITIAL_RECONNECT_BACKOFF_MS,
  "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_BACKOFF_MS,
  "grpc.use_local_subchannel_pool": 1,
};

/** Total size and number of gRPC messages sent, excluding framing. */
export const rpcTraffic = { sentBytes: 0, sentMessages: 0 };

/** Metadata keys of an error's code and verdict. */
export const CODE_METADATA_KEY = "papayatally-code";
export const VERDICT_METADATA_KEY = "papayatally-verdict";

/**
 * Creates the grpc-js definition of a method of the schema. Messages may also be
 * sent as their encoded bytes.
 */
export function createMethodDefinition(
  method: DescMethod,
): grpc.MethodDefinition<
  unknown,
  unknown
> {
  const encode = (schema: DescMessage) => (value: unknown) => {
    const bytes = value instanceof Uint8Array
      ? value
      : toBinary(schema, value as MessageShape<DescMessage>);
    rpcTraffic.sentBytes += bytes.length;
    rpcTraffic.sentMessages += 1;
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  };
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

/** Credentials of servers and clients, and simulated network partitions. */
export interface RpcCredentials {
  readonly server: grpc.ServerCredentials;
  readonly client: grpc.ChannelCredentials;
  readonly isSecure: boolean;
  /**
   * Whether messages to an address are dropped; simulates a partition in tests.
   */
  readonly isPartitioned: (address: string) => boolean;
}

/** Reads certificates; without `tls`, connections are not encrypted. */
export function createCredentials(
  tls?: TlsSettings,
  isPartitioned: (address: string) => boolean = () => false,
): RpcCredentials {
  if (tls === undefined) {
    return {
      isPartitioned: isPartitioned,
      server: grpc.ServerCredentials.createInsecure(),
      client: grpc.credentials.createInsecure(),
      isSecure: false,
    };
  }
  const authority = readFileSync(tls.authority);
  const key = readFileSync(tls.key);
  const certificate = readFileSync(tls.certificate);
  return {
    isPartitioned: isPartitioned,
    server: grpc.ServerCredentials.createSsl(
      authority,
      [{ private_key: key, cert_chain: certificate }],
      true,
    ),
    client: grpc.credentials.createSsl(authority, key, certificate),
    isSecure: true,
  };
}
