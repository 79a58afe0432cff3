/**
 * Metrics: counters and latency histograms. They are served as text on the
 * metrics address, sent to StatsD by hot-shots if that is configured, and
 * accumulated as sums for the dump.
 */
import { StatsD } from "hot-shots";
import { Counter, Histogram, Registry } from "prom-client";
import { type HttpListener, listenHttp, type ListenOptions } from "./http.ts";

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
  placeWaitMs: "place_wait_ms",
  ownAnswers: "own_answers",
  itemFailures: "item_failures",
  recordMs: "record_ms",
  suspicions: "suspicions",
  promptPartSuspicions: "prompt_part_suspicions",
  streamsTakenUp: "streams_taken_up",
  limitedSends: "limited_sends",
  organisationAdmissions: "organisation_admissions",
  organisationCalls: "organisation_calls",
  organisationGrants: "organisation_grants",
  relayedRequests: "relayed_requests",
  accessDecisions: "access_decisions",
  remoteSends: "remote_sends",
  remoteStays: "remote_stays",
  remoteBytes: "remote_bytes",
  placementPreviews: "placement_previews",
  updatesNotSent: "updates_not_sent",
  slowSends: "slow_sends",
  slowHolds: "slow_holds",
  unexpectedErrors: "unexpected_errors",
  callerFaults: "caller_faults",
  jobEnds: "job_ends",
} as const;

/** Name of a metric. */
export type MetricName = typeof MetricName[keyof typeof MetricName];

/** Labels that distinguish the kinds of what one metric counts. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Returns the content of a page that changes nothing, by its query. */
export type OperatorPage = (query: URLSearchParams) => unknown;

/** Options of {@linkcode Metrics.listen}. */
export interface MetricsListenOptions extends ListenOptions {
  /** Pages for operators, by their path; none by default. */
  readonly pages?: ReadonlyMap<string, OperatorPage>;
}

/** Upper bounds of the latency histograms, in milliseconds. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

/** Path under which the metrics are served. */
const METRICS_PATH = "/metrics";

/** Metrics of one process. */
export class Metrics {
  readonly #client: StatsD | undefined;
  readonly #sums = new Map<string, number>();
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #histograms = new Map<string, Histogram>();

  constructor(options: { host?: string; port?: number; prefix: string }) {
    const port = options.port ?? 0;
    this.#client = port === 0 ? undefined : new StatsD({
      host: options.host ?? "127.0.0.1",
      port,
      prefix: `papayatally.${options.prefix}.`,
      errorHandler: () => {},
    });
  }

  /**
   * Adds `amount` to a counter. All calls for one name must use the same label
   * names.
   */
  count(name: MetricName, amount = 1, labels: MetricLabels = {}): void {
    const key = [name, ...Object.values(labels)].join(".");
    this.#sums.set(key, (this.#sums.get(key) ?? 0) + amount);
    this.#client?.increment(key, amount);
    this.#getCounter(name, labels).inc(labels, amount);
  }

  /** Records a duration in milliseconds. */
  time(name: MetricName, ms: number): void {
    this.#sums.set(name, (this.#sums.get(name) ?? 0) + ms);
    this.#client?.timing(name, ms);
    this.#getHistogram(name).observe(ms);
  }

  /** Sets a gauge. */
  gauge(name: MetricName, value: number): void {
    this.#sums.set(name, value);
    this.#client?.gauge(name, value);
  }

  /** Returns the sums since the start of the process, for the dump. */
  getSums(): Record<string, number> {
    return Object.fromEntries([...this.#sums].sort());
  }

  /** Serves the metrics on `address`, and pages for operators by their path. */
  listen(
    address: string,
    { pages = new Map(), ...options }: MetricsListenOptions = {},
  ): Promise<HttpListener> {
    return listenHttp(address, (req, res) => {
      const [path = "", query] = (req.url ?? "").split("?", 2);
      const page = pages.get(path);
      if (page !== undefined && req.method === "GET") {
        res.writeHead(200, { "content-type": "application/json" });
        res.end(JSON.stringify(page(new URLSearchParams(query))));
        return;
      }
      if (req.url !== METRICS_PATH) {
        res.writeHead(404).end();
        return;
      }
      this.#registry.metrics().then(
        (text) => {
          res.writeHead(200, { "content-type": this.#registry.contentType });
          res.end(text);
        },
        (error) => res.writeHead(500).end(String(error)),
      );
    }, options);
  }

  close(): void {
    this.#client?.close();
  }

  #getCounter(name: MetricName, labels: MetricLabels): Counter {
    const existing = this.#counters.get(name);
    if (existing !== undefined) return existing;
    const counter = new Counter({
      name: `papayatally_${name}_total`,
      help: name,
      labelNames: Object.keys(labels),
      registers: [this.#registry],
    });
    this.#counters.set(name, counter);
    return counter;
  }

  #getHistogram(name: MetricName): Histogram {
    const existing = this.#histograms.get(name);
    if (existing !== undefined) return existing;
    const histogram = new Histogram({
      name: `papayatally_${name}`,
      help: name,
      buckets: BUCKETS_MS,
      registers: [this.#registry],
    });
    this.#histograms.set(name, histogram);
    return histogram;
  }
}
