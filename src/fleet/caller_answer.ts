/** The answer to one caller: begun once, ended once, or cut off. */
import type { ServerResponse } from "../sys/http.ts";
import type { LocalResponse } from "./dialects.ts";

/** One answer under way. */
export class CallerAnswer {
  readonly #res: ServerResponse;
  readonly #gone = new AbortController();

  constructor(res: ServerResponse) {
    this.#res = res;
    res.on("close", () => {
      if (!res.writableFinished) this.#gone.abort();
    });
  }

  /** Aborted when the caller has left before its answer was whole. */
  get gone(): AbortSignal {
    return this.#gone.signal;
  }

  /** The head has been sent. */
  get hasBegun(): boolean {
    return this.#res.headersSent;
  }

  /** Sends the head; `headers` are names and values in turn. */
  begin(status: number, headers: readonly string[]): void {
    this.#res.writeHead(status, headers as string[]);
  }

  /** Sends a piece of the body; resolves when there is room for the next. */
  async write(bytes: Buffer): Promise<void> {
    if (this.gone.aborted || this.#res.write(bytes)) return;
    await new Promise<void>((resolve) => {
      const goOn = () => {
        this.#res.off("drain", goOn);
        this.#res.off("close", goOn);
        resolve();
      };
      this.#res.on("drain", goOn);
      this.#res.on("close", goOn);
    });
  }

  end(): void {
    this.#res.end();
  }

  /** Ends the connection, so that the answer can't look complete. */
  cut(): void {
    this.#res.destroy();
  }

  /** Sends a whole answer of the fleet's own. */
  sendOwn(answer: LocalResponse): void {
    if (this.gone.aborted) return;
    this.#res.writeHead(answer.status, [
      ...answer.headers,
      "Content-Length",
      String(Buffer.byteLength(answer.body)),
    ]);
    this.#res.end(answer.body);
  }
}
