/**
 * Items that may start in one scheduling pass. Those that need the same slots form a
 * queue of their own, which is left out once these slots are taken. So no item holds up
 * another one that needs other slots, and a pass orders no more items than it starts.
 */
import TinyQueue from "tinyqueue";
import { compareWaitingItems, type WaitingItem } from "../policy/mod.ts";
import type { JobItem } from "../schema/mod.ts";
import type { QueuedJob } from "../state/mod.ts";

/** An item that may be eligible to run. */
export interface ItemCandidate extends WaitingItem {
  readonly queued: QueuedJob;
  readonly item: JobItem;
  /** Key of the item, unique across all jobs. */
  readonly key: string;
}

/** Slots that an item needs. */
export interface ItemSlots {
  readonly service: string;
  /** Software version that servers must have; undefined if any may run the item. */
  readonly softwareVersion: string | undefined;
  /** Whether the item may use servers of other runners. */
  readonly mayLeave: boolean;
  /** Slots of each server that the item must leave free. */
  readonly reserve: number;
}

/** Items that need the same slots, the first one first. */
interface SlotsQueue {
  readonly slots: ItemSlots;
  readonly items: TinyQueue<ItemCandidate>;
}

/** Items that wait for slots, in the order in which they start. */
export class WaitingItems {
  readonly #compare: (a: ItemCandidate, b: ItemCandidate) => number;
  readonly #queues = new Map<string, SlotsQueue>();

  /** `wallMs` is the time by which items are compared. */
  constructor(wallMs: number) {
    this.#compare = (a, b) => compareWaitingItems(a, b, wallMs);
  }

  add(item: ItemCandidate, slots: ItemSlots): void {
    const key = getSlotsKey(slots);
    const queue = this.#queues.get(key) ??
      { slots, items: new TinyQueue([], this.#compare) };
    queue.items.push(item);
    this.#queues.set(key, queue);
  }

  /** Removes the next item, if there is one, and returns it with the slots it needs. */
  tryTake(): { item: ItemCandidate; slots: ItemSlots } | undefined {
    const first = [...this.#queues.values()]
      .filter(({ items }) => items.length > 0)
      .reduce<SlotsQueue | undefined>(
        (best, queue) => this.#comesBefore(queue, best) ? queue : best,
        undefined,
      );
    const item = first?.items.pop();
    return first === undefined || item === undefined
      ? undefined
      : { item, slots: first.slots };
  }

  /** Removes the items that need certain slots, and returns them in order. */
  removeAll(slots: ItemSlots): ItemCandidate[] {
    const key = getSlotsKey(slots);
    const items = this.#queues.get(key)?.items.data ?? [];
    this.#queues.delete(key);
    return [...items].sort(this.#compare);
  }

  #comesBefore(queue: SlotsQueue, other: SlotsQueue | undefined): boolean {
    const first = queue.items.peek();
    const second = other?.items.peek();
    return second === undefined ||
      first !== undefined && this.#compare(first, second) < 0;
  }
}

function getSlotsKey(
  { service, softwareVersion, mayLeave, reserve }: ItemSlots,
): string {
  return `${service}/${mayLeave}/${softwareVersion ?? ""}/${reserve}`;
}
