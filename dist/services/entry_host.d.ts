import { FleetView } from "../membership/mod.ts";
import { type EntrySettings } from "../schema/mod.ts";
import { BackendPool } from "./backend_pool.ts";
import { BatchRunner } from "./batch_runner.ts";
import type { ProcessContext } from "./process_context.ts";
import { StateClient } from "./state_client.ts";
/** A running entry. */
export declare class EntryHost {
    #private;
    readonly view: FleetView;
    readonly state: StateClient;
    readonly pool: BackendPool;
    readonly batch: BatchRunner;
    address: string;
    peerAddress: string;
    constructor(settings: EntrySettings, context: ProcessContext);
    /** Whether the balancer may send callers here. */
    get isReady(): boolean;
    /** Opens the ports and starts all parts. */
    start(): Promise<void>;
    /** Stops without cutting off a request, within the time that is set. */
    stop(): Promise<void>;
    /** Ends at once, as a crash would. */
    halt(): void;
    getDump(): Record<string, unknown>;
}
