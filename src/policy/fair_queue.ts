/** Fair queueing of requests between callers. */

/** Round-robin queue over callers, with a FIFO queue for each of them. */
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

  /** Returns the next value without removing it. */
  tryPeek(): T | undefined {
    const first = this.#queues.values().next();
    return first.done === true ? undefined : first.value[0];
  }

  /** Removes and returns the next value; its caller moves to the back. */
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

  /** Removes a value from any position; false if it is not in the queue. */
  remove(caller: string, value: T): boolean {
    const queue = this.#queues.get(caller);
    const index = queue?.indexOf(value) ?? -1;
    if (queue === undefined || index < 0) return false;
    queue.splice(index, 1);
    if (queue.length === 0) this.#queues.delete(caller);
    this.#length -= 1;
    return true;
  }

  /** All values, in unspecified order. */
  getAll(): T[] {
    return [...this.#queues.values()].flat();
  }
}
