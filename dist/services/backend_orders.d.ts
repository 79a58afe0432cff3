import { type ControlMachine } from "../state/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import { type RpcCredentials } from "../sys/rpc.ts";
/** How {@linkcode BackendOrders} are made. */
export interface BackendOrdersOptions {
    readonly control: ControlMachine;
    /** Milliseconds left of the own lease; zero when this host doesn't lead. */
    readonly getLeaseLeftMs: () => number;
    readonly electionTimeoutMs: number;
    readonly loadConcurrency: number;
    readonly credentials: RpcCredentials;
    readonly clock: Clock;
    readonly log: Log;
}
/** Delivers orders while this host leads. */
export declare class BackendOrders {
    #private;
    constructor(options: BackendOrdersOptions);
    start(): void;
    close(): void;
    /** What became of each order at each server, for the dump. */
    getSettled(): Record<string, string>;
}
