/** What has been produced so far. */
export interface Progress {
    readonly text: string;
    readonly tokens: number;
}
/** The text that an event of a completion adds. */
export declare function getEventToken(data: string): string;
/** All events of one completion, over all attempts. */
export declare class EventLog {
    #private;
    /** Starts after `progress` that was made before. */
    constructor(progress?: Progress);
    get isEmpty(): boolean;
    /** Takes whole events. */
    append(events: Uint8Array): void;
    /** Text and number of all tokens. */
    getProgress(): Progress;
    /** Data of the newest event that was not the end mark. */
    getLastEvent(): string;
    /** All events as they arrived. */
    getBytes(): Uint8Array;
}
