/**
 * Detects poison requests, which crash the backend server that runs them. A
 * request that was in flight when a server failed is suspect. The failed
 * servers are kept as a set for each request fingerprint, so that updates of
 * several processes can be merged in any order.
 *
 * Sound requests that run beside a poison request are suspect too. A failure is
 * not counted against a request if another one was present at it and at more
 * failures. A suspect that finishes is cleared.
 */
import { create } from "@bufbuild/protobuf";
import { type Suspicion, SuspicionSchema } from "../schema/mod.ts";

/** Number of failed servers at which a request counts as poison. */
export const MAX_FAILURES = 2;

/**
 * The same while other servers fail too. A process may set another limit: where
 * many servers fail at once, a sound request that is retried meets several
 * failures by chance.
 */
const MAX_CORRELATED_FAILURES = 3;

/**
 * Number of failed servers at which a request counts as poison even if other
 * requests were present at all failures.
 */
const MAX_SHARED_FAILURES = 5;

/**
 * Time between two failures, in milliseconds, up to which they may have a
 * common cause other than the request, such as the failure of a rack.
 */
const CORRELATED_FAILURE_MS = 5_000;

/** Default time for which a record is kept after its last failure. */
const RETENTION_MS = 24 * 3_600_000;

/**
 * Time after the last failure for which a poison request is rejected, in
 * milliseconds. After it the request may run again, in case that the failures
 * had another cause. The time doubles with each failure from
 * {@linkcode MAX_SHARED_FAILURES} on.
 */
const REJECTION_MS = 30_000;

const MAX_REJECTION_MS = 10 * 60_000;

/** Maximum number of records; those that failed least recently are dropped. */
const MAX_RECORDS = 2_048;

/** Maximum number of servers in a record; later ones are not added. */
const MAX_SERVERS = 32;

/**
 * Time after a failure from which a heartbeat proves that the server still
 * runs, in milliseconds. Heartbeats that were sent before the failure arrive
 * up to an update interval of the control hosts later.
 */
const HEARTBEAT_LAG_MS = 2_000;

interface FailureRecord {
  /** Detection times of the failures, by name of the failed server. */
  readonly servers: Map<string, number>;
  /** Time of the last failure. */
  updatedMs: number;
}

/** Suspect requests as known to one process, by fingerprint. */
export class Suspicions {
  readonly #retentionMs: number;
  readonly #maxCorrelatedFailures: number;
  /** In order of the last failure. */
  readonly #records = new Map<string, FailureRecord>();

  constructor(
    options: { retentionMs?: number; maxCorrelatedFailures?: number } = {},
  ) {
    this.#retentionMs = options.retentionMs ?? RETENTION_MS;
    this.#maxCorrelatedFailures = options.maxCorrelatedFailures ??
      MAX_CORRELATED_FAILURES;
  }

  get isEmpty(): boolean {
    return this.#records.size === 0;
  }

  /** Number of different servers that failed while running the request. */
  getServerFailureCount(fingerprint: string): number {
    return this.#records.get(fingerprint)?.servers.size ?? 0;
  }

  /**
   * Whether the request counts as poison, because too many servers failed while
   * running it. More failures are needed if the request may not be the cause:
   * other servers failed at about the same time, or another request was present
   * at as many failures.
   */
  isPoisoned(fingerprint: string): boolean {
    const record = this.#records.get(fingerprint);
    if (record === undefined || record.servers.size < MAX_FAILURES) {
      return false;
    }
    if (record.servers.size >= MAX_SHARED_FAILURES) return true;
    const failures = this.#getAttributedFailures(record).length;
    return failures >= this.#getLimit(record);
  }

  /** Time until a poison request may run again, in milliseconds; 0 if it may. */
  getRejectionMs(fingerprint: string, nowMs: number): number {
    const record = this.#records.get(fingerprint);
    if (record === undefined || !this.isPoisoned(fingerprint)) return 0;
    const excess = Math.max(0, record.servers.size + 1 - MAX_SHARED_FAILURES);
    const factor = 2 ** excess;
    const rejectionMs = Math.min(MAX_REJECTION_MS, REJECTION_MS * factor);
    return Math.max(0, record.updatedMs + rejectionMs - nowMs);
  }

