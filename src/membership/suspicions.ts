/**
 * Requests that were in flight when a backend server died. Deaths are kept as
 * a set of servers for each request's fingerprint, so that news from several
 * entries merges in any order.
 */
import { create } from "@bufbuild/protobuf";
import { type Suspicion, SuspicionSchema } from "../schema/mod.ts";

/** Deaths after which a request is refused. */
export const MAX_FAILURES = 2;

/** Deaths within this time of each other may have one cause, such as a rack. */
const CORRELATED_FAILURE_MS = 5_000;

/** Time for which a suspicion is kept, in milliseconds. */
const RETENTION_MS = 24 * 3_600_000;

interface FailureRecord {
  /** When each server that died under the request was noticed. */
  readonly servers: Map<string, number>;
  updatedMs: number;
}

/** Deaths by fingerprint. */
export class Suspicions {
  readonly #records = new Map<string, FailureRecord>();

  /** Different servers that died under the request. */
  getServerFailureCount(fingerprint: string): number {
    return this.#records.get(fingerprint)?.servers.size ?? 0;
  }

  /**
   * Whether the request has ended too many servers. Where servers that it did
   * not run on died at about the same time, one more death is needed: it may
   * have been beside whatever took them.
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

  /** Records a death; returns the news to spread. */
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

  /** A suspect finished; it is one no more. Returns the news to spread. */
  tryClear(fingerprint: string): Suspicion | undefined {
    if (this.isPoisoned(fingerprint)) return undefined;
    if (!this.#records.delete(fingerprint)) return undefined;
    return create(SuspicionSchema, { fingerprint, cleared: true });
  }

  /** Merges news of another entry. */
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

  /** All suspicions, for an entry that starts. */
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

  /** Forgets what is old. */
  removeExpired(nowMs: number): void {
    [...this.#records].filter(([, record]) =>
      nowMs - record.updatedMs > RETENTION_MS
    )
      .forEach(([fingerprint]) => this.#records.delete(fingerprint));
  }
}
