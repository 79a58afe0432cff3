/** Who belongs to the fleet, as one entry knows it. */
export * from "./backend_view.ts";
export * from "./fleet_view.ts";
export * from "./subsets.ts";
export * from "./suspicions.ts";
export * from "./server_book.ts";
export * from "./load_book.ts";
export * from "./merger_choice.ts";
export * from "./silence_watch.ts";
