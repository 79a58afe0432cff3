import type { FleetView } from "../membership/mod.ts";
import { EventLog, type Progress } from "../relay/mod.ts";
import { type ClaimedItem, type Outcome, type Workload } from "../schema/mod.ts";
import type { CompletionSink, EngineRun } from "./engine_runner.ts";
/** An item that this entry holds. */
export interface HeldItem {
    readonly claimed: ClaimedItem;
    readonly group: number;
    readonly epoch: bigint;
    readonly abort: AbortController;
    readonly sink: ItemSink;
    /** The item's completion, worked out once. */
    run?: EngineRun;
    heldSinceMs: number;
    isRunning: boolean;
}
/** Statuses of an engine that condemn the item itself. */
export declare function isFinalStatus(status: number): boolean;
/** Collects what an item's completion produces. */
export declare class ItemSink implements CompletionSink {
    readonly log: EventLog;
    constructor(progress: Progress);
    onEvents(events: Buffer): boolean;
    whenReady(): Promise<void>;
}
/** The completion that an item asks for; throws when its line asks for none. */
export declare function createItemRun(item: HeldItem, workload: Workload, deadlineMs: number): EngineRun;
/** The outcome of an item that an engine refused for good. */
export declare function createAnswerOutcome(end: {
    readonly status: number;
    readonly body: Uint8Array;
    readonly contentType: string;
}): Outcome;
/** Names one dispatch of an item. */
export declare function getItemKey(item: HeldItem): string;
/** Progress as the state keeps it. */
export declare function encodeProgress(progress: Progress): Uint8Array;
/** A sink that goes on from the item's progress. */
export declare function createSink(claimed: ClaimedItem): ItemSink;
/** The outcome of a completion that ended. */
export declare function createItemOutcome(sink: ItemSink): Outcome;
/** The outcome of an item that ended too many servers. */
export declare function createPoisoned(view: FleetView, fingerprint: string): Outcome;
