/**
 * A stand-in for a plain service whose calls may not be repeated. It keeps a
 * count for each receipt, so that a doubled one shows.
 */
import type { Clock } from "../sys/clock.ts";
/** How a stand-in service behaves. */
export interface StandInServiceOptions {
    readonly name: string;
    readonly deployment: string;
    readonly dataCentre: string;
    readonly entries: readonly string[];
    readonly clock: Clock;
    readonly announceMs?: number;
    readonly leaseMs?: number;
    /** Counts of receipts that several servers share. */
    readonly ledger?: Map<string, number>;
}
/** What happens to the next requests. */
export declare const ServiceFault: {
    readonly none: "none";
    /** The request runs but the connection is cut before the answer. */
    readonly loseAnswer: "lose answer";
};
/** What happens to the next requests. */
export type ServiceFault = typeof ServiceFault[keyof typeof ServiceFault];
/** A running stand-in service. */
export declare class StandInService {
    #private;
    readonly ledger: Map<string, number>;
    address: string;
    fault: ServiceFault;
    /** Milliseconds that each request takes. */
    delayMs: number;
    constructor(options: StandInServiceOptions);
    start(): Promise<void>;
    leave(): Promise<void>;
    /** Ends at once. */
    crash(): void;
}
