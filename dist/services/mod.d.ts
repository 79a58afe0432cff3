/** The services of both daemons, for embedding. */
export * from "./descriptions.ts";
export * from "./entry_host.ts";
export * from "./groups.ts";
export * from "./process_context.ts";
export * from "./state_client.ts";
export * from "./state_host.ts";
export * from "./state_operators.ts";