  /**
   * Time since a server failed last while running the request, in milliseconds;
   * infinite if none did.
   */
  getIdleMs(fingerprint: string, nowMs: number): number {
    return nowMs - (this.#records.get(fingerprint)?.updatedMs ?? -Infinity);
  }

  /** Whether a server failed while running the request. */
  isSuspect(fingerprint: string): boolean {
    return this.#records.has(fingerprint);
  }

  /** Records a server failure; returns the update to send to other processes. */
  record(fingerprint: string, server: string, nowMs: number): Suspicion {
    this.#addFailure(fingerprint, server, nowMs);
    return this.getUpdate(fingerprint, nowMs);
  }

  /** Returns all that is known of a request, to send to other processes. */
  getUpdate(fingerprint: string, nowMs: number): Suspicion {
    const record = this.#records.get(fingerprint);
    if (record === undefined) {
      return create(SuspicionSchema, { fingerprint, cleared: true });
    }
    return create(SuspicionSchema, {
      fingerprint,
      servers: [...record.servers.keys()],
      idleMs: Math.max(0, Math.floor(nowMs - record.updatedMs)),
    });
  }

  /**
   * Clears a suspect request that finished, unless it counts as poison already.
   * Returns the update to send to other processes.
   */
  tryClear(fingerprint: string): Suspicion | undefined {
    return this.isPoisoned(fingerprint) ? undefined : this.#clear(fingerprint);
  }

  /** Clears a suspect request that finished and is not rejected any more. */
  tryClearAccepted(fingerprint: string, nowMs: number): Suspicion | undefined {
    const isRejected = this.getRejectionMs(fingerprint, nowMs) > 0;
    return isRejected ? undefined : this.#clear(fingerprint);
  }

  /** Merges an update of another process; returns whether it changed anything. */
  merge(update: Suspicion, nowMs: number): boolean {
    const { fingerprint } = update;
    if (update.cleared) {
      return !this.isPoisoned(fingerprint) && this.#records.delete(fingerprint);
    }
    if (update.idleMs > this.#retentionMs) return false;
    const failedMs = nowMs - update.idleMs;
    return update.servers
      .map((server) => this.#addFailure(fingerprint, server, failedMs))
      .includes(true);
  }

  /**
   * Records a heartbeat of a server. A failure that was recorded some time
   * before it was not a crash, and is removed from all records.
   */
  recordHeartbeat(server: string, nowMs: number): void {
    this.#records.forEach(({ servers }, fingerprint) => {
      const failedMs = servers.get(server);
      if (failedMs === undefined || nowMs - failedMs < HEARTBEAT_LAG_MS) return;
      servers.delete(server);
      if (servers.size === 0) this.#records.delete(fingerprint);
    });
  }

  /** All suspicions, to send to a process that starts. */
  getAll(nowMs: number): Suspicion[] {
    return [...this.#records.keys()].map((fingerprint) =>
      this.getUpdate(fingerprint, nowMs)
    );
  }

  /** Removes records without a failure within the retention time. */
  removeExpired(nowMs: number): void {
    [...this.#records].filter(([, record]) =>
      nowMs - record.updatedMs > this.#retentionMs
    )
      .forEach(([fingerprint]) => this.#records.delete(fingerprint));
  }

  #addFailure(fingerprint: string, server: string, failedMs: number): boolean {
    const record = this.#records.get(fingerprint) ??
      { servers: new Map<string, number>(), updatedMs: failedMs };
    const isFull = record.servers.size >= MAX_SERVERS;
    if (record.servers.has(server) || isFull) return false;
    record.servers.set(server, failedMs);
    record.updatedMs = Math.max(record.updatedMs, failedMs);
    this.#records.delete(fingerprint);
    this.#records.set(fingerprint, record);
    if (this.#records.size > MAX_RECORDS) {
      const [oldest] = this.#records.keys();
      this.#records.delete(oldest ?? "");
    }
    return true;
  }

  #clear(fingerprint: string): Suspicion | undefined {
    if (!this.#records.delete(fingerprint)) return undefined;
    return create(SuspicionSchema, { fingerprint, cleared: true });
  }

  /** Number of attributed failures at which a request counts as poison. */
  #getLimit(record: FailureRecord): number {
    if (this.#hasCorrelatedFailure(record)) return this.#maxCorrelatedFailures;
    return this.#hasEqual(record) ? MAX_FAILURES + 1 : MAX_FAILURES;
  }

  /** Failed servers at which no request with more failures was present. */
  #getAttributedFailures(record: FailureRecord): string[] {
    const more = [...this.#records.values()].filter(({ servers }) =>
      servers.size > record.servers.size
    );
    return [...record.servers.keys()].filter((server) =>
      !more.some(({ servers }) => servers.has(server))
    );
  }

  /** Whether another request was present at the same failures. */
  #hasEqual(record: FailureRecord): boolean {
    return [...this.#records.values()].some((other) =>
      other !== record && other.servers.size === record.servers.size &&
      [...record.servers.keys()].every((server) => other.servers.has(server))
    );
  }

  #hasCorrelatedFailure(record: FailureRecord): boolean {
    const times = [...record.servers.values()];
    return [...this.#records.values()].some((other) =>
      [...other.servers].some(([server, atMs]) =>
        !record.servers.has(server) &&
        times.some((time) => Math.abs(time - atMs) <= CORRELATED_FAILURE_MS)
      )
    );
  }
}
