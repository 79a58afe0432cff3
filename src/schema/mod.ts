/**
 * The schema: messages, durable records, settings and the table of messages
 * to people. Everything under gen/ is generated from proto/ and committed.
 */
export * from "./gen/papayatally/v1/bench_pb.ts";
export * from "./gen/papayatally/v1/configuration_pb.ts";
export * from "./gen/papayatally/v1/fleet_pb.ts";
export * from "./gen/papayatally/v1/messages_pb.ts";
export * from "./gen/papayatally/v1/options_pb.ts";
export * from "./gen/papayatally/v1/services_pb.ts";
export * from "./gen/papayatally/v1/settings_pb.ts";
export * from "./gen/papayatally/v1/state_pb.ts";
