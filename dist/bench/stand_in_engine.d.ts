/**
 * A stand-in for a model engine over real HTTP. It batches continuously: each
 * step gives every running sequence one token, takes longer with more
 * sequences, and is delayed by prompts that are read in. It knows no
 * priorities, admits requests as they arrive and resumes and cancels streams.
 */
import type { Clock } from "../sys/clock.ts";
/** How a stand-in engine behaves. */
export interface StandInEngineOptions {
    readonly name: string;
    readonly deployment: string;
    readonly dataCentre: string;
    readonly models: readonly string[];
    readonly entries: readonly string[];
    readonly clock: Clock;
    readonly host?: string;
    /** Milliseconds of a step without sequences. */
    readonly baseStepMs?: number;
    /** Milliseconds that each sequence adds to a step. */
    readonly sequenceStepMs?: number;
    /** Milliseconds for each prompt token that is not in the cache. */
    readonly prefillTokenMs?: number;
    readonly maxSequences?: number;
    readonly cachedPrefixes?: number;
    readonly announceMs?: number;
    readonly leaseMs?: number;
    /** Age of the load in a report, in milliseconds. */
    readonly reportLagMs?: number;
    /** A prompt that contains this ends the server. */
    readonly crashMark?: string;
    readonly checksFencing?: boolean;
    readonly port?: number;
    readonly incarnation?: number;
}
/** The token that every engine gives for a prompt at a place. */
export declare function getToken(prompt: string, index: number): string;
/** The whole text that an engine gives for a prompt. */
export declare function getCompletion(prompt: string, tokens: number): string;
/** A running stand-in engine. */
export declare class StandInEngine {
    #private;
    address: string;
    /** Tokens given, by all sequences. */
    tokenCount: number;
    requestCount: number;
    readonly ordersTaken: string[];
    /** Called when a marked prompt ended the server. */
    onCrash: () => void;
    constructor(options: StandInEngineOptions);
    get name(): string;
    /** Sequences that run or wait. */
    get load(): number;
    start(): Promise<void>;
    /** Leaves the fleet and stops when the running sequences have ended. */
    leave(): Promise<void>;
    /** Announces itself at other entries from now on. */
    useEntries(entries: readonly string[]): void;
    announceLeaving(): Promise<void>;
    /** Ends at once. */
    crash(): void;
    /** Stops giving tokens and announcing, with connections left open. */
    freeze(): void;
}
