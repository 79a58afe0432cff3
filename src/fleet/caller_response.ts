/** The HTTP response to a caller, which is either completed or aborted. */
import {
  abortResponse,
  sendResponseHead,
  type ServerResponse,
} from "../sys/http.ts";
import type { LocalResponse } from "./dialects.ts";

/** A response to a caller in progress. */
export class CallerResponse {
  readonly #res: ServerResponse;
  readonly #disconnected = new AbortController();
  #isDelimited = true;

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

  /** Whether the response does not end with its connection. */
  get isDelimited(): boolean {
    return this.#isDelimited;
  }

  /**
   * Sends status and headers; `headers` are alternating names and values. A
   * response that is not to be delimited ends with its connection.
   */
  sendHead(
    status: number,
    headers: readonly string[],
    options: { isDelimited: boolean },
  ): void {
    this.#isDelimited = options.isDelimited;
    sendResponseHead(this.#res, status, headers, options);
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

  /** Closes the connection, so the caller can detect that data is missing. */
  abort(): void {
    abortResponse(this.#res);
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
