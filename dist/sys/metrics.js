/** Metrics by hot-shots, kept as sums for the dump as well. */
import { StatsD } from "hot-shots";
/** Names of all metrics; docs/METRICS.md explains them. */
export const MetricName = {
    requests: "requests",
    requestErrors: "request_errors",
    firstTokenMs: "first_token_ms",
    requestMs: "request_ms",
    retries: "retries",
    resumes: "resumes",
    batchItems: "batch_items",
    batchGaveWay: "batch_gave_way",
    refusals: "refusals",
    backendServers: "backend_servers",
    spreadBytes: "spread_bytes",
    spreadMessages: "spread_messages",
    proposals: "proposals",
    commitMs: "commit_ms",
    syncs: "syncs",
    elections: "elections",
    replicaMessages: "replica_messages",
    sessionsEnded: "sessions_ended",
};
/** Counts and times of one process. */
export class Metrics {
    #client;
    #sums = new Map();
    constructor(options) {
        const port = options.port ?? 0;
        this.#client = port === 0 ? undefined : new StatsD({
            host: options.host ?? "127.0.0.1",
            port,
            prefix: `papayatally.${options.prefix}.`,
            errorHandler: () => { },
        });
    }
    /** Adds `by` to a counter. */
    count(name, by = 1) {
        this.#sums.set(name, (this.#sums.get(name) ?? 0) + by);
        this.#client?.increment(name, by);
    }
    /** Records a duration in milliseconds. */
    time(name, ms) {
        this.#sums.set(name, (this.#sums.get(name) ?? 0) + ms);
        this.#client?.timing(name, ms);
    }
    /** Sets a level. */
    gauge(name, value) {
        this.#sums.set(name, value);
        this.#client?.gauge(name, value);
    }
    /** Sums since the start, for the dump. */
    getSums() {
        return Object.fromEntries([...this.#sums].sort());
    }
    close() {
        this.#client?.close();
    }
}
//# sourceMappingURL=metrics.js.map