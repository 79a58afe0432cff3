/** Decisions as pure functions of what is known, what is asked and the time. */
export * from "./batch_order.js";
export * from "./batch_room.js";
export * from "./fair_queue.js";
export * from "./order_schedule.js";
export * from "./quantile_tracker.js";
export * from "./retry_budget.js";
export * from "./routing.js";
export * from "./sequence_target.js";
//# sourceMappingURL=mod.js.map