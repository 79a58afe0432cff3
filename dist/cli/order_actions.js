/** Orders as the command line writes them: an action and its JSON. */
import { create, fromJson } from "@bufbuild/protobuf";
import { MessageCode, OrderSchema } from "../schema/mod.js";
import { getReason, ServingError } from "../sys/errors.js";
/** Names of all actions, as the schema has them. */
export function getActionNames() {
    return OrderSchema.oneofs[0]?.fields.map((field) => field.name) ?? [];
}
/** Builds an order from the name of an action and its JSON value. */
export function parseOrder(options) {
    if (!getActionNames().includes(options.action)) {
        throw createUsageError(`unknown action ${options.action}; there are ${getActionNames().join(", ")}`);
    }
    try {
        const value = JSON.parse(options.value);
        const order = fromJson(OrderSchema, { [options.action]: value });
        return create(OrderSchema, {
            ...order,
            operator: options.operator,
            orderId: options.orderId,
            expectedVersion: options.expectedVersion,
        });
    }
    catch (error) {
        throw createUsageError(`${options.action}: ${getReason(error)}`);
    }
}
/** An error of the command's words. */
export function createUsageError(reason) {
    return new ServingError(MessageCode.USAGE, { parameters: { reason } });
}
//# sourceMappingURL=order_actions.js.map