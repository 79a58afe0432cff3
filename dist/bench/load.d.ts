/**
 * Open-loop load: arrivals follow the clock and the seed, whatever the answers
 * do, and each time is measured from when the request was due.
 */
import { type Histogram } from "hdr-histogram-js";
import type { Scenario } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
/** One request that is due. */
interface Arrival {
    readonly atMs: number;
    readonly prompt: string;
    readonly tokens: number;
}
/** What online callers saw. */
export interface OnlineResult {
    readonly sent: number;
    readonly answered: number;
    readonly refused: number;
    readonly broken: number;
    readonly tokens: number;
    /** What broken answers said, the first few of them. */
    readonly failures: readonly string[];
    /** Microseconds from when a request was due. */
    readonly firstToken: Histogram;
    /** Microseconds. */
    readonly tokenGap: Histogram;
}
/** Text of about `tokens` tokens that starts differently for each name. */
export declare function createPrompt(name: string, tokens: number): string;
/** All arrivals of a run, from its seed. */
export declare function createArrivals(scenario: Scenario, endMs: number): Arrival[];
/** Sends the arrivals and measures those due after the warm-up. */
export declare function runOnline(options: {
    scenario: Scenario;
    addresses: readonly string[];
    clock: Clock;
}): Promise<OnlineResult>;
export {};
