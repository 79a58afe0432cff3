import type { FleetView } from "../membership/mod.ts";
import { type RenewReply } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import { type Metrics } from "../sys/metrics.ts";
import type { BackendPool } from "./backend_pool.ts";
import type { EngineRunner } from "./engine_runner.ts";
import { type ItemSessions } from "./item_sessions.ts";
import type { PlainService } from "./plain_service.ts";
import type { StateClient } from "./state_client.ts";
/** How a {@linkcode BatchRunner} is made. */
export interface BatchRunnerOptions {
    readonly view: FleetView;
    readonly pool: BackendPool;
    readonly runner: EngineRunner;
    readonly plain: PlainService;
    readonly state: StateClient;
    readonly sessions: ItemSessions;
    readonly groupCount: number;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
}
/** Runs the batch items of one entry. */
export declare class BatchRunner {
    #private;
    constructor(options: BatchRunnerOptions);
    /** Items held and results that are not recorded yet. */
    get heldCount(): number;
    start(): void;
    /** Jobs of a group of which this entry holds items. */
    getJobIds(group: number): string[];
    /** Takes what a renewal brought. */
    noteRenewed(group: number, reply: RenewReply): void;
    /** The session is over: its items belong to others. */
    noteEnded(group: number, epoch: bigint): void;
    /** Claims nothing more, hands all items back and records all outcomes. */
    stop(limitMs: number): Promise<void>;
    /** Drops everything at once, as a crash would. */
    halt(): void;
}
