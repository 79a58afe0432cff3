/**
 * Requests in flight at each backend server, as known to one process. Its own
 * requests are counted exactly, those of other processes come from their load
 * reports, and a server returns its total with each response. Reports and
 * totals are both delayed, by different amounts, so the larger estimate is
 * used.
 *
 * A large report is sent in parts, each of which covers some of the servers.
 */
import type { LoadReport, ServerLoad } from "../schema/mod.ts";
import { MAX_UINT32 } from "./ages.ts";
import { ServerSpeeds } from "./server_speed.ts";

/** Whether a request is an online request or belongs to a batch job. */
export const LoadKind = { online: "online", batch: "batch" } as const;

/** One of {@linkcode LoadKind}. */
export type LoadKind = typeof LoadKind[keyof typeof LoadKind];

/** Requests in flight by kind. */
export interface LoadCount {
  readonly online: number;
  readonly batch: number;
}

interface StoredReport {
  /** Process that the counts belong to, or {@linkcode MERGED_SOURCE}. */
  readonly source: string;
  /** Process that sent the report. */
  readonly sender: string;
  readonly sequence: bigint;
  readonly atMs: number;
  readonly counts: ReadonlyMap<string, LoadCount>;
}

/** Total that a server returned with a response. */
interface ServerObservation {
  readonly atMs: number;
  /** Requests running and waiting at the server when it responded. */
  readonly total: number;
  /** Own requests in flight there when the total was received. */
  readonly own: number;
}

/** Age at which a report expires, in milliseconds: four report intervals. */
const REPORT_TTL_MS = 2_000;

/**
 * Age at which a total returned by a server expires, in milliseconds. After
 * three load exchanges the reports are more accurate.
 */
const OBSERVATION_TTL_MS = 300;

/** Time for which sums are cached if no report arrives, in milliseconds. */
const SUMS_TTL_MS = 50;

/** Source name of merged reports; no process has an empty name. */
const MERGED_SOURCE = "";

const NO_LOAD: LoadCount = { online: 0, batch: 0 };

/** Tracks the load of all servers for one process. */
export class LoadTracker {
  /** Speeds of the servers; their slowdowns travel with the load reports. */
  readonly speeds = new ServerSpeeds();
  readonly #own = new Map<string, LoadCount>();
  readonly #reports = new Map<string, StoredReport>();
  readonly #observations = new Map<string, ServerObservation>();
  #newestReportMs = -Infinity;
  #sums:
    | { readonly atMs: number; readonly counts: ReadonlyMap<string, LoadCount> }
    | undefined;

  /** Counts a request that this process starts at a server. */
  begin(server: string, kind: LoadKind): void {
    this.#adjustOwn(server, kind, 1);
  }

  /** Uncounts a request that ended. */
  end(server: string, kind: LoadKind): void {
    this.#adjustOwn(server, kind, -1);
  }

  getOwn(server: string): LoadCount {
    return this.#own.get(server) ?? NO_LOAD;
  }

  /**
   * Stores one part of a report; false if it is not newer than the stored part
   * of the same sender. Merged reports have the same content whichever process
   * sends them, so the newest one replaces those of all senders.
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
    this.speeds.acceptReported(report.loads, nowMs);
    this.#newestReportMs = nowMs;
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

  /** Age of the newest report, in milliseconds; infinite if there was none. */
  getReportAgeMs(nowMs: number): number {
    return nowMs - this.#newestReportMs;
  }

  /** Records the total that a server returned with a response. */
  recordServerTotal(server: string, total: number, nowMs: number): void {
    const own = this.getOwn(server);
    this.#observations.set(server, {
      atMs: nowMs,
      total,
      own: own.online + own.batch,
    });
  }

  /** Requests of all other processes at a server, from their reports. */
  getOthers(server: string, nowMs: number): LoadCount {
    return this.#getSums(nowMs).get(server) ?? NO_LOAD;
  }

  /** Requests of all processes at a server or on their way to it. */
  getBusyCount(server: string, nowMs: number): number {
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

  /** Batch requests of all processes at a server. */
  getBatchCount(server: string, nowMs: number): number {
    return this.getOwn(server).batch + this.getOthers(server, nowMs).batch;
  }

  /** Own counts, and slowdowns that servers stated here, for a report. */
  getOwnLoads(nowMs: number): ServerLoad[] {
    const slowdowns = this.speeds.getReportable(nowMs, false);
    return [...new Set([...this.#own.keys(), ...slowdowns.keys()])]
      .map((server) => ({
        $typeName: "papayatally.v1.ServerLoad" as const,
        server,
        ...this.getOwn(server),
        ...slowdowns.get(server),
      }));
  }

  /**
   * Counts of every server that has requests, minus those that
   * `excludedSource` reported: the answer to that process.
   */
  getMerged(nowMs: number, excludedSource: string): ServerLoad[] {
    const sums = this.#getSums(nowMs);
    const excludedCounts = new Map<string, LoadCount>();
    this.#getValidParts(excludedSource, nowMs).forEach((report) =>
      addCounts(excludedCounts, report.counts)
    );
    const slowdowns = this.speeds.getReportable(nowMs, true);
    const servers = new Set([
      ...this.#own.keys(),
      ...sums.keys(),
      ...slowdowns.keys(),
    ]);
    return [...servers].map((server) => {
      const own = this.getOwn(server);
      const others = sums.get(server) ?? NO_LOAD;
      const excluded = excludedCounts.get(server) ?? NO_LOAD;
      return {
        $typeName: "papayatally.v1.ServerLoad" as const,
        server,
        online: clampCount(own.online + others.online - excluded.online),
        batch: clampCount(own.batch + others.batch - excluded.batch),
        ...slowdowns.get(server),
      };
    }).filter((load) =>
      load.online + load.batch > 0 || slowdowns.has(load.server)
    );
  }

  /** Parts of one source's report that have not expired. */
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

  /** Sums over all valid reports, cached for repeated queries. */
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

  /**
   * Removes parts beyond the current number of parts of a source. Their servers
   * moved to other parts and would be counted twice.
   */
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

/** Keeps a sum of counts of other processes within what a report can hold. */
function clampCount(count: number): number {
  return Math.min(MAX_UINT32, Math.max(0, count));
}

function sumLoadCounts(a: LoadCount, b: LoadCount): LoadCount {
  return { online: a.online + b.online, batch: a.batch + b.batch };
}
