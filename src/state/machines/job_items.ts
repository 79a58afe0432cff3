/**
 * Compact storage for the items of one job. Bodies and outcomes are kept
 * encoded, states and attempts in typed arrays, to bound the memory use of jobs
 * with hundreds of thousands of items.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  type Item,
  ItemSchema,
  ItemState,
  type Outcome,
  OutcomeSchema,
} from "../../schema/mod.ts";

/** Number of items in each state. */
export interface ItemCounts {
  readonly accepted: number;
  readonly dispatched: number;
}

/** Items of a job, indexed by their zero-based line number. */
export class JobItems {
  readonly #bodies: Uint8Array[];
  readonly #states: Uint8Array;
  readonly #attempts: Uint8Array;
  readonly #epochs: Uint32Array;
  readonly #claimIndexes: Float64Array;
  readonly #outcomes: (Uint8Array | undefined)[];
  readonly #progress = new Map<number, Uint8Array>();
  readonly #dispatched = new Set<number>();
  /**
   * Indexes of requeued items, in ascending order. The order must not depend on
   * when items were requeued, which a snapshot does not contain: a replica
   * restored from a snapshot must dispatch the same items as the others.
   */
  readonly #requeued: number[] = [];
  /** All items from this index on are waiting and not in `#requeued`. */
  #nextUndispatched = 0;

