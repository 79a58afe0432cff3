/** gRPC connections of the command line to processes of the fleet. */
import { createCredentials, RpcClient } from "../sys/rpc.ts";
import { TlsSettingsSchema } from "../schema/mod.ts";
import { create } from "@bufbuild/protobuf";

/** Options of every command that connects to a process. */
export interface ConnectionOptions {
  /** gRPC address of any entry or state host. */
  readonly server: string;
  readonly certificate?: string;
  readonly key?: string;
  readonly authority?: string;
}

/** Opens a connection; uses TLS if all three certificate files are given. */
export function connect(options: ConnectionOptions): RpcClient {
  const { certificate, key, authority } = options;
  const isSecure = certificate !== undefined && key !== undefined &&
    authority !== undefined;
  const tls = isSecure
    ? create(TlsSettingsSchema, { certificate, key, authority })
    : undefined;
  return new RpcClient(options.server, createCredentials(tls));
}
