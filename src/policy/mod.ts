/**
 * Decision logic for routing, scheduling and membership. It does no I/O and
 * reads no clock: state and time are parameters.
 */
export * from "./batch_order.ts";
export * from "./batch_capacity.ts";
export * from "./fair_queue.ts";
export * from "./fair_shares.ts";
export * from "./job_memory.ts";
export * from "./order_schedule.ts";
export * from "./quantile_tracker.ts";
export * from "./retry_budget.ts";
export * from "./routing.ts";
export * from "./sequence_target.ts";
export * from "./batch_fill.ts";
export * from "./preemption_cooldown.ts";
export * from "./run_time_estimator.ts";
export * from "./runner_assignment.ts";
export * from "./membership_plan.ts";
export * from "./routes.ts";
export * from "./data_centre_flow.ts";
export * from "./data_centre_loads.ts";
export * from "./expected_time.ts";
export * from "./server_selection.ts";
export * from "./admission.ts";
export * from "./request_pacer.ts";
export * from "./organisation_rate.ts";
export * from "./organisation_tokens.ts";
export * from "./organisations.ts";
export * from "./access.ts";
