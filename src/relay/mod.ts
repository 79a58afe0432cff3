/** HTTP communication between entries and backend servers. */
export * from "./engine_stream.ts";
export * from "./event_log.ts";
export * from "./event_splitter.ts";
export * from "./service_call.ts";
export * from "./event_stream.ts";
