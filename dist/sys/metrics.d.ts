/** Names of all metrics; docs/METRICS.md explains them. */
export declare const MetricName: {
    readonly requests: "requests";
    readonly requestErrors: "request_errors";
    readonly firstTokenMs: "first_token_ms";
    readonly requestMs: "request_ms";
    readonly retries: "retries";
    readonly resumes: "resumes";
    readonly batchItems: "batch_items";
    readonly batchGaveWay: "batch_gave_way";
    readonly refusals: "refusals";
    readonly backendServers: "backend_servers";
    readonly spreadBytes: "spread_bytes";
    readonly spreadMessages: "spread_messages";
    readonly proposals: "proposals";
    readonly commitMs: "commit_ms";
    readonly syncs: "syncs";
    readonly elections: "elections";
    readonly replicaMessages: "replica_messages";
    readonly sessionsEnded: "sessions_ended";
};
/** Name of a metric. */
export type MetricName = typeof MetricName[keyof typeof MetricName];
/** Counts and times of one process. */
export declare class Metrics {
    #private;
    constructor(options: {
        host?: string;
        port?: number;
        prefix: string;
    });
    /** Adds `by` to a counter. */
    count(name: MetricName, by?: number): void;
    /** Records a duration in milliseconds. */
    time(name: MetricName, ms: number): void;
    /** Sets a level. */
    gauge(name: MetricName, value: number): void;
    /** Sums since the start, for the dump. */
    getSums(): Record<string, number>;
    close(): void;
}
