/** Public API of the entry and state services, for embedding. */
export * from "./control/descriptions.ts";
export * from "./hosts/entry_host.ts";
export * from "./common/groups.ts";
export * from "./common/process_context.ts";
export * from "./common/state_client.ts";
export * from "./hosts/state_host.ts";
export * from "./hosts/state_operators.ts";
