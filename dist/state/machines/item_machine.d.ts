import { type InFlightCounts, type Item, type Job, type KeyedRequest, type Share } from "../../schema/mod.ts";
import { type CommandContext, StateMachine } from "./state_machine.ts";
/** Charged attempts after which an item ends as failed. */
export declare const MAX_ITEM_ATTEMPTS = 4;
/** An item group's state. */
export declare class ItemMachine extends StateMachine {
    #private;
    apply(command: Uint8Array, context: CommandContext): Uint8Array;
    /** A job's record, or undefined. */
    tryGetJob(id: string): Job | undefined;
    /** Jobs of a caller or an operator, newest first; empty names match all. */
    getJobs(filter: {
        caller: string;
        operator: string;
    }): Job[];
    /** Items of a job from `after` on, in order, at most `limit`. */
    getItems(jobId: string, after: number, limit: number): Item[];
    tryGetRequest(caller: string, key: string): KeyedRequest | undefined;
    /** Keyed requests of an operator in the order of their keys. */
    getRequests(operator: string, after: string, limit: number): KeyedRequest[];
    /** Epochs of the open sessions. */
    getSessionEpochs(): number[];
    isSessionOpen(epoch: number): boolean;
    /** Those of the jobs that run no more, or whose items must not go on. */
    getCancelledJobs(jobIds: readonly string[]): string[];
    /** Waiting items by deployment. */
    getWaiting(): Share[];
    /** Whether anything ended before a time. */
    hasExpired(beforeMs: number): boolean;
    /** Jobs that have not ended and may still be cancelled. */
    getCancellableJobIds(): string[];
    /** What has not ended. */
    getCounts(): InFlightCounts;
    capture(): Iterable<Uint8Array>;
    restore(parts: readonly Uint8Array[]): void;
}
