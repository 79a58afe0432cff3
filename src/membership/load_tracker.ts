/**
 * Requests in flight at each backend server, as known to one process. Its own
 * requests are counted exactly, those of other processes come from their load
 * reports, and a server returns its total with each response. Reports and
 * totals are both delayed, by different amounts, so the larger estimate is
 * used.
 *
 * A large report is sent in parts, each of which covers some of the servers. The
 * sums over all reports are kept up to date by the difference that each part makes,
 * because summing up the reports of a large fleet again after each one takes most of
 * the time of a process that receives them all.
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

/** Source name of merged reports; no process has an empty name. */
const MERGED_SOURCE = "";

const NO_LOAD: LoadCount = { online: 0, batch: 0 };

const NO_COUNTS: ReadonlyMap<string, LoadCount> = new Map();

/** Tracks the load of all servers for one process. */
export class LoadTracker {
  /** Speeds of the servers; their slowdowns travel with the load reports. */
  readonly speeds = new ServerSpeeds();
  readonly #own = new Map<string, LoadCount>();
  /** Parts of the reports of each source, by number. */
  readonly #reports = new Map<string, Map<number, StoredReport>>();
  readonly #observations = new Map<string, ServerObservation>();
  #newestReportMs = -Infinity;
  /** Sums over all stored reports; changed by the difference of each report. */
  readonly #sums = new Map<string, LoadCount>();
  /** No stored report expires earlier, in monotonic milliseconds. */
  #nextExpiryMs = Infinity;
  #ownRevision = 0;
  #othersRevision = 0;

  /**
   * Revision of the own loads; changes whenever they do. Undefined while they
   * contain a slowdown, whose age changes all the time.
   */
  getOwnRevision(nowMs: number): number | undefined {
    return this.speeds.getReportable(nowMs, false).size > 0
      ? undefined
      : this.#ownRevision;
  }

  /** Revision of the merged loads, like {@linkcode LoadTracker.getOwnRevision}. */
  getRevision(nowMs: number): number | undefined {
    this.#removeExpired(nowMs);
    return this.speeds.getReportable(nowMs, true).size > 0
      ? undefined
      : this.#ownRevision + this.#othersRevision;
  }

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
    const parts = this.#reports.get(source) ?? new Map<number, StoredReport>();
    const known = parts.get(report.part);
    const isOld = known?.sender === report.sender &&
      known.sequence >= report.sequence &&
      nowMs - known.atMs < REPORT_TTL_MS;
    if (isOld) return false;
    this.#removeStaleParts(parts, Math.max(1, report.parts));
    this.speeds.acceptReported(report.loads, nowMs);
    this.#newestReportMs = nowMs;
    const counts = new Map(
      report.loads.map(({ server, online, batch }) =>
        [server, { online, batch }] as const
      ),
    );
    const previous = parts.get(report.part)?.counts ?? NO_COUNTS;
    if (!areEqual(previous, counts)) {
      this.#othersRevision += 1;
      this.#add(previous, -1);
      this.#add(counts, 1);
    }
    const { sender, sequence } = report;
    parts.set(report.part, { sender, sequence, atMs: nowMs, counts });
    this.#reports.set(source, parts);
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, nowMs + REPORT_TTL_MS);
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
    this.#removeExpired(nowMs);
    return this.#sums.get(server) ?? NO_LOAD;
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
    this.#removeExpired(nowMs);
    const sums = this.#sums;
    const excludedParts = [
      ...this.#reports.get(excludedSource)?.values() ?? [],
    ];
    const slowdowns = this.speeds.getReportable(nowMs, true);
    const servers = new Set([
      ...this.#own.keys(),
      ...sums.keys(),
      ...slowdowns.keys(),
    ]);
    return [...servers].map((server) => {
      const own = this.getOwn(server);
      const others = sums.get(server) ?? NO_LOAD;
      const excluded = excludedParts.reduce(
        (sum, { counts }) => sumLoadCounts(sum, counts.get(server) ?? NO_LOAD),
        NO_LOAD,
      );
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

  /** Removes the reports that have expired, if any can have. */
  #removeExpired(nowMs: number): void {
    if (nowMs < this.#nextExpiryMs) return;
    this.#nextExpiryMs = Infinity;
    this.#reports.forEach((parts, source) => {
      parts.forEach((report, part) => {
        const expiryMs = report.atMs + REPORT_TTL_MS;
        if (nowMs >= expiryMs) this.#removePart(parts, part, report);
        else this.#nextExpiryMs = Math.min(this.#nextExpiryMs, expiryMs);
      });
      if (parts.size === 0) this.#reports.delete(source);
    });
  }

  /**
   * Removes parts beyond the current number of parts of a source. Their servers
   * moved to other parts and would be counted twice.
   */
  #removeStaleParts(parts: Map<number, StoredReport>, count: number): void {
    parts.forEach((report, part) => {
      if (part >= count) this.#removePart(parts, part, report);
    });
  }

  #removePart(
    parts: Map<number, StoredReport>,
    part: number,
    { counts }: StoredReport,
  ): void {
    parts.delete(part);
    if (counts.size === 0) return;
    this.#othersRevision += 1;
    this.#add(counts, -1);
  }

  /** Adds counts to the sums, or subtracts them if `sign` is -1. */
  #add(counts: ReadonlyMap<string, LoadCount>, sign: 1 | -1): void {
    counts.forEach(({ online, batch }, server) => {
      const sum = this.#sums.get(server) ?? NO_LOAD;
      const changed = {
        online: sum.online + sign * online,
        batch: sum.batch + sign * batch,
      };
      if (changed.online === 0 && changed.batch === 0) {
        this.#sums.delete(server);
      } else this.#sums.set(server, changed);
    });
  }

  #adjustOwn(server: string, kind: LoadKind, delta: number): void {
    this.#ownRevision += 1;
    const own = this.getOwn(server);
    const changed = { ...own, [kind]: own[kind] + delta };
    if (changed.online + changed.batch === 0) this.#own.delete(server);
    else this.#own.set(server, changed);
  }
}

function areEqual(
  a: ReadonlyMap<string, LoadCount>,
  b: ReadonlyMap<string, LoadCount>,
): boolean {
  return a.size === b.size && [...a].every(([server, count]) => {
    const other = b.get(server);
    return other?.online === count.online && other.batch === count.batch;
  });
}

/** Keeps a sum of counts of other processes within what a report can hold. */
function clampCount(count: number): number {
  return Math.min(MAX_UINT32, Math.max(0, count));
}

function sumLoadCounts(a: LoadCount, b: LoadCount): LoadCount {
  return { online: a.online + b.online, batch: a.batch + b.batch };
}
