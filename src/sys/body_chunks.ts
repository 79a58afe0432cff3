/**
 * Reads the body of a message without a promise per chunk. An async iterator costs
 * several for each, and each generator that passes chunks on as many again, which is
 * most of the cost of an event that is forwarded as it arrives. Apart from that, a body
 * is read as an async iterator reads it: chunks that arrived together are one, an error
 * or a premature end rejects, and a consumer that fails destroys the body.
 */
import { finished, type Readable } from "node:stream";
import { observeFirst } from "./routines.ts";

/**
 * Handles a chunk. Returns whether the next one is wanted, as a promise only if it has
 * to wait.
 */
export type ChunkHandler = (chunk: Buffer) => boolean | Promise<boolean>;

/** The chunks of a body, which can be read once. */
export class BodyChunks implements AsyncIterable<Buffer> {
  readonly #body: Readable;
  readonly #observe: (chunk: Buffer) => void;
  readonly #onEnd: () => void;

  /**
   * `observe` is called with each chunk before its handler, and `onEnd` once the
   * body has been read to its end.
   */
  constructor(
    body: Readable,
    observe: (chunk: Buffer) => void,
    onEnd: () => void = () => {},
  ) {
    this.#body = body;
    this.#observe = observe;
    this.#onEnd = onEnd;
  }

  /** Returns the same chunks; `onFirst` is called before the first one's handler. */
  observeFirst(onFirst: () => void): BodyChunks {
    let isFirst = true;
    return new BodyChunks(this.#body, (chunk) => {
      this.#observe(chunk);
      if (isFirst) onFirst();
      isFirst = false;
    }, this.#onEnd);
  }

  /** Returns the same chunks; `check` is called before the handler of each. */
  check(check: (chunk: Buffer) => void): BodyChunks {
    return new BodyChunks(this.#body, (chunk) => {
      this.#observe(chunk);
      check(chunk);
    }, this.#onEnd);
  }

  async *[Symbol.asyncIterator](): AsyncIterator<Buffer> {
    for await (const chunk of this.#body) {
      this.#observe(chunk);
      yield chunk;
    }
    this.#onEnd();
  }

  /**
   * Passes chunks to a handler; resolves with true at the end of the body, and with
   * false if the handler wanted no more, which destroys the body.
   */
  forEach(handle: ChunkHandler): Promise<boolean> {
    return new Promise((resolve, reject) => {
      const body = this.#body;
      /** Undefined until the body has ended; null if it ended as a whole. */
      let end: Error | null | undefined;
      let isWaiting = false;
      let isDone = false;
      const release = () => {
        isDone = true;
        body.off("readable", pump);
        stopWaiting();
        body.destroy();
      };
      const stop = (isWhole: boolean) => {
        if (isDone) return;
        release();
        resolve(isWhole);
      };
      const fail = (error: unknown) => {
        if (isDone) return;
        release();
        reject(error);
      };
      const resumeAfter = (wanted: Promise<boolean>) => {
        isWaiting = true;
        wanted.then((isWanted) => {
          isWaiting = false;
          if (isWanted) pump();
          else stop(false);
        }, fail);
      };
      const pump = () => {
        try {
          while (!isWaiting && !isDone) {
            const chunk = body.destroyed ? null : body.read() as Buffer | null;
            if (chunk === null) {
              if (end === null) {
                this.#onEnd();
                stop(true);
              } else if (end !== undefined) fail(end);
              return;
            }
            this.#observe(chunk);
            const wanted = handle(chunk);
            if (wanted === false) stop(false);
            else if (wanted !== true) resumeAfter(wanted);
          }
        } catch (error) {
          fail(error);
        }
      };
      const stopWaiting = finished(body, { writable: false }, (error) => {
        end = error ?? null;
        pump();
      });
      body.on("readable", pump);
      pump();
    });
  }
}

/** Passes chunks to a handler like {@linkcode BodyChunks.forEach}. */
export async function forEachChunk(
  chunks: AsyncIterable<Buffer>,
  handle: ChunkHandler,
): Promise<boolean> {
  if (chunks instanceof BodyChunks) return await chunks.forEach(handle);
  for await (const chunk of chunks) {
    if (!(await handle(chunk))) return false;
  }
  return true;
}

/** Passes chunks on, and calls `onFirst` before the first one. */
export function observeFirstChunk(
  chunks: AsyncIterable<Buffer>,
  onFirst: () => void,
): AsyncIterable<Buffer> {
  return chunks instanceof BodyChunks
    ? chunks.observeFirst(onFirst)
    : observeFirst(chunks, onFirst);
}

/**
 * Passes chunks on until they exceed `maxBytes` in all; then reading them fails, which
 * destroys the body.
 */
export function limitChunks(
  chunks: AsyncIterable<Buffer>,
  maxBytes: number,
): AsyncIterable<Buffer> {
  let bytes = 0;
  const check = (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      throw new Error(`the body is larger than ${maxBytes} bytes`);
    }
  };
  return chunks instanceof BodyChunks
    ? chunks.check(check)
    : checkChunks(chunks, check);
}

async function* checkChunks(
  chunks: AsyncIterable<Buffer>,
  check: (chunk: Buffer) => void,
): AsyncIterable<Buffer> {
  for await (const chunk of chunks) {
    check(chunk);
    yield chunk;
  }
}
