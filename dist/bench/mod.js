/** The bench: stand-ins, a whole fleet in one process, and callers. */
export * from "./announcer.js";
export * from "./caller.js";
export * from "./fleet.js";
export * from "./stand_in_engine.js";
export * from "./stand_in_service.js";
export * from "./membership_bench.js";
export * from "./report.js";
export * from "./scenario_run.js";
export * from "./state_bench.js";
//# sourceMappingURL=mod.js.map