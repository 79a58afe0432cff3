import { type MessageInitShape } from "@bufbuild/protobuf";
import { type Emphasis, type Scenario, type SeparationRuleSchema } from "../schema/mod.ts";
import type { WorkerCounts } from "./worker_messages.ts";
/** Counts of all parts. */
export interface FleetCounts {
    readonly tokens: number;
    readonly entries: WorkerCounts[];
    readonly states: WorkerCounts[];
}
/** A running fleet of threads. */
export declare class BenchFleet {
    #private;
    entryAddresses: string[];
    peerAddresses: string[];
    /** Starts all threads and orders the configuration. */
    start(options: {
        scenario: Scenario;
        folder: string;
        emphasis: Emphasis;
        rule: MessageInitShape<typeof SeparationRuleSchema>;
    }): Promise<void>;
    count(): Promise<FleetCounts>;
    /** Ends engines at once. */
    crashEngines(count: number): void;
    close(): Promise<void>;
}
