/**
 * Requests with an idempotency key. The first request with a key runs; a resent
 * one receives the recorded state or outcome. A non-idempotent
 * request is recorded as dispatched before its first byte is sent to a backend
 * server, so that it never runs twice.
 */
import { create } from "@bufbuild/protobuf";
import {
  type FinishRequest,
  ItemState,
  type KeyedRequest,
  KeyedRequestSchema,
  type Outcome,
} from "../../schema/mod.ts";

/** Result of {@linkcode KeyedRequests.begin}. */
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

/** All keyed requests of an item group. */
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

  /**
   * Dispatches a request unless its key is known. A request that was released
   * without an outcome is dispatched again. A resent command for the same
   * attempt returns `begun` again.
   */
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

  /**
   * Records the outcome, or releases the request if there is none. Returns
   * false if this attempt of this epoch is not the dispatched one.
   */
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

  /**
   * Resolves the requests dispatched in an ended epoch: non-idempotent ones
   * finish with `lostOutcome`, the others may be dispatched again.
   */
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

  /** Whether {@linkcode expire} would remove any request. */
  hasExpired(beforeMs: number): boolean {
    return this.getAll().some((request) => isExpired(request, beforeMs));
  }

  /** Removes requests created before `beforeMs` that are not dispatched. */
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
