/**
 * The items of one job, packed: bodies and outcomes are byte ranges, states
 * and attempts are arrays of numbers, so that a job of hundreds of thousands
 * of items stays small in memory.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { ItemSchema, ItemState, OutcomeSchema, } from "../../schema/mod.js";
/** Items of a job by their line number, from 0. */
export class JobItems {
    #bodies;
    #states;
    #attempts;
    #epochs;
    #dispatches;
    #outcomes;
    #progress = new Map();
    #dispatched = new Set();
    /**
     * Items that came back and wait again, in the order of their lines, so that
     * a replica restored from a snapshot dispatches the same item as the others.
     */
    #returned = [];
    #nextFresh = 0;
    constructor(items) {
        this.#bodies = packBodies(items);
        this.#states = Uint8Array.from(items, (item) => item.state || ItemState.ACCEPTED);
        this.#attempts = Uint8Array.from(items, (item) => item.attempts);
        this.#epochs = Uint32Array.from(items, (item) => Number(item.epoch));
        this.#dispatches = Float64Array.from(items, (item) => Number(item.dispatch));
        this.#outcomes = items.map((item) => item.outcome === undefined
            ? undefined
            : toBinary(OutcomeSchema, item.outcome));
        items.forEach((item, index) => {
            if (item.progress.length > 0)
                this.#progress.set(index, item.progress);
            if (item.state === ItemState.DISPATCHED)
                this.#dispatched.add(index);
        });
        this.#nextFresh = this.#findFreshStart();
    }
    get length() {
        return this.#states.length;
    }
    /** Items that wait to be dispatched. */
    get waitingCount() {
        return this.#states.length - this.#nextFresh + this.#returned.length;
    }
    get dispatchedCount() {
        return this.#dispatched.size;
    }
    getState(index) {
        return this.#states[index] ?? ItemState.ITEM_STATE_UNSPECIFIED;
    }
    getAttempts(index) {
        return this.#attempts[index] ?? 0;
    }
    getEpoch(index) {
        return this.#epochs[index] ?? 0;
    }
    /** Log index of the claim that dispatched the item; zero when none did. */
    getDispatch(index) {
        return this.#dispatches[index] ?? 0;
    }
    getBodyBytes(index) {
        return this.#bodies[index]?.length ?? 0;
    }
    /** Indexes of the dispatched items, in order. */
    getDispatched() {
        return [...this.#dispatched].sort((a, b) => a - b);
    }
    /** The whole item. */
    getItem(index) {
        const outcome = this.#outcomes[index];
        return create(ItemSchema, {
            body: this.#bodies[index],
            attempts: this.getAttempts(index),
            state: this.getState(index),
            epoch: BigInt(this.getEpoch(index)),
            dispatch: BigInt(this.getDispatch(index)),
            outcome: outcome === undefined
                ? undefined
                : fromBinary(OutcomeSchema, outcome),
            progress: this.#progress.get(index),
        });
    }
    /** Marks the next waiting item as dispatched; undefined when none waits. */
    tryDispatch(epoch, dispatch) {
        const index = this.#returned.shift() ?? this.#tryTakeFresh();
        if (index === undefined)
            return undefined;
        this.#states[index] = ItemState.DISPATCHED;
        this.#epochs[index] = epoch;
        this.#dispatches[index] = dispatch;
        this.#dispatched.add(index);
        return index;
    }
    /** Lets a dispatched item wait again, with the output it has so far. */
    putBack(index, options) {
        this.#dispatched.delete(index);
        this.#states[index] = ItemState.ACCEPTED;
        this.#epochs[index] = 0;
        this.#dispatches[index] = 0;
        if (options.charged)
            this.#attempts[index] = this.getAttempts(index) + 1;
        if (options.progress.length > 0) {
            this.#progress.set(index, options.progress);
        }
        this.#insertReturned(index);
    }
    /** Records the one outcome of a dispatched item. */
    finish(index, outcome) {
        this.#dispatched.delete(index);
        this.#progress.delete(index);
        this.#states[index] = ItemState.FINISHED;
        this.#outcomes[index] = toBinary(OutcomeSchema, outcome);
    }
    /** Marks a dispatched item as cancelled. */
    cancelDispatched(index) {
        this.#dispatched.delete(index);
        this.#progress.delete(index);
        this.#states[index] = ItemState.CANCELLED;
    }
    /** Marks all waiting items as cancelled and returns their number. */
    cancelWaiting() {
        const count = this.waitingCount;
        this.#returned.forEach((index) => {
            this.#states[index] = ItemState.CANCELLED;
        });
        this.#returned.length = 0;
        this.#states.fill(ItemState.CANCELLED, this.#nextFresh);
        this.#nextFresh = this.#states.length;
        return count;
    }
    /** Copies of the items as of now, decoded lazily. */
    capture() {
        const states = this.#states.slice();
        const attempts = this.#attempts.slice();
        const epochs = this.#epochs.slice();
        const dispatches = this.#dispatches.slice();
        const outcomes = this.#outcomes.slice();
        const progress = new Map(this.#progress);
        const bodies = this.#bodies;
        return {
            length: states.length,
            getItem: (index) => {
                const outcome = outcomes[index];
                return create(ItemSchema, {
                    body: bodies[index],
                    attempts: attempts[index],
                    state: states[index],
                    epoch: BigInt(epochs[index] ?? 0),
                    dispatch: BigInt(dispatches[index] ?? 0),
                    outcome: outcome && fromBinary(OutcomeSchema, outcome),
                    progress: progress.get(index),
                });
            },
        };
    }
    #insertReturned(index) {
        const place = this.#returned.findIndex((other) => other > index);
        this.#returned.splice(place < 0 ? this.#returned.length : place, 0, index);
    }
    #tryTakeFresh() {
        if (this.#nextFresh >= this.#states.length)
            return undefined;
        const index = this.#nextFresh;
        this.#nextFresh += 1;
        return index;
    }
    #findFreshStart() {
        const lastTouched = this.#states.findLastIndex((state, index) => state !== ItemState.ACCEPTED || this.getAttempts(index) > 0 ||
            this.#progress.has(index));
        const start = lastTouched + 1;
        Array.from({ length: start }, (_, index) => index)
            .filter((index) => this.getState(index) === ItemState.ACCEPTED)
            .forEach((index) => this.#returned.push(index));
        return start;
    }
}
/** Copies all bodies into one block, so that nothing else is kept alive. */
function packBodies(items) {
    const bytes = items.reduce((sum, item) => sum + item.body.length, 0);
    const block = new Uint8Array(bytes);
    let offset = 0;
    return items.map((item) => {
        block.set(item.body, offset);
        const body = block.subarray(offset, offset + item.body.length);
        offset += item.body.length;
        return body;
    });
}
//# sourceMappingURL=job_items.js.map