/**
 * Replicated state: the log on disk, the agreement between replicas and the
 * state machines that the log drives.
 */
export * from "./agreement/core_types.js";
export * from "./agreement/membership_change.js";
export * from "./agreement/quorum.js";
export * from "./agreement/replica.js";
export * from "./agreement/replica_core.js";
export * from "./agreement/timing.js";
export * from "./log/replica_store.js";
export * from "./machines/control_machine.js";
export * from "./machines/item_machine.js";
export * from "./machines/state_machine.js";
//# sourceMappingURL=mod.js.map