/**
 * Hosts of a fleet that serves requests by routes: gateways, control hosts and
 * store hosts, for embedding.
 */
export * from "./control_host.ts";
export * from "./dialects.ts";
export * from "./gateway_host.ts";
export { tryFindRequestError } from "./request_check.ts";
export * from "./store_host.ts";
export * from "./required_settings.ts";
