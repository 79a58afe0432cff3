import type { FleetView } from "../membership/mod.ts";
import { type Announcement, type Suspicion } from "../schema/mod.ts";
import { type Clock } from "../sys/clock.ts";
import { type Metrics } from "../sys/metrics.ts";
import { type RpcCredentials } from "../sys/rpc.ts";
/** How a {@linkcode Spreader} is made. */
export interface SpreaderOptions {
    readonly entryId: string;
    readonly view: FleetView;
    readonly credentials: RpcCredentials;
    readonly clock: Clock;
    readonly metrics: Metrics;
}
/** Sends news to other entries. */
export declare class Spreader {
    #private;
    constructor(options: SpreaderOptions);
    /** Passes a server's announcement to the other entries that use it. */
    spreadAnnouncement(announcement: Announcement): void;
    /** Passes a suspicion to all other entries. */
    spreadSuspicion(news: Suspicion): void;
    /** Tells the other users of owned servers what batch runs there. */
    spreadBatchLoads(loads: readonly {
        backendServer: string;
        sequences: number;
    }[]): void;
    /** Asks an entry to end batch sequences on a server, without delay. */
    sendYield(owner: string, server: string, count: number): void;
    close(): void;
}
