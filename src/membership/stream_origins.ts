/**
 * Streams by the caller's attempt that brought their first event, with the
 * service and the software version that began them. Gateways keep those that
 * began there; the mergers of load reports keep those of all gateways, so that
 * a stream can be taken up after its gateway was lost.
 */
import type { StreamOrigin } from "../schema/mod.ts";

/**
 * Time for which an origin is kept, in milliseconds. It exceeds the duration of
 * a stream and of the caller's tries to take it up.
 */
const ORIGIN_TTL_MS = 120_000;

/** Maximum number of origins; the oldest are dropped. */
const MAX_ORIGINS = 50_000;

interface KnownOrigin {
  readonly origin: StreamOrigin;
  readonly addedMs: number;
}

/** Origins of streams as known to one process. */
export class StreamOrigins {
  /** By request, oldest first. */
  readonly #origins = new Map<string, KnownOrigin>();

  get size(): number {
    return this.#origins.size;
  }

  /** Adds an origin. The first one of a request is kept. */
  add(origin: StreamOrigin, nowMs: number): void {
    this.#removeOldest(nowMs);
    if (this.#origins.has(origin.request)) return;
    this.#origins.set(origin.request, { origin, addedMs: nowMs });
  }

  tryGet(request: string): StreamOrigin | undefined {
    return this.#origins.get(request)?.origin;
  }

  #removeOldest(nowMs: number): void {
    for (const [request, { addedMs }] of this.#origins) {
      const isKept = nowMs - addedMs < ORIGIN_TTL_MS &&
        this.#origins.size < MAX_ORIGINS;
      if (isKept) return;
      this.#origins.delete(request);
    }
  }
}
