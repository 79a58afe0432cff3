/**
 * The only door to the outside: clock, files, network, randomness, logs,
 * metrics and settings pass through here, so that a test replaces them whole.
 */
export * from "./clock.ts";
export * from "./errors.ts";
export * from "./files.ts";
export * from "./log.ts";
export * from "./metrics.ts";
export * from "./random.ts";
export * from "./settings.ts";