  constructor(items: readonly Item[]) {
    this.#bodies = packBodies(items);
    this.#states = Uint8Array.from(
      items,
      (item) => item.state || ItemState.ACCEPTED,
    );
    this.#attempts = Uint8Array.from(items, (item) => item.attempts);
    this.#epochs = Uint32Array.from(items, (item) => Number(item.epoch));
    this.#claimIndexes = Float64Array.from(
      items,
      (item) => Number(item.dispatch),
    );
    this.#outcomes = items.map((item) =>
      item.outcome === undefined
        ? undefined
        : toBinary(OutcomeSchema, item.outcome)
    );
    items.forEach((item, index) => {
      if (item.progress.length > 0) this.#progress.set(index, item.progress);
      if (item.state === ItemState.DISPATCHED) this.#dispatched.add(index);
    });
    this.#nextUndispatched = this.#rebuildQueue();
  }

  get length(): number {
    return this.#states.length;
  }

  /** Number of items waiting to be dispatched. */
  get waitingCount(): number {
    return this.#states.length - this.#nextUndispatched + this.#requeued.length;
  }

  get dispatchedCount(): number {
    return this.#dispatched.size;
  }

  getState(index: number): ItemState {
    return this.#states[index] ?? ItemState.ITEM_STATE_UNSPECIFIED;
  }

  getAttempts(index: number): number {
    return this.#attempts[index] ?? 0;
  }

  /** Epoch of the session that dispatched the item; 0 if there is none. */
  getEpoch(index: number): number {
    return this.#epochs[index] ?? 0;
  }

  /** Log index of the claim that dispatched the item; 0 if there is none. */
  getClaimIndex(index: number): number {
    return this.#claimIndexes[index] ?? 0;
  }

  getBodyLength(index: number): number {
    return this.#bodies[index]?.length ?? 0;
  }

  /** Indexes of the dispatched items in ascending order. */
  getDispatchedIndexes(): number[] {
    return [...this.#dispatched].sort((a, b) => a - b);
  }

  /** Returns the item as a message, with its outcome decoded. */
  getItem(index: number): Item {
    const outcome = this.#outcomes[index];
    return create(ItemSchema, {
      body: this.#bodies[index],
      attempts: this.getAttempts(index),
      state: this.getState(index),
      epoch: BigInt(this.getEpoch(index)),
      dispatch: BigInt(this.getClaimIndex(index)),
      outcome: outcome === undefined
        ? undefined
        : fromBinary(OutcomeSchema, outcome),
      progress: this.#progress.get(index),
    });
  }

  /**
   * Dispatches the next waiting item, requeued ones first, and returns its
   * index; undefined if no item is waiting.
   */
  tryDispatch(epoch: number, claimIndex: number): number | undefined {
    const index = this.#requeued.shift() ?? this.#tryTakeUndispatched();
    if (index === undefined) return undefined;
    this.#states[index] = ItemState.DISPATCHED;
    this.#epochs[index] = epoch;
    this.#claimIndexes[index] = claimIndex;
    this.#dispatched.add(index);
    return index;
  }

  /**
   * Requeues a dispatched item and keeps the output that it has produced so
   * far. A charged attempt counts towards the maximum number of attempts.
   */
  requeue(index: number, options: { progress: Uint8Array; charged: boolean }) {
    this.#dispatched.delete(index);
    this.#states[index] = ItemState.ACCEPTED;
    this.#epochs[index] = 0;
    this.#claimIndexes[index] = 0;
    if (options.charged) this.#attempts[index] = this.getAttempts(index) + 1;
    if (options.progress.length > 0) {
      this.#progress.set(index, options.progress);
    }
    this.#insertRequeued(index);
  }

  /** Records the final outcome of a dispatched item. */
  finish(index: number, outcome: Outcome): void {
    this.#dispatched.delete(index);
    this.#progress.delete(index);
    this.#states[index] = ItemState.FINISHED;
    this.#outcomes[index] = toBinary(OutcomeSchema, outcome);
  }

  /** Marks a dispatched item as cancelled. */
  cancelDispatched(index: number): void {
    this.#dispatched.delete(index);
    this.#progress.delete(index);
    this.#states[index] = ItemState.CANCELLED;
  }

  /** Cancels all waiting items and returns their number. */
  cancelWaiting(): number {
    const count = this.waitingCount;
    this.#requeued.forEach((index) => {
      this.#states[index] = ItemState.CANCELLED;
    });
    this.#requeued.length = 0;
    this.#states.fill(ItemState.CANCELLED, this.#nextUndispatched);
    this.#nextUndispatched = this.#states.length;
    return count;
  }

  /** Copies the state of the items; their messages are created on demand. */
  capture(): { readonly length: number; getItem(index: number): Item } {
    const states = this.#states.slice();
    const attempts = this.#attempts.slice();
    const epochs = this.#epochs.slice();
    const claimIndexes = this.#claimIndexes.slice();
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
          dispatch: BigInt(claimIndexes[index] ?? 0),
          outcome: outcome && fromBinary(OutcomeSchema, outcome),
          progress: progress.get(index),
        });
      },
    };
  }

  #insertRequeued(index: number): void {
    const position = this.#requeued.findIndex((other) => other > index);
    this.#requeued.splice(
      position < 0 ? this.#requeued.length : position,
      0,
      index,
    );
  }

  #tryTakeUndispatched(): number | undefined {
    if (this.#nextUndispatched >= this.#states.length) return undefined;
    const index = this.#nextUndispatched;
    this.#nextUndispatched += 1;
    return index;
  }

  /**
   * Rebuilds the queue of items restored from a snapshot. Adds to `#requeued`
   * the waiting items before the last item that has a state other than waiting,
   * charged attempts or output. Returns the index after that item, which
   * becomes `#nextUndispatched`.
   */
  #rebuildQueue(): number {
    const lastTouched = this.#states.findLastIndex((state, index) =>
      state !== ItemState.ACCEPTED || this.getAttempts(index) > 0 ||
      this.#progress.has(index)
    );
    const start = lastTouched + 1;
    Array.from({ length: start }, (_, index) => index)
      .filter((index) => this.getState(index) === ItemState.ACCEPTED)
      .forEach((index) => this.#requeued.push(index));
    return start;
  }
}

/**
 * Copies all bodies into one buffer, so that they don't retain the buffers of
 * the messages that they were decoded from.
 */
function packBodies(items: readonly Item[]): Uint8Array[] {
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
