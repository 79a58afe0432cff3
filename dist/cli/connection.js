/** Connections of the command line to processes of the fleet. */
import { createCredentials, RpcClient } from "../sys/rpc.js";
import { TlsSettingsSchema } from "../schema/mod.js";
import { create } from "@bufbuild/protobuf";
/** Opens a connection, with certificates where they are given. */
export function connect(options) {
    const { certificate, key, authority } = options;
    const isSecure = certificate !== undefined && key !== undefined &&
        authority !== undefined;
    const tls = isSecure
        ? create(TlsSettingsSchema, { certificate, key, authority })
        : undefined;
    return new RpcClient(options.server, createCredentials(tls));
}
//# sourceMappingURL=connection.js.map