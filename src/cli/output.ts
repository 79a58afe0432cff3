/** Output of the command line. */

/** Prints either text for users or JSON for scripts. */
export class Output {
  readonly #isJson: boolean;
  readonly #write: (line: string) => void;

  constructor(options: {
    isJson: boolean;
    write?: (line: string) => void;
  }) {
    this.#isJson = options.isJson;
    this.#write = options.write ??
      ((line) => process.stdout.write(`${line}\n`));
  }

  /** Prints `text`, or `value` as one line of JSON. */
  print(text: string, value: unknown): void {
    this.#write(this.#isJson ? JSON.stringify(value) : text);
  }
}
