/**
 * Replicated state: the durable log, the Raft consensus between replicas and
 * the state machines that apply the log.
 */
export * from "./agreement/core_types.ts";
export * from "./agreement/membership_change.ts";
export * from "./agreement/quorum.ts";
export * from "./agreement/replica.ts";
export * from "./agreement/replica_core.ts";
export * from "./agreement/timing.ts";
export * from "./log/replica_store.ts";
export * from "./machines/control_machine.ts";
export * from "./machines/fleet_machine.ts";
export * from "./machines/item_machine.ts";
export * from "./machines/job_machine.ts";
export * from "./machines/state_machine.ts";
