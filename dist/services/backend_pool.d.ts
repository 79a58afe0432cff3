import type { FleetView } from "../membership/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { type Metrics } from "../sys/metrics.ts";
import { type Placement } from "./placement.ts";
import type { SuspectLanes } from "./suspect_lanes.ts";
/** What has to be placed. */
export interface PlacementRequest {
    readonly deployment: string;
    readonly model: string;
    readonly adapter: string;
    readonly affinity: string;
    readonly caller: string;
    /** Monotonic milliseconds. */
    readonly deadlineMs: number;
    readonly excluded: ReadonlySet<string>;
    /** Was in flight when a server died: runs beside no other suspect. */
    readonly isSuspect: boolean;
    readonly signal: AbortSignal;
}
/** How a {@linkcode BackendPool} is made. */
export interface BackendPoolOptions {
    readonly entryId: string;
    readonly dataCentre: string;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly lanes: SuspectLanes;
    /** Asks the batch owner of a server to make room. */
    readonly onYield: (owner: string, server: string, count: number) => void;
}
/** Places requests of one entry. */
export declare class BackendPool {
    #private;
    constructor(options: BackendPoolOptions);
    /** Sequences of all kinds that this entry runs. */
    get activeCount(): number;
    get waitingCount(): number;
    /**
     * Places an online request, waiting in turn for room until its deadline. A
     * request that can't be met is refused at once as not run.
     */
    place(req: PlacementRequest): Promise<Placement>;
    /** Batch sequences that may be added in a deployment now. */
    getBatchRoom(deployment: string): number;
    /** Places a batch item where most room is; undefined when there is none. */
    tryPlaceBatch(req: Pick<PlacementRequest, "deployment" | "model" | "excluded" | "isSuspect">): Placement | undefined;
    /** Ends the youngest batch sequences on a server. */
    yieldBatch(server: string, count: number): number;
    /** Ends everything on a server that is gone. */
    abandonServer(server: string): void;
    /** Own batch sequences on servers that this entry owns. */
    getBatchLoads(): {
        backendServer: string;
        sequences: number;
    }[];
    /** Something may have made room. */
    wake(): void;
    /** Refuses all that wait; what runs goes on. */
    close(): void;
}
