import { type Configuration, MessageCode, type Order } from "../../schema/mod.ts";
/** Why an order is refused. */
export interface OrderRefusal {
    readonly code: MessageCode;
    readonly reason: string;
}
/** The next configuration, or why there is none. */
export type OrderResult = {
    readonly ok: true;
    readonly configuration: Configuration;
} | {
    readonly ok: false;
    readonly refusal: OrderRefusal;
};
/** Applies an order to a configuration of the expected version. */
export declare function applyOrder(configuration: Configuration, order: Order, fencingNumber: number): OrderResult;
