/**
 * Which waiting orders to backend servers start now. An order that has to wait
 * holds up no other that conflicts with nothing before it; the weight store's
 * rate bounds the loads under way, and one server takes one order at a time.
 */
/** An order for one server. */
export interface ServerOrder {
    readonly fencingNumber: number;
    readonly backendServer: string;
    /** It reads from the weight store. */
    readonly isLoad: boolean;
}
/** Orders that start now, in the order of their fencing numbers. */
export declare function selectOrders<T extends ServerOrder>(waiting: readonly T[], running: readonly ServerOrder[], loadConcurrency: number): T[];
