/** Decisions as pure functions of what is known, what is asked and the time. */
export * from "./batch_order.ts";
export * from "./batch_room.ts";
export * from "./fair_queue.ts";
export * from "./order_schedule.ts";
export * from "./quantile_tracker.ts";
export * from "./retry_budget.ts";
export * from "./routing.ts";
export * from "./sequence_target.ts";
export * from "./batch_fill.ts";
export * from "./burst_gate.ts";
export * from "./run_estimate.ts";
export * from "./run_shares.ts";
export * from "./membership_plan.ts";
export * from "./routes.ts";
export * from "./server_choice.ts";
export * from "./admission.ts";
