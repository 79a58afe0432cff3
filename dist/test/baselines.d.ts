/** What was said in a session. */
export declare class Transcript {
    #private;
    note(line: string): void;
    /** Sends a request and notes both sides. */
    call(address: string, route: string, body: unknown, headers?: Record<string, string>): Promise<Record<string, unknown>>;
    /** Sends a completion and notes its stream as one line. */
    stream(address: string, body: Record<string, unknown>): Promise<void>;
    /** Compares the session with its reference file, or accepts it. */
    check(name: string): Promise<void>;
}
