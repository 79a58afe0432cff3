/** The HTTP response to a caller: sent completely, or aborted. */
import type { ServerResponse } from "../sys/http.ts";
import type { LocalResponse } from "./dialects.ts";

/** A response in progress. */
export class CallerResponse {
  readonly #res: ServerResponse;
  readonly #disconnected = new AbortController();

  constructor(res: ServerResponse) {
    this.#res = res;
    res.on("close", () => {
      if (!res.writableFinished) this.#disconnected.abort();
    });
  }

  /** Aborted when the connection closes before the response is complete. */
  get disconnected(): AbortSignal {
    return this.#disconnected.signal;
  }

  /** Whether the status and headers have been sent. */
  get headSent(): boolean {
    return this.#res.headersSent;
  }

  /** Sends status and headers; `headers` are alternating names and values. */
  sendHead(status: number, headers: readonly string[]): void {
    this.#res.writeHead(status, headers as string[]);
  }

  /**
   * Writes a chunk of the body. Resolves when the next chunk can be written
   * (backpressure), or when the connection has closed.
   */
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

  /** Closes the connection, so the caller can't take the response as complete. */
  abort(): void {
    this.#res.destroy();
  }

  /** Sends a response that was generated here rather than by a server. */
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
