/**
 * Leases that a group's leader holds in memory. A new leader gives everybody a
 * full lease, so that a change of leader never takes work from one that lives.
 */
import type { Clock } from "../sys/clock.ts";
/** Renewal times by holder. */
export declare class Leases<H> {
    #private;
    constructor(options: {
        clock: Clock;
        leaseMs: number;
    });
    renew(holder: H): void;
    /** Holders whose lease has run out; none while this replica doesn't lead. */
    getExpired(isLeader: boolean, holders: readonly H[]): H[];
}
