/**
 * Replicated state: the log on disk, the agreement between replicas and the
 * state machines that the log drives.
 */
export * from "./agreement/core_types.ts";
export * from "./agreement/membership_change.ts";
export * from "./agreement/quorum.ts";
export * from "./agreement/replica.ts";
export * from "./agreement/replica_core.ts";
export * from "./agreement/timing.ts";
export * from "./log/replica_store.ts";
export * from "./machines/control_machine.ts";
export * from "./machines/item_machine.ts";
export * from "./machines/state_machine.ts";
