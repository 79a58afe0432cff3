/** Options of one request. */
export interface CallOptions {
    readonly headers?: Record<string, string>;
    readonly signal?: AbortSignal;
    readonly method?: string;
    /** Called at each token. */
    readonly onToken?: () => void;
}
/** A whole answer. */
export interface WholeAnswer {
    readonly status: number;
    readonly headers: Record<string, unknown>;
    readonly text: string;
}
/** A streamed completion to its end. */
export interface StreamedAnswer {
    readonly status: number;
    /** Text of all tokens. */
    readonly text: string;
    readonly tokens: number;
    readonly isDone: boolean;
    /** The error event's data, or the body of an error answer. */
    readonly error: string;
}
/** Sends a request and reads the whole answer. */
export declare function callWhole(address: string, path: string, body: unknown, options?: CallOptions): Promise<WholeAnswer>;
/** Sends a completion and reads its stream. */
export declare function callStreamed(address: string, body: Record<string, unknown>, options?: CallOptions): Promise<StreamedAnswer>;
