/**
 * Cuts a stream of bytes after whole events, without reading them. An event
 * that is cut short by a broken connection never passes on, so that a resumed
 * stream delivers each token once.
 */
/** Whole events of one piece of a stream. */
export interface WholeEvents {
    readonly bytes: Buffer;
    readonly count: number;
    /** The last of them is the end mark of the stream. */
    readonly isDone: boolean;
}
/** Joins pieces of a stream and cuts them at events. */
export declare class EventSplitter {
    #private;
    /** The whole events that `chunk` completes; undefined when it does none. */
    tryTake(chunk: Buffer): WholeEvents | undefined;
}
