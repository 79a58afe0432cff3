/** Who belongs to the fleet, as one entry knows it. */
export * from "./backend_view.ts";
export * from "./fleet_view.ts";
export * from "./subsets.ts";
export * from "./suspicions.ts";
export * from "./server_registry.ts";
export * from "./load_tracker.ts";
export * from "./merger_selector.ts";
export * from "./silence_detector.ts";
