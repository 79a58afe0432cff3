/**
 * Requests under way at each backend server, as one process knows them: its
 * own exactly, those of others by their reports, and all of them by what the
 * server itself said last. Each source is late in its own way, so the largest
 * of them counts.
 */
import type { LoadReport, ServerLoad } from "../schema/mod.ts";

/** Whose request it is. */
export const LoadKind = { online: "online", batch: "batch" } as const;

/** One of {@linkcode LoadKind}. */
export type LoadKind = typeof LoadKind[keyof typeof LoadKind];

/** Requests under way by kind. */
export interface LoadCount {
  readonly online: number;
  readonly batch: number;
}

interface StoredReport {
  /** Whose counts they are. */
  readonly source: string;
  /** Process that sent them. */
  readonly sender: string;
  readonly sequence: bigint;
  readonly atMs: number;
  readonly counts: ReadonlyMap<string, LoadCount>;
}

interface ServerObservation {
  readonly atMs: number;
  /** Running and waiting there when it answered. */
  readonly total: number;
  /** Own requests there at that time. */
  readonly own: number;
}

/** Age from which a report says nothing any more: four of its intervals. */
const REPORT_TTL_MS = 2_000;

/**
 * Age from which a server's own word says less than reports do: three
 * exchanges of loads.
 */
const OBSERVATION_TTL_MS = 300;

/** Time for which sums hold when no report comes, in milliseconds. */
const SUMS_TTL_MS = 50;

/** Key of the merged report; no process has an empty name. */
const MERGED_SOURCE = "";

const NO_LOAD: LoadCount = { online: 0, batch: 0 };

/** The book of one process. */
export class LoadTracker {
  readonly #own = new Map<string, LoadCount>();
  readonly #reports = new Map<string, StoredReport>();
  readonly #observations = new Map<string, ServerObservation>();
  #sums:
    | { readonly atMs: number; readonly counts: ReadonlyMap<string, LoadCount> }
    | undefined;

  /** A request of this process begins at a server. */
  begin(server: string, kind: LoadKind): void {
    this.#adjustOwn(server, kind, 1);
  }

  /** It has ended. */
  end(server: string, kind: LoadKind): void {
    this.#adjustOwn(server, kind, -1);
  }

  getOwn(server: string): LoadCount {
    return this.#own.get(server) ?? NO_LOAD;
  }

  /** Own counts of all servers that have any. */
  getAllOwn(): ReadonlyMap<string, LoadCount> {
    return this.#own;
  }

  /**
   * Takes a report; false when it is older than one that is known. Merged
   * reports hold the same from whichever process, so the newest replaces all.
   */
  acceptReport(report: LoadReport, nowMs: number): boolean {
    const source = report.merged ? MERGED_SOURCE : report.sender;
    const key = `${source}/${report.part}`;
    const known = this.#reports.get(key);
    const isOld = known?.sender === report.sender &&
      known.sequence >= report.sequence &&
      nowMs - known.atMs < REPORT_TTL_MS;
    if (isOld) return false;
    this.#removeStaleParts(source, Math.max(1, report.parts));
    this.#sums = undefined;
    this.#reports.set(key, {
      source,
      sender: report.sender,
      sequence: report.sequence,
      atMs: nowMs,
      counts: new Map(
        report.loads.map(({ server, online, batch }) =>
          [server, { online, batch }] as const
        ),
      ),
    });
    return true;
  }

  /** What a server said of itself with an answer. */
  observe(server: string, total: number, nowMs: number): void {
    const own = this.getOwn(server);
    this.#observations.set(server, {
      atMs: nowMs,
      total,
      own: own.online + own.batch,
    });
  }

  /** Counts of all others together. */
  getOthers(server: string, nowMs: number): LoadCount {
    return this.#getSums(nowMs).get(server) ?? NO_LOAD;
  }

  /** Requests that are at a server, or on their way, from everybody. */
  getBusy(server: string, nowMs: number): number {
    const own = this.getOwn(server);
    const ownTotal = own.online + own.batch;
    const others = this.getOthers(server, nowMs);
    const known = ownTotal + others.online + others.batch;
    const observed = this.#observations.get(server);
    const isFresh = observed !== undefined &&
      nowMs - observed.atMs < OBSERVATION_TTL_MS;
    return isFresh
      ? Math.max(known, observed.total + ownTotal - observed.own)
      : known;
  }

  /** Requests of jobs at a server, from everybody. */
  getBatch(server: string, nowMs: number): number {
    return this.getOwn(server).batch + this.getOthers(server, nowMs).batch;
  }

  /** Own and others' counts of every server, without those of one source. */
  getMerged(nowMs: number, except: string): ServerLoad[] {
    const sums = this.#getSums(nowMs);
    const excludedCounts = new Map<string, LoadCount>();
    this.#getValidParts(except, nowMs).forEach((report) =>
      addCounts(excludedCounts, report.counts)
    );
    return [...new Set([...this.#own.keys(), ...sums.keys()])].map((server) => {
      const own = this.getOwn(server);
      const others = sums.get(server) ?? NO_LOAD;
      const excluded = excludedCounts.get(server) ?? NO_LOAD;
      return {
        $typeName: "papayatally.v1.ServerLoad" as const,
        server,
        online: own.online + others.online - excluded.online,
        batch: own.batch + others.batch - excluded.batch,
      };
    }).filter((load) => load.online + load.batch > 0);
  }

  /** Valid parts of one source's report. */
  #getValidParts(source: string, nowMs: number): StoredReport[] {
    const parts: StoredReport[] = [];
    for (let part = 0;; part += 1) {
      const report = this.#reports.get(`${source}/${part}`);
      if (report === undefined) return parts;
      if (nowMs - report.atMs < REPORT_TTL_MS) parts.push(report);
    }
  }

  #getValidReports(nowMs: number): StoredReport[] {
    return [...this.#reports.values()].filter((report) =>
      nowMs - report.atMs < REPORT_TTL_MS
    );
  }

  /** Sums over all reports, added up once for many questions. */
  #getSums(nowMs: number): ReadonlyMap<string, LoadCount> {
    const known = this.#sums;
    if (known !== undefined && nowMs - known.atMs < SUMS_TTL_MS) {
      return known.counts;
    }
    const counts = new Map<string, LoadCount>();
    this.#getValidReports(nowMs).forEach((report) =>
      addCounts(counts, report.counts)
    );
    this.#sums = { atMs: nowMs, counts };
    return counts;
  }

  /** Parts that a source has no more would count their servers twice. */
  #removeStaleParts(source: string, parts: number): void {
    this.#reports.forEach((report, key) => {
      const part = Number(key.slice(key.lastIndexOf("/") + 1));
      if (report.source === source && part >= parts) this.#reports.delete(key);
    });
  }

  #adjustOwn(server: string, kind: LoadKind, delta: number): void {
    const own = this.getOwn(server);
    const changed = { ...own, [kind]: own[kind] + delta };
    if (changed.online + changed.batch === 0) this.#own.delete(server);
    else this.#own.set(server, changed);
  }
}

function addCounts(
  sums: Map<string, LoadCount>,
  counts: ReadonlyMap<string, LoadCount>,
): void {
  counts.forEach((count, server) =>
    sums.set(server, sumLoadCounts(sums.get(server) ?? NO_LOAD, count))
  );
}

function sumLoadCounts(a: LoadCount, b: LoadCount): LoadCount {
  return { online: a.online + b.online, batch: a.batch + b.batch };
}
