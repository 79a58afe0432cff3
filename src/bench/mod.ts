/**
 * Benchmarks and what they share with the tests and the demo: stand-in backend
 * servers, a fleet in one process, and HTTP calls as callers make them.
 */
export * from "./announcer.ts";
export * from "./caller.ts";
export * from "./fleet.ts";
export * from "./stand_in_engine.ts";
export * from "./stand_in_service.ts";
export * from "./membership_bench.ts";
export * from "./report.ts";
export * from "./scenario_run.ts";
export * from "./state_bench.ts";
