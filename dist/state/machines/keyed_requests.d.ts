import { type FinishRequest, type KeyedRequest, type Outcome } from "../../schema/mod.ts";
/** Answer to the start of a request. */
export type BeginResult = {
    readonly kind: "begun";
    readonly request: KeyedRequest;
} | {
    readonly kind: "known";
    readonly request: KeyedRequest;
} | {
    readonly kind: "key reused";
};
/** All keyed requests of a group. */
export declare class KeyedRequests {
    #private;
    get dispatchedCount(): number;
    get count(): number;
    getAll(): KeyedRequest[];
    tryGet(caller: string, key: string): KeyedRequest | undefined;
    /** Starts a request under its key unless the key is known. */
    begin(wanted: KeyedRequest, timeMs: number): BeginResult;
    /** Records the outcome; false when the request is not dispatched so. */
    finish(finished: FinishRequest): boolean;
    /** Ends what a lost entry had dispatched. */
    endEpoch(epoch: number, lost: Outcome): void;
    /** Whether a request ended and was created before `beforeMs`. */
    hasExpired(beforeMs: number): boolean;
    /** Removes requests that ended and were created before `beforeMs`. */
    expire(beforeMs: number): void;
    restore(requests: readonly KeyedRequest[]): void;
}
