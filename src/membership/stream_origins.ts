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
  /** Undefined if the request has several origins. */
  origin: StreamOrigin | undefined;
  readonly addedMs: number;
}

function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.service === b.service && a.softwareVersion === b.softwareVersion;
}

/** Origins of streams as known to one process. */
export class StreamOrigins {
  /** By request, oldest first. */
  readonly #origins = new Map<string, KnownOrigin>();

  get size(): number {
    return this.#origins.size;
  }

  /** Adds an origin. If a request has two, neither can be relied upon. */
  add(origin: StreamOrigin, nowMs: number): void {
    this.#removeOldest(nowMs);
    const known = this.#origins.get(origin.request);
    if (known === undefined) {
      this.#origins.set(origin.request, { origin, addedMs: nowMs });
    } else if (
      known.origin !== undefined && !isSameOrigin(known.origin, origin)
    ) known.origin = undefined;
  }

  /** Records that a request has several origins. */
  addConflict(request: string, nowMs: number): void {
    this.#removeOldest(nowMs);
    const { addedMs } = this.#origins.get(request) ?? { addedMs: nowMs };
    this.#origins.set(request, { origin: undefined, addedMs });
  }

  /** Origin of a request; undefined if it is unknown or has several. */
  tryGet(request: string): StreamOrigin | undefined {
    return this.#origins.get(request)?.origin;
  }

  /** Whether a request has several origins. */
  isConflicting(request: string): boolean {
    return this.#origins.has(request) && this.tryGet(request) === undefined;
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
