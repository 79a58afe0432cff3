/**
 * The load reports that a process sent last to each other process. They tell which
 * ones have to be sent now: those whose content has changed, and the others at longer
 * intervals. Lists of loads are compared by identity first, so a report whose loads
 * have not changed costs nothing.
 */
import type { ServerLoad } from "../schema/mod.ts";

/** Loads at a time. */
export interface TimedLoads {
  readonly loads: readonly ServerLoad[];
  /** Time to which the ages of slowdowns refer, in monotonic milliseconds. */
  readonly atMs: number;
}

/** A report as it was last sent to one process. */
export interface SentReport {
  /** Loads, with the ages of slowdowns at the time of sending. */
  readonly loads: readonly ServerLoad[];
  /**
   * Revision of the loads that it was made of; undefined if they contain a
   * slowdown, so that they have to be read anew.
   */
  readonly revision: number | undefined;
  readonly wantsAnswer: boolean;
  readonly acceptsRelayed: boolean;
  /** Whether the recipient asked for it. */
  readonly isAnswer: boolean;
  readonly sentMs: number;
  /** Times that it was sent again with the same content. */
  readonly repeats: number;
}

/**
 * Interval between reports with the same content, in milliseconds. A process selects
 * another merger if it has no answer for 450 ms, and mergers forget a gateway that
 * accepts requests of others after 700 ms.
 */
const UNCHANGED_REPORT_INTERVAL_MS = 300;

/**
 * Repetitions after which a report with the same content is sent less often if
 * nothing but its loads depends on it. Until then, it repairs losses.
 */
const MAX_FREQUENT_REPEATS = 3;

/**
 * Interval between such reports, in milliseconds: a merger forgets a report after 2 s
 * and may lose one.
 */
const STEADY_REPORT_INTERVAL_MS = 900;

/**
 * Time between two equal slowdowns of a server that count as one figure, in
 * milliseconds. The first would expire ten such intervals after it was stated.
 */
const MIN_FIGURE_INTERVAL_MS = 50;

/** Reports of one kind, by the process that they were sent to. */
export class SentReports {
  readonly #reports = new Map<string, SentReport>();

  get(to: string): SentReport | undefined {
    return this.#reports.get(to);
  }

  delete(to: string): void {
    this.#reports.delete(to);
  }

  /** Removes the reports to all other processes. */
  retainOnly(recipients: readonly string[]): void {
    if (this.#reports.size <= recipients.length) return;
    const known = new Set(recipients);
    [...this.#reports.keys()].filter((to) => !known.has(to))
      .forEach((to) => this.#reports.delete(to));
  }

  /** Records a report as sent, and returns true, if it has to be sent now. */
  recordIfDue(to: string, report: Omit<SentReport, "repeats">): boolean {
    const sent = this.#reports.get(to);
    const isRepeat = sent !== undefined &&
      sent.wantsAnswer === report.wantsAnswer &&
      sent.acceptsRelayed === report.acceptsRelayed &&
      areEqualLoads(
        { loads: sent.loads, atMs: sent.sentMs },
        { loads: report.loads, atMs: report.sentMs },
      );
    if (isRepeat && report.sentMs - sent.sentMs < getIntervalMs(sent)) {
      const { revision } = report;
      if (sent.revision !== revision) {
        this.#reports.set(to, { ...sent, revision });
      }
      return false;
    }
    this.#reports.set(to, {
      ...report,
      repeats: isRepeat ? sent.repeats + 1 : 0,
    });
    return true;
  }
}

/** Time after which a report is sent again with the same content. */
function getIntervalMs(sent: SentReport): number {
  const isSteady = !sent.wantsAnswer && !sent.acceptsRelayed &&
    !sent.isAnswer && sent.repeats >= MAX_FREQUENT_REPEATS;
  return isSteady ? STEADY_REPORT_INTERVAL_MS : UNCHANGED_REPORT_INTERVAL_MS;
}

/**
 * Whether the same servers have the same loads, in any order. Slowdowns are compared
 * by the time when they were stated, since the age of one changes all the time.
 */
export function areEqualLoads(a: TimedLoads, b: TimedLoads): boolean {
  if (a.loads === b.loads) return true;
  if (a.loads.length !== b.loads.length) return false;
  const byServer = new Map(a.loads.map((load) => [load.server, load]));
  return b.loads.every((load) => {
    const other = byServer.get(load.server);
    return other?.online === load.online && other.batch === load.batch &&
      other.slowdownPercent === load.slowdownPercent &&
      (load.slowdownPercent === undefined ||
        Math.abs(getStatedMs(load, b.atMs) - getStatedMs(other, a.atMs)) <
          MIN_FIGURE_INTERVAL_MS);
  });
}

/** Time when a server stated its slowdown, in monotonic milliseconds. */
function getStatedMs({ slowdownAgeMs = 0 }: ServerLoad, atMs: number): number {
  return atMs - slowdownAgeMs;
}
