/** Appends three words and returns what each replica has. */
export declare function runReplicatedLog(): Promise<string[][]>;
