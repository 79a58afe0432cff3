/** The bench: stand-ins, a whole fleet in one process, and callers. */
export * from "./announcer.ts";
export * from "./caller.ts";
export * from "./fleet.ts";
export * from "./stand_in_engine.ts";
export * from "./stand_in_service.ts";
export * from "./membership_bench.ts";
export * from "./report.ts";
export * from "./scenario_run.ts";
export * from "./state_bench.ts";
