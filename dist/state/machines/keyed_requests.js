/**
 * Requests under an idempotency key. The first request with a key runs; a
 * resent one reads its outcome. A non-idempotent request is recorded as
 * dispatched before its first byte leaves and never runs again.
 */
import { create } from "@bufbuild/protobuf";
import { ItemState, KeyedRequestSchema, } from "../../schema/mod.js";
function getMapKey(caller, key) {
    return `${caller}\u0000${key}`;
}
function isExpired(request, beforeMs) {
    return request.state !== ItemState.DISPATCHED &&
        Number(request.createdMs) < beforeMs;
}
/** All keyed requests of a group. */
export class KeyedRequests {
    #requests = new Map();
    #dispatched = new Set();
    get dispatchedCount() {
        return this.#dispatched.size;
    }
    get count() {
        return this.#requests.size;
    }
    getAll() {
        return [...this.#requests.values()];
    }
    tryGet(caller, key) {
        return this.#requests.get(getMapKey(caller, key));
    }
    /** Starts a request under its key unless the key is known. */
    begin(wanted, timeMs) {
        const known = this.tryGet(wanted.caller, wanted.key);
        if (known === undefined) {
            return this.#dispatch({ ...wanted, createdMs: BigInt(timeMs) });
        }
        if (Buffer.compare(known.digest, wanted.digest) !== 0) {
            return { kind: "key reused" };
        }
        if (known.state === ItemState.ACCEPTED) {
            const { epoch, attemptId } = wanted;
            return this.#dispatch({ ...known, epoch, attemptId });
        }
        const resent = known.state === ItemState.DISPATCHED &&
            known.attemptId === wanted.attemptId;
        return { kind: resent ? "begun" : "known", request: known };
    }
    /** Records the outcome; false when the request is not dispatched so. */
    finish(finished) {
        const known = this.tryGet(finished.caller, finished.key);
        const current = known?.state === ItemState.DISPATCHED &&
            known.epoch === finished.epoch &&
            known.attemptId === finished.attemptId;
        if (known === undefined || !current)
            return false;
        if (finished.outcome === undefined) {
            this.#put({ ...known, state: ItemState.ACCEPTED, epoch: 0n });
        }
        else {
            this.#put({
                ...known,
                state: ItemState.FINISHED,
                outcome: finished.outcome,
            });
        }
        return true;
    }
    /** Ends what a lost entry had dispatched. */
    endEpoch(epoch, lost) {
        [...this.#dispatched].map((key) => this.#requests.get(key))
            .filter((request) => request !== undefined)
            .filter((request) => Number(request.epoch) === epoch)
            .forEach((request) => this.#put(request.nonIdempotent
            ? { ...request, state: ItemState.FINISHED, outcome: lost }
            : { ...request, state: ItemState.ACCEPTED, epoch: 0n }));
    }
    /** Whether a request ended and was created before `beforeMs`. */
    hasExpired(beforeMs) {
        return this.getAll().some((request) => isExpired(request, beforeMs));
    }
    /** Removes requests that ended and were created before `beforeMs`. */
    expire(beforeMs) {
        this.getAll().filter((request) => isExpired(request, beforeMs))
            .forEach((request) => this.#requests.delete(getMapKey(request.caller, request.key)));
    }
    restore(requests) {
        this.#requests = new Map();
        this.#dispatched.clear();
        requests.forEach((request) => this.#put(request));
    }
    #dispatch(request) {
        const dispatched = create(KeyedRequestSchema, {
            ...request,
            state: ItemState.DISPATCHED,
        });
        this.#put(dispatched);
        return { kind: "begun", request: dispatched };
    }
    #put(request) {
        const key = getMapKey(request.caller, request.key);
        this.#requests.set(key, request);
        if (request.state === ItemState.DISPATCHED)
            this.#dispatched.add(key);
        else
            this.#dispatched.delete(key);
    }
}
//# sourceMappingURL=keyed_requests.js.map