/** The answer to one caller: begun once, ended once, or cut off. */
import type { ServerResponse } from "../sys/http.ts";
import type { LocalResponse } from "./dialects.ts";

/** One answer under way. */
export class CallerResponse {
  readonly #res: ServerResponse;
  readonly #disconnected = new AbortController();

  constructor(res: ServerResponse) {
    this.#res = res;
    res.on("close", () => {
      if (!res.writableFinished) this.#disconnected.abort();
    });
  }

  /** Aborted when the caller has left before its answer was whole. */
  get disconnected(): AbortSignal {
    return this.#disconnected.signal;
  }

  /** The head has been sent. */
  get headSent(): boolean {
    return this.#res.headersSent;
  }

  /** Sends the head; `headers` are names and values in turn. */
  sendHead(status: number, headers: readonly string[]): void {
    this.#res.writeHead(status, headers as string[]);
  }

  /** Sends a piece of the body; resolves when there is room for the next. */
  async write(bytes: Buffer): Promise<void> {
    if (this.disconnected.aborted || this.#res.write(bytes)) return;
    await new Promise<void>((resolve) => {
      const resume = () => {
        this.#res.off("drain", resume);
        this.#res.off("close", resume);
        resolve();
      };
      this.#res.on("drain", resume);
      this.#res.on("close", resume);
    });
  }

  end(): void {
    this.#res.end();
  }

  /** Ends the connection, so that the answer can't look complete. */
  abort(): void {
    this.#res.destroy();
  }

  /** Sends a whole answer of the fleet's own. */
  sendLocal(response: LocalResponse): void {
    if (this.disconnected.aborted) return;
    this.#res.writeHead(response.status, [
      ...response.headers,
      "Content-Length",
      String(Buffer.byteLength(response.body)),
    ]);
    this.#res.end(response.body);
  }
}
