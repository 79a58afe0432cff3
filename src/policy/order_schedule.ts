/**
 * Schedules operators' orders to backend servers. A server executes one order
 * at a time, in the order of the fencing numbers. The number of concurrent
 * weight loads is bounded because of the weight store's bandwidth. An order
 * that has to wait delays no orders to other servers.
 */

/** An order to one backend server. */
export interface ServerOrder {
  readonly fencingNumber: number;
  readonly backendServer: string;
  /** Whether it loads weights from the weight store. */
  readonly isLoad: boolean;
}

/** Returns the waiting orders that may start now, by fencing number. */
export function selectOrders<T extends ServerOrder>(
  waiting: readonly T[],
  running: readonly ServerOrder[],
  loadConcurrency: number,
): T[] {
  const busy = new Set(running.map((order) => order.backendServer));
  let loads = running.filter((order) => order.isLoad).length;
  return [...waiting].sort((a, b) => a.fencingNumber - b.fencingNumber)
    .filter((order) => {
      const isFree = !busy.has(order.backendServer);
      // A later order to a server never overtakes an earlier one.
      busy.add(order.backendServer);
      if (!isFree || (order.isLoad && loads >= loadConcurrency)) return false;
      if (order.isLoad) loads += 1;
      return true;
    });
}
