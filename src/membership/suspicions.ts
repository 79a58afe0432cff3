/**
 * Detects poison requests, which crash the backend server that runs them. A
 * request that was in flight when a server failed is suspect. The failed
 * servers are kept as a set for each request fingerprint, so that updates of
 * several entries can be merged in any order.
 */
import { create } from "@bufbuild/protobuf";
import { type Suspicion, SuspicionSchema } from "../schema/mod.ts";

/** Number of failed servers at which a request counts as poison. */
export const MAX_FAILURES = 2;

/**
 * Time between two failures, in milliseconds, up to which they may have a
 * common cause other than the request, such as the failure of a rack.
 */
const CORRELATED_FAILURE_MS = 5_000;

/** Time for which a record is kept after its last update, in milliseconds. */
const RETENTION_MS = 24 * 3_600_000;

interface FailureRecord {
  /** Detection times of the failures, by name of the failed server. */
  readonly servers: Map<string, number>;
  updatedMs: number;
}

/** Suspect requests as known to one entry, by fingerprint. */
export class Suspicions {
  readonly #records = new Map<string, FailureRecord>();

  /** Number of different servers that failed while running the request. */
  getServerFailureCount(fingerprint: string): number {
    return this.#records.get(fingerprint)?.servers.size ?? 0;
  }

  /**
   * Whether the request counts as poison, because too many servers failed while
   * running it. If other servers failed at about the same time, one more
   * failure is needed, since the request may not be the cause.
   */
  isPoisoned(fingerprint: string): boolean {
    const known = this.#records.get(fingerprint);
    if (known === undefined || known.servers.size < MAX_FAILURES) return false;
    return known.servers.size > MAX_FAILURES ||
      !this.#hasCorrelatedFailure(known);
  }

  /** Whether a server failed while running the request. */
  isSuspect(fingerprint: string): boolean {
    return this.#records.has(fingerprint);
  }

  /** Records a server failure; returns the update to send to other entries. */
  record(fingerprint: string, server: string, nowMs: number): Suspicion {
    const record = this.#records.get(fingerprint) ??
      { servers: new Map<string, number>(), updatedMs: nowMs };
    if (!record.servers.has(server)) record.servers.set(server, nowMs);
    record.updatedMs = nowMs;
    this.#records.set(fingerprint, record);
    return create(SuspicionSchema, {
      fingerprint,
      servers: [...record.servers.keys()],
    });
  }

  /**
   * Clears a suspect request that finished, unless it counts as poison already.
   * Returns the update to send to other entries.
   */
  tryClear(fingerprint: string): Suspicion | undefined {
    if (this.isPoisoned(fingerprint)) return undefined;
    if (!this.#records.delete(fingerprint)) return undefined;
    return create(SuspicionSchema, { fingerprint, cleared: true });
  }

  /** Merges an update of another entry. */
  merge(update: Suspicion, nowMs: number): void {
    if (update.cleared) {
      if (!this.isPoisoned(update.fingerprint)) {
        this.#records.delete(update.fingerprint);
      }
      return;
    }
    update.servers.forEach((server) =>
      this.record(update.fingerprint, server, nowMs)
    );
  }

  /** All suspicions, to send to an entry that starts. */
  getAll(): Suspicion[] {
    return [...this.#records].map(([fingerprint, record]) =>
      create(SuspicionSchema, {
        fingerprint,
        servers: [...record.servers.keys()],
      })
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

  /** Removes records that were not updated within the retention time. */
  removeExpired(nowMs: number): void {
    [...this.#records].filter(([, record]) =>
      nowMs - record.updatedMs > RETENTION_MS
    )
      .forEach(([fingerprint]) => this.#records.delete(fingerprint));
  }
}
