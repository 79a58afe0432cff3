/**
 * Which waiting orders to backend servers start now. An order that has to wait
 * holds up no other that conflicts with nothing before it; the weight store's
 * rate bounds the loads under way, and one server takes one order at a time.
 */
/** Orders that start now, in the order of their fencing numbers. */
export function selectOrders(waiting, running, loadConcurrency) {
    const busy = new Set(running.map((order) => order.backendServer));
    let loads = running.filter((order) => order.isLoad).length;
    return [...waiting].sort((a, b) => a.fencingNumber - b.fencingNumber)
        .filter((order) => {
        const isFree = !busy.has(order.backendServer);
        // A later order of a server never passes an earlier one.
        busy.add(order.backendServer);
        if (!isFree || (order.isLoad && loads >= loadConcurrency))
            return false;
        if (order.isLoad)
            loads += 1;
        return true;
    });
}
//# sourceMappingURL=order_schedule.js.map