/** The services of both daemons, for embedding. */
export * from "./descriptions.js";
export * from "./entry_host.js";
export * from "./groups.js";
export * from "./process_context.js";
export * from "./state_client.js";
export * from "./state_host.js";
export * from "./state_operators.js";
//# sourceMappingURL=mod.js.map