/** Who belongs to the fleet, as one entry knows it. */
export * from "./backend_view.js";
export * from "./fleet_view.js";
export * from "./subsets.js";
export * from "./suspicions.js";
//# sourceMappingURL=mod.js.map