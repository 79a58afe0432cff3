import { type MessageInitShape } from "@bufbuild/protobuf";
import { Emphasis, type Member, type Order, type OrderOutcome, OrderSchema } from "../schema/mod.ts";
import { EntryHost, type ProcessContext, StateHost } from "../services/mod.ts";
import { type Clock } from "../sys/clock.ts";
import { StandInEngine, type StandInEngineOptions } from "./stand_in_engine.ts";
import { StandInService } from "./stand_in_service.ts";
/** How a {@linkcode Fleet} is made. */
export interface FleetOptions {
    readonly folder: string;
    readonly states?: number;
    readonly entries?: number;
    readonly engines?: number;
    readonly services?: number;
    readonly dataCentres?: number;
    readonly itemGroups?: number;
    readonly engine?: Partial<StandInEngineOptions>;
    readonly emphasis?: Emphasis;
    readonly tokenGapTargetMs?: number;
    readonly context?: Partial<ProcessContext>;
    /** Whether messages from a process, by its id, to an address vanish. */
    readonly isCut?: (from: string, address: string) => boolean;
    /** Changes to the entries' settings. */
    readonly entrySettings?: Record<string, unknown>;
    /** Changes to the state hosts' settings. */
    readonly stateSettings?: Record<string, unknown>;
}
/** Names that the fleet's configuration uses. */
export declare const FleetName: {
    readonly operator: "utility";
    readonly engines: "assistant";
    readonly services: "receipts";
    readonly model: "refill-model";
    readonly workload: "refill-questions";
    readonly receiptWorkload: "fill-receipts";
};
/** Waits until `test` holds, polling. */
export declare function waitUntil(clock: Clock, what: string, test: () => boolean | Promise<boolean>, timeoutMs?: number): Promise<void>;
/** A running fleet. */
export declare class Fleet {
    #private;
    readonly clock: Clock;
    readonly states: StateHost[];
    readonly entries: EntryHost[];
    readonly engines: StandInEngine[];
    readonly services: StandInService[];
    readonly ledger: Map<string, number>;
    constructor(options: FleetOptions);
    /** Starts everything and puts the configuration in force. */
    start(): Promise<void>;
    getDataCentre(index: number): string;
    startStates(): Promise<void>;
    /** Starts a state host again on its folder. */
    restartState(index: number): Promise<StateHost>;
    getStateFolder(index: number): string;
    /** Starts a state host that belongs to no group yet. */
    joinState(id: string): Promise<StateHost>;
    createMember(fields: {
        id: string;
        address: string;
    }): Member;
    startEntries(): Promise<void>;
    /** Starts the entry of an index, in place of one that ended. */
    startEntry(index: number): Promise<EntryHost>;
    /** Orders the deployments, the model and the workloads. */
    configure(): Promise<void>;
    /** Submits an order on top of the newest configuration. */
    order(action: MessageInitShape<typeof OrderSchema>["action"], changes?: Partial<Pick<Order, "orderId" | "operator">>): Promise<OrderOutcome>;
    startBackendServers(): Promise<void>;
    startEngine(index: number): Promise<StandInEngine>;
    getEntryAddresses(): string[];
    /** Ends everything at once. */
    close(): Promise<void>;
}
