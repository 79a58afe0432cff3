/**
 * Access to the environment: clock, files, network, randomness, logs, metrics
 * and settings. The other layers use them only through this folder, so that
 * tests can substitute them.
 */
export * from "./clock.ts";
export * from "./errors.ts";
export * from "./files.ts";
export * from "./log.ts";
export * from "./metrics.ts";
export * from "./random.ts";
export * from "./settings.ts";
