import { type Order } from "../schema/mod.ts";
import { ServingError } from "../sys/errors.ts";
/** Names of all actions, as the schema has them. */
export declare function getActionNames(): string[];
/** Builds an order from the name of an action and its JSON value. */
export declare function parseOrder(options: {
    action: string;
    value: string;
    operator: string;
    orderId: string;
    expectedVersion: bigint;
}): Order;
/** An error of the command's words. */
export declare function createUsageError(reason: string): ServingError;
