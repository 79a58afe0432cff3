/** The HTTP response to a caller, which is either completed or aborted. */
import { type HeadOptions } from "../sys/framed_response.ts";
import type { ServerResponse } from "../sys/http.ts";
import type { LocalResponse } from "./dialects.ts";
/** A response to a caller in progress. */
export declare class CallerResponse {
  #private;
  constructor(res: ServerResponse);
  /** Aborted when the connection closes before the response is complete. */
  get disconnected(): AbortSignal;
  /** Whether the status and headers can't be changed any more. */
  get headSent(): boolean;
  /** Sends status and headers; `headers` are alternating names and values. */
  sendHead(
    status: number,
    headers: readonly string[],
    options?: HeadOptions,
  ): void;
  /**
   * Writes a chunk of the body. Resolves when the next chunk can be written
   * (backpressure), or when the connection has closed.
   */
  write(bytes: Buffer): Promise<void>;
  /**
   * Writes a chunk of the body. Returns true if the next one can be written at once,
   * and otherwise a promise of it.
   */
  push(bytes: Buffer): true | Promise<true>;
  end(): void;
  /** Has the connection closed after the response, and the caller told so. */
  closeWhenSent(): void;
  /** Closes the connection, so the caller can detect that data is missing. */
  abort(): void;
  /** Sends a response that was generated here rather than by a server. */
  sendLocal(response: LocalResponse): void;
}
