/**
 * Requests that were in flight when a backend server failed, and so may have
 * caused the failure. For each request's fingerprint a set of failed servers is
 * kept, so that updates of several entries can be merged in any order.
 */
import { create } from "@bufbuild/protobuf";
import { type Suspicion, SuspicionSchema } from "../schema/mod.ts";

/** Number of failed servers at which a request is refused. */
export const MAX_FAILURES = 2;

/** Failures this close together may have a common cause, such as a rack. */
const CORRELATED_FAILURE_MS = 5_000;

/** Time for which a suspicion is kept, in milliseconds. */
const RETENTION_MS = 24 * 3_600_000;

interface FailureRecord {
  /** Servers that failed while running the request, by time of detection. */
  readonly servers: Map<string, number>;
  updatedMs: number;
}

/** Server failures by request fingerprint. */
export class Suspicions {
  readonly #records = new Map<string, FailureRecord>();

  /** Number of different servers that failed while running the request. */
  getServerFailureCount(fingerprint: string): number {
    return this.#records.get(fingerprint)?.servers.size ?? 0;
  }

  /**
   * Whether the request was in flight at too many server failures. If servers
   * that did not run it failed at about the same time, one more failure is
   * needed, since the request may not be the cause.
   */
  isPoisoned(fingerprint: string): boolean {
    const known = this.#records.get(fingerprint);
    if (known === undefined || known.servers.size < MAX_FAILURES) return false;
    return known.servers.size > MAX_FAILURES ||
      !this.#hasCorrelatedFailure(known);
  }

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
   * Clears a suspect request that finished, unless it is already refused.
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
