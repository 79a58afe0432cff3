/** A queue that serves callers in turn, each caller's entries in order. */
/** First in, first out for each caller; callers take turns. */
export declare class FairQueue<T> {
    #private;
    get length(): number;
    push(caller: string, value: T): void;
    /** The value that is served next; it stays in the queue. */
    tryPeek(): T | undefined;
    /** Removes the value that is served next; its caller goes to the back. */
    tryShift(): T | undefined;
    /** Removes a value wherever it waits; false when it is not here. */
    remove(caller: string, value: T): boolean;
    /** All values, in no promised order. */
    getAll(): T[];
}
