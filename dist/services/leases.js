/** Renewal times by holder. */
export class Leases {
    #clock;
    #leaseMs;
    #renewedMs = new Map();
    constructor(options) {
        this.#clock = options.clock;
        this.#leaseMs = options.leaseMs;
    }
    renew(holder) {
        this.#renewedMs.set(holder, this.#clock.getMonotonicMs());
    }
    /** Holders whose lease has run out; none while this replica doesn't lead. */
    getExpired(isLeader, holders) {
        if (!isLeader) {
            this.#renewedMs.clear();
            return [];
        }
        const nowMs = this.#clock.getMonotonicMs();
        holders.filter((holder) => !this.#renewedMs.has(holder))
            .forEach((holder) => this.#renewedMs.set(holder, nowMs));
        return holders.filter((holder) => nowMs - (this.#renewedMs.get(holder) ?? nowMs) > this.#leaseMs);
    }
}
//# sourceMappingURL=leases.js.map