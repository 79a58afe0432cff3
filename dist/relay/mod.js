/** HTTP between an entry and backend servers. */
export * from "./engine_stream.js";
export * from "./event_log.js";
export * from "./event_splitter.js";
export * from "./service_call.js";
//# sourceMappingURL=mod.js.map