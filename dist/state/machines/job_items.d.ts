import { type Item, ItemState, type Outcome } from "../../schema/mod.ts";
/** Number of items in each state. */
export interface ItemCounts {
    readonly accepted: number;
    readonly dispatched: number;
}
/** Items of a job by their line number, from 0. */
export declare class JobItems {
    #private;
    constructor(items: readonly Item[]);
    get length(): number;
    /** Items that wait to be dispatched. */
    get waitingCount(): number;
    get dispatchedCount(): number;
    getState(index: number): ItemState;
    getAttempts(index: number): number;
    getEpoch(index: number): number;
    /** Log index of the claim that dispatched the item; zero when none did. */
    getDispatch(index: number): number;
    getBodyBytes(index: number): number;
    /** Indexes of the dispatched items, in order. */
    getDispatched(): number[];
    /** The whole item. */
    getItem(index: number): Item;
    /** Marks the next waiting item as dispatched; undefined when none waits. */
    tryDispatch(epoch: number, dispatch: number): number | undefined;
    /** Lets a dispatched item wait again, with the output it has so far. */
    putBack(index: number, options: {
        progress: Uint8Array;
        charged: boolean;
    }): void;
    /** Records the one outcome of a dispatched item. */
    finish(index: number, outcome: Outcome): void;
    /** Marks a dispatched item as cancelled. */
    cancelDispatched(index: number): void;
    /** Marks all waiting items as cancelled and returns their number. */
    cancelWaiting(): number;
    /** Copies of the items as of now, decoded lazily. */
    capture(): {
        readonly length: number;
        getItem(index: number): Item;
    };
}
