/**
 * Requests under an idempotency key. The first request with a key runs; a
 * resent one reads its outcome. A non-idempotent request is recorded as
 * dispatched before its first byte leaves and never runs again.
 */
import { create } from "@bufbuild/protobuf";
import {
  type FinishRequest,
  ItemState,
  type KeyedRequest,
  KeyedRequestSchema,
  type Outcome,
} from "../../schema/mod.ts";

/** Answer to the start of a request. */
export type BeginResult =
  | { readonly kind: "begun"; readonly request: KeyedRequest }
  | { readonly kind: "known"; readonly request: KeyedRequest }
  | { readonly kind: "key reused" };

function createMapKey(caller: string, key: string): string {
  return `${caller}\u0000${key}`;
}

function isExpired(request: KeyedRequest, beforeMs: number): boolean {
  return request.state !== ItemState.DISPATCHED &&
    Number(request.createdMs) < beforeMs;
}

/** All keyed requests of a group. */
export class KeyedRequests {
  #requests = new Map<string, KeyedRequest>();
  readonly #dispatched = new Set<string>();

  get dispatchedCount(): number {
    return this.#dispatched.size;
  }

  get count(): number {
    return this.#requests.size;
  }

  getAll(): KeyedRequest[] {
    return [...this.#requests.values()];
  }

  tryGet(caller: string, key: string): KeyedRequest | undefined {
    return this.#requests.get(createMapKey(caller, key));
  }

  /** Starts a request under its key unless the key is known. */
  begin(incoming: KeyedRequest, timeMs: number): BeginResult {
    const existing = this.tryGet(incoming.caller, incoming.key);
    if (existing === undefined) {
      return this.#dispatch({ ...incoming, createdMs: BigInt(timeMs) });
    }
    if (Buffer.compare(existing.digest, incoming.digest) !== 0) {
      return { kind: "key reused" };
    }
    if (existing.state === ItemState.ACCEPTED) {
      const { epoch, attemptId } = incoming;
      return this.#dispatch({ ...existing, epoch, attemptId });
    }
    const isRetry = existing.state === ItemState.DISPATCHED &&
      existing.attemptId === incoming.attemptId;
    return { kind: isRetry ? "begun" : "known", request: existing };
  }

  /** Records the outcome; false when the request is not dispatched so. */
  finish(finished: FinishRequest): boolean {
    const existing = this.tryGet(finished.caller, finished.key);
    const isCurrent = existing?.state === ItemState.DISPATCHED &&
      existing.epoch === finished.epoch &&
      existing.attemptId === finished.attemptId;
    if (existing === undefined || !isCurrent) return false;
    if (finished.outcome === undefined) {
      this.#put({ ...existing, state: ItemState.ACCEPTED, epoch: 0n });
    } else {
      this.#put({
        ...existing,
        state: ItemState.FINISHED,
        outcome: finished.outcome,
      });
    }
    return true;
  }

  /** Ends what a lost entry had dispatched. */
  endEpoch(epoch: number, lostOutcome: Outcome): void {
    [...this.#dispatched].map((key) => this.#requests.get(key))
      .filter((request) => request !== undefined)
      .filter((request) => Number(request.epoch) === epoch)
      .forEach((request) =>
        this.#put(
          request.nonIdempotent
            ? { ...request, state: ItemState.FINISHED, outcome: lostOutcome }
            : { ...request, state: ItemState.ACCEPTED, epoch: 0n },
        )
      );
  }

  /** Whether a request ended and was created before `beforeMs`. */
  hasExpired(beforeMs: number): boolean {
    return this.getAll().some((request) => isExpired(request, beforeMs));
  }

  /** Removes requests that ended and were created before `beforeMs`. */
  expire(beforeMs: number): void {
    this.getAll().filter((request) => isExpired(request, beforeMs))
      .forEach((request) =>
        this.#requests.delete(createMapKey(request.caller, request.key))
      );
  }

  restore(requests: readonly KeyedRequest[]): void {
    this.#requests = new Map();
    this.#dispatched.clear();
    requests.forEach((request) => this.#put(request));
  }

  #dispatch(request: KeyedRequest): BeginResult {
    const dispatched = create(KeyedRequestSchema, {
      ...request,
      state: ItemState.DISPATCHED,
    });
    this.#put(dispatched);
    return { kind: "begun", request: dispatched };
  }

  #put(request: KeyedRequest): void {
    const key = createMapKey(request.caller, request.key);
    this.#requests.set(key, request);
    if (request.state === ItemState.DISPATCHED) this.#dispatched.add(key);
    else this.#dispatched.delete(key);
  }
}
