/**
 * Remote procedure calls between own processes and from operators, over gRPC.
 * Services and messages come from the schema; these modules bind them to
 * grpc-js and are the only door to it.
 */
export * from "./rpc_client.ts";
export { createCredentials, type RpcCredentials, rpcTraffic, } from "./rpc_common.ts";
export * from "./rpc_server.ts";
