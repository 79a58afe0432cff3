import { type Scenario } from "../schema/mod.ts";
/** Ways of running batch beside online requests. */
export declare const Mode: {
    readonly onlineAlone: "online-alone";
    readonly sharedQueue: "shared-queue";
    readonly fixedSplit: "fixed-split";
    readonly noGiveWay: "no-give-way";
    readonly latency: "latency";
    readonly throughput: "throughput";
};
/** A way of running batch. */
export type Mode = typeof Mode[keyof typeof Mode];
/** Figures of one mode. */
export interface ModeResult {
    readonly mode: Mode;
    readonly sent: number;
    readonly answered: number;
    readonly refused: number;
    readonly broken: number;
    readonly failures: readonly string[];
    readonly firstTokenMs: {
        p50: number;
        p95: number;
        p99: number;
    };
    readonly tokenGapMs: {
        p50: number;
        p95: number;
        p99: number;
    };
    readonly onlineTokensPerS: number;
    readonly batchTokensPerS: number;
    /** Batch tokens over what online alone leaves of the capacity. */
    readonly idleUse: number;
    readonly entryBusy: number;
    readonly stateBusy: number;
}
/** Sequences at which 95 in 100 token gaps of an engine meet their target. */
export declare function getTargetSequences(scenario: Scenario): number;
/** Tokens a second that all engines give at the target, prompts aside. */
export declare function getCapacity(scenario: Scenario): number;
/** Runs all modes of a scenario, one after the other. */
export declare function runScenario(scenario: Scenario, onMode: (result: ModeResult) => void): Promise<ModeResult[]>;
