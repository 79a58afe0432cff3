/**
 * The only door to the outside: clock, files, network, randomness, logs,
 * metrics and settings pass through here, so that a test replaces them whole.
 */
export * from "./clock.js";
export * from "./errors.js";
export * from "./files.js";
export * from "./log.js";
export * from "./metrics.js";
export * from "./random.js";
export * from "./settings.js";
//# sourceMappingURL=mod.js.map