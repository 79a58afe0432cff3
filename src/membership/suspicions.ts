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
const SAME_CAUSE_MS = 5_000;

/** Time for which a suspicion is kept, in milliseconds. */
const KEEP_MS = 24 * 3_600_000;

interface Row {
  /** When each server that died under the request was noticed. */
  readonly servers: Map<string, number>;
  updatedMs: number;
}

/** Deaths by fingerprint. */
export class Suspicions {
  readonly #rows = new Map<string, Row>();

  /** Different servers that died under the request. */
  getServerFailureCount(fingerprint: string): number {
    return this.#rows.get(fingerprint)?.servers.size ?? 0;
  }

  /**
   * Whether the request has ended too many servers. Where servers that it did
   * not run on died at about the same time, one more death is needed: it may
   * have been beside whatever took them.
   */
  isPoisoned(fingerprint: string): boolean {
    const row = this.#rows.get(fingerprint);
    if (row === undefined || row.servers.size < MAX_FAILURES) return false;
    return row.servers.size > MAX_FAILURES || !this.#hasOtherDeath(row);
  }

  isSuspect(fingerprint: string): boolean {
    return this.#rows.has(fingerprint);
  }

  /** Records a death; returns the news to spread. */
  record(fingerprint: string, server: string, nowMs: number): Suspicion {
    const row = this.#rows.get(fingerprint) ??
      { servers: new Map<string, number>(), updatedMs: nowMs };
    if (!row.servers.has(server)) row.servers.set(server, nowMs);
    row.updatedMs = nowMs;
    this.#rows.set(fingerprint, row);
    return create(SuspicionSchema, {
      fingerprint,
      servers: [...row.servers.keys()],
    });
  }

  /** A suspect finished; it is one no more. Returns the news to spread. */
  tryClear(fingerprint: string): Suspicion | undefined {
    if (this.isPoisoned(fingerprint)) return undefined;
    if (!this.#rows.delete(fingerprint)) return undefined;
    return create(SuspicionSchema, { fingerprint, cleared: true });
  }

  /** Merges news of another entry. */
  merge(news: Suspicion, nowMs: number): void {
    if (news.cleared) {
      if (!this.isPoisoned(news.fingerprint)) {
        this.#rows.delete(news.fingerprint);
      }
      return;
    }
    news.servers.forEach((server) =>
      this.record(news.fingerprint, server, nowMs)
    );
  }

  /** All suspicions, for an entry that starts. */
  getAll(): Suspicion[] {
    return [...this.#rows].map(([fingerprint, row]) =>
      create(SuspicionSchema, { fingerprint, servers: [...row.servers.keys()] })
    );
  }

  #hasOtherDeath(row: Row): boolean {
    const times = [...row.servers.values()];
    return [...this.#rows.values()].some((other) =>
      [...other.servers].some(([server, atMs]) =>
        !row.servers.has(server) &&
        times.some((time) => Math.abs(time - atMs) <= SAME_CAUSE_MS)
      )
    );
  }

  /** Forgets what is old. */
  removeExpired(nowMs: number): void {
    [...this.#rows].filter(([, row]) => nowMs - row.updatedMs > KEEP_MS)
      .forEach(([fingerprint]) => this.#rows.delete(fingerprint));
  }
}
