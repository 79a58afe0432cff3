/** Parses orders from the command line: an action and its JSON value. */
import { create, fromJson, type JsonValue } from "@bufbuild/protobuf";
import { MessageCode, type Order, OrderSchema } from "../schema/mod.ts";
import { getReason, ServingError } from "../sys/errors.ts";

/** Returns the names of all actions, as declared in the schema. */
export function getActionNames(): string[] {
  return OrderSchema.oneofs[0]?.fields.map((field) => field.name) ?? [];
}

/** Builds an order from the name of an action and its JSON value. */
export function parseOrder(options: {
  action: string;
  value: string;
  operator: string;
  orderId: string;
  expectedVersion: bigint;
}): Order {
  if (!getActionNames().includes(options.action)) {
    throw createUsageError(
      `unknown action ${options.action}; expected one of ${
        getActionNames().join(", ")
      }`,
    );
  }
  try {
    const value = JSON.parse(options.value) as JsonValue;
    const order = fromJson(OrderSchema, { [options.action]: value });
    return create(OrderSchema, {
      ...order,
      operator: options.operator,
      orderId: options.orderId,
      expectedVersion: options.expectedVersion,
    });
  } catch (error) {
    throw createUsageError(`${options.action}: ${getReason(error)}`);
  }
}

/** Creates an error for invalid command-line arguments. */
export function createUsageError(reason: string): ServingError {
  return new ServingError(MessageCode.USAGE, { parameters: { reason } });
}
