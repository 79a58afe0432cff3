/** What the command line prints. */
/** Prints a line for people, or a value for scripts. */
export declare class Output {
    #private;
    constructor(options: {
        isJson: boolean;
        write?: (line: string) => void;
    });
    /** Prints `text`, or `value` as one line of JSON. */
    print(text: string, value: unknown): void;
}
