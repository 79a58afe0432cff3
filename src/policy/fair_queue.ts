/** A queue that serves callers in turn, each caller's entries in order. */

/** First in, first out for each caller; callers take turns. */
export class FairQueue<T> {
  readonly #queues = new Map<string, T[]>();
  #length = 0;

  get length(): number {
    return this.#length;
  }

  push(caller: string, value: T): void {
    const queue = this.#queues.get(caller) ?? [];
    queue.push(value);
    this.#queues.set(caller, queue);
    this.#length += 1;
  }

  /** The value that is served next; it stays in the queue. */
  tryPeek(): T | undefined {
    const first = this.#queues.values().next();
    return first.done === true ? undefined : first.value[0];
  }

  /** Removes the value that is served next; its caller goes to the back. */
  tryShift(): T | undefined {
    const first = this.#queues.entries().next();
    if (first.done === true) return undefined;
    const [caller, queue] = first.value;
    const value = queue.shift();
    this.#queues.delete(caller);
    if (queue.length > 0) this.#queues.set(caller, queue);
    this.#length -= 1;
    return value;
  }

  /** Removes a value wherever it waits; false when it is not here. */
  remove(caller: string, value: T): boolean {
    const queue = this.#queues.get(caller);
    const index = queue?.indexOf(value) ?? -1;
    if (queue === undefined || index < 0) return false;
    queue.splice(index, 1);
    if (queue.length === 0) this.#queues.delete(caller);
    this.#length -= 1;
    return true;
  }

  /** All values, in no promised order. */
  getAll(): T[] {
    return [...this.#queues.values()].flat();
  }
}
