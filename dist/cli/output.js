/** What the command line prints. */
/** Prints a line for people, or a value for scripts. */
export class Output {
    #isJson;
    #write;
    constructor(options) {
        this.#isJson = options.isJson;
        this.#write = options.write ??
            ((line) => process.stdout.write(`${line}\n`));
    }
    /** Prints `text`, or `value` as one line of JSON. */
    print(text, value) {
        this.#write(this.#isJson ? JSON.stringify(value) : text);
    }
}
//# sourceMappingURL=output.js.map