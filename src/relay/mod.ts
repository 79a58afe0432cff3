/** HTTP between an entry and backend servers. */
export * from "./engine_stream.ts";
export * from "./service_call.ts";
