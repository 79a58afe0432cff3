/**
 * Remote procedure calls between the processes of a fleet and from operators,
 * over gRPC. Services and messages are defined by the schema; these modules
 * bind them to grpc-js, which no other code uses directly.
 */
export * from "./rpc_client.ts";
export {
  createCredentials,
  type RpcCredentials,
  rpcTraffic,
} from "./rpc_common.ts";
export * from "./rpc_server.ts";
