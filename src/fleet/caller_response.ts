/** The HTTP response to a caller, which is either completed or aborted. */
import {
  FramedResponse,
  type HeadOptions,
  sendWhole,
  whenWritable,
} from "../sys/framed_response.ts";
import type { ServerResponse } from "../sys/http.ts";
import type { LocalResponse } from "./dialects.ts";

/** A response to a caller in progress. */
export class CallerResponse {
  readonly #res: ServerResponse;
  readonly #framed: FramedResponse;
  readonly #disconnected = new AbortController();
  #isClosed = false;
  #onClosed: () => void = () => {};

  constructor(res: ServerResponse) {
    this.#res = res;
    this.#framed = new FramedResponse(res);
    res.on("close", () => {
      this.#isClosed = true;
      this.#onClosed();
      if (!res.writableFinished) this.#disconnected.abort();
    });
  }

  /** Aborted when the connection closes before the response is complete. */
  get disconnected(): AbortSignal {
    return this.#disconnected.signal;
  }

  /** Calls `action` once the response was sent or its connection has closed. */
  whenClosed(action: () => void): void {
    if (this.#isClosed) action();
    else this.#onClosed = action;
  }

  /** Whether the status and headers can't be changed any more. */
  get headSent(): boolean {
    return this.#framed.hasHead;
  }

  /** Sends status and headers; `headers` are alternating names and values. */
  sendHead(
    status: number,
    headers: readonly string[],
    options: HeadOptions = {},
  ): void {
    this.#framed.sendHead(status, headers, options);
  }

  /**
   * Writes a chunk of the body. Resolves when the next chunk can be written
   * (backpressure), or when the connection has closed.
   */
  async write(bytes: Buffer): Promise<void> {
    await this.push(bytes);
  }

  /**
   * Writes a chunk of the body. Returns true if the next one can be written at once,
   * and otherwise a promise of it.
   */
  push(bytes: Buffer): true | Promise<true> {
    if (this.disconnected.aborted || this.#framed.write(bytes)) return true;
    return whenWritable(this.#res).then(() => true);
  }

  end(): void {
    this.#framed.end();
  }

  /** Has the connection closed after the response, and the caller told so. */
  closeWhenSent(): void {
    if (!this.#res.headersSent) this.#res.shouldKeepAlive = false;
  }

  /** Closes the connection, so the caller can detect that data is missing. */
  abort(): void {
    this.#framed.abort();
  }

  /** Sends a response that was generated here rather than by a server. */
  sendLocal(response: LocalResponse): void {
    if (this.disconnected.aborted) return;
    sendWhole(this.#res, response.status, response.headers, response.body);
  }
}
