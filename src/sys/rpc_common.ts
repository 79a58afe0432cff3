/** What both sides of remote procedure calls share: bindings and credentials. */
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

/** Largest message of a call, in bytes. */
const MAX_MESSAGE_BYTES = 64 << 20;

/** Time after which a silent connection is probed, in milliseconds. */
const KEEPALIVE_INTERVAL_MS = 5_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;

/** Longest wait before a broken connection is tried again, in milliseconds. */
const MAX_RECONNECT_BACKOFF_MS = 1_000;
const INITIAL_RECONNECT_BACKOFF_MS = 100;

// Failures come back to the caller, who reports them in one line.
grpc.setLogVerbosity(grpc.logVerbosity.NONE);

/** Options of every connection and server. */
export const CHANNEL_OPTIONS = {
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
  "grpc.keepalive_time_ms": KEEPALIVE_INTERVAL_MS,
  "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
  "grpc.initial_reconnect_backoff_ms": INITIAL_RECONNECT_BACKOFF_MS,
  "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_BACKOFF_MS,
  "grpc.use_local_subchannel_pool": 1,
};

/** Messages that this process sent by gRPC, without the frames around them. */
export const rpcTraffic = { sentBytes: 0, sentMessages: 0 };

/** Metadata that carry an error's code and verdict. */
export const CODE_METADATA_KEY = "papayatally-code";
export const VERDICT_METADATA_KEY = "papayatally-verdict";

/** How grpc-js is to call a method of the schema. */
export function createMethodDefinition(
  method: DescMethod,
): grpc.MethodDefinition<
  unknown,
  unknown
> {
  const encode = (schema: DescMessage) => (value: unknown) => {
    const bytes = toBinary(schema, value as MessageShape<DescMessage>);
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

/** Key material read from the files that the settings name. */
export interface RpcCredentials {
  readonly server: grpc.ServerCredentials;
  readonly client: grpc.ChannelCredentials;
  readonly isSecure: boolean;
  /** Whether messages to an address vanish; a test cuts the network so. */
  readonly isPartitioned: (address: string) => boolean;
}

/** Reads certificates; without settings connections are plain. */
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
