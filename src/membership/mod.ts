/**
 * Membership of the fleet and load of its servers, as known to one process.
 * Entry hosts use the views and suspicions; gateways, control hosts and store
 * hosts use the registry, the load tracker and the detectors.
 */
export * from "./ages.ts";
export * from "./backend_view.ts";
export * from "./fleet_view.ts";
export * from "./gateway_presence.ts";
export * from "./gateway_registry.ts";
export * from "./prompt_part_suspicions.ts";
export * from "./registration_check.ts";
export * from "./subsets.ts";
export * from "./suspicions.ts";
export * from "./server_registry.ts";
export * from "./server_limits.ts";
export * from "./load_tracker.ts";
export * from "./merger_selector.ts";
export * from "./server_speed.ts";
export * from "./silence_detector.ts";
export * from "./software_versions.ts";
export * from "./stream_origins.ts";
