/**
 * Exchanges the loads of backend servers between processes over UDP. Every
 * gateway and every process that runs job items reports its own in-flight
 * requests to all members of the store group. One of these members, selected by
 * each gateway, replies with the merged load of all other processes; if it stops
 * replying, the gateway selects another, so the exchange doesn't depend on the
 * group's leader. A lost report is superseded by the next one. Without reports,
 * a process uses its own counts and the loads that servers report themselves.
 *
 * The origins of streams go to all mergers too, as parts of a report beyond its last
 * one: at once, before the caller gets the first event, since the stream may have to
 * go on elsewhere from then on, and once more with the next report, within it if both
 * are small.
 */
import {
  create,
  fromBinary,
  type MessageInitShape,
  toBinary,
} from "@bufbuild/protobuf";
import {
  type GatewayState,
  type LoadTracker,
  MergerSelector,
} from "../membership/mod.ts";
import {
  type LoadReport,
  LoadReportSchema,
  type ServerLoad,
  type StreamOrigin,
} from "../schema/mod.ts";
import type { Clock, Timer } from "../sys/clock.ts";
import { type DatagramSocket, openDatagramSocket } from "../sys/datagrams.ts";
import { getReason } from "../sys/errors.ts";
import { openPort } from "../sys/listening.ts";
import type { Log } from "../sys/log.ts";
import { countParts, splitLoads } from "./load_report_parts.ts";
import { areEqualLoads, SentReports, type TimedLoads } from "./sent_reports.ts";

export { splitLoads };

/** Options of a {@linkcode LoadExchange}. */
export interface LoadExchangeOptions {
  readonly name: string;
  /** Address at which other processes reach this one. */
  readonly address: string;
  readonly bindAddress: string;
  readonly loads: LoadTracker;
  /** Returns the addresses of the processes that merge reports. */
  readonly getMergers: () => readonly string[];
  /** Whether a merger is in the own data centre; all are by default. */
  readonly isLocalMerger?: (address: string) => boolean;
  /** Whether this process merges the reports of the other processes. */
  readonly isMerger: boolean;
  readonly onReport: () => void;
  /** Called with the origins of streams that other processes report. */
  readonly onOrigins: (origins: readonly StreamOrigin[]) => void;
  readonly dataCentre: string;
  /** Called on mergers with what a report says of the gateway that sent it. */
  readonly onGateway: (gateway: GatewayState) => void;
  /** Whether this process serves requests of gateways that reach no server. */
  readonly acceptsRelayed: () => boolean;
  /** Whether this process reaches no server, so that its requests occupy none. */
  readonly isCutOff: () => boolean;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Interval between reports whose content has changed, in milliseconds: a tenth
 * of the time in which a burst of the scale benchmark fills all slots.
 */
const REPORT_INTERVAL_MS = 80;

/**
 * Minimum time between two reports when a request queues at a full server, in
 * milliseconds. Job items that run on that server are preempted only when the
 * process that runs them has received the report.
 */
const MIN_REPORT_INTERVAL_MS = 10;

/**
 * Time without a report after which a reporter is removed, in milliseconds:
 * more than two intervals of unchanged reports.
 */
const REPORTER_TIMEOUT_MS = 700;

/**
 * Number of origins in a datagram. Each takes about 40 bytes if the ids of callers'
 * requests are of usual length.
 */
const ORIGINS_PER_DATAGRAM = 16;

/**
 * Number of origins, and of servers, up to which origins are repeated within the report
 * of the loads, so that they need no datagram of their own.
 */
const MAX_ORIGINS_WITH_LOADS = 8;
const MAX_SERVERS_WITH_ORIGINS = 16;

/** Origins that wait to be repeated; the oldest are dropped. */
const MAX_REPEATED_ORIGINS = 1_024;

/** Sends and receives the load reports of one process. */
export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #mergerSelector: MergerSelector;
  readonly #reporters = new Map<string, { name: string; receivedMs: number }>();
  /** Own reports as last sent, by merger. */
  readonly #sentOwn = new SentReports();
  /** Merged reports as last sent, by reporter. */
  readonly #sentMerged = new SentReports();
  /** Own loads; the same list as long as they are equal and have no slowdowns. */
  #ownLoads: TimedLoads & { readonly revision: number | undefined } = {
    loads: [],
    atMs: 0,
    revision: 0,
  };
  #socket: DatagramSocket | undefined;
  #reportTimer: Timer | undefined;
  /** Origins that have been sent once. */
  #repeatedOrigins: StreamOrigin[] = [];
  /** Mergers that are asked for answers: one, or two while it changes. */
  #askedMergers: ReadonlySet<string> = new Set();
  /** Number of parts of the last report. */
  #partCount = 1;
  #sequence = 0n;
  #lastReportMs = -Infinity;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    this.#mergerSelector = new MergerSelector({
      name: options.name,
      isLocal: options.isLocalMerger,
    });
  }

  async start(): Promise<void> {
    const { clock, log, bindAddress } = this.#options;
    // Starting from the wall clock makes the sequence numbers greater than those
    // that this process used before a restart.
    this.#sequence = BigInt(Math.floor(clock.getWallMs()));
    this.#socket = await openPort(
      () =>
        openDatagramSocket(
          bindAddress,
          (bytes, from) => this.#receive(bytes, from),
        ),
      { clock, log },
    );
    this.#reportTimer = clock.startInterval(
      REPORT_INTERVAL_MS,
      () => this.#sendReports(),
    );
  }

  close(): void {
    this.#reportTimer?.cancel();
    this.#socket?.close();
  }

  /**
   * Sends reports without waiting for the next interval, unless the last ones
   * were sent less than the minimum interval ago.
   */
  tryReportNow(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const isDue = nowMs - this.#lastReportMs >= MIN_REPORT_INTERVAL_MS;
    if (isDue) this.#sendReports();
  }

  /** Sends an origin to all mergers, now and with the next report. */
  reportOrigin(origin: StreamOrigin): void {
    this.#sendOrigins([origin]);
    this.#repeatedOrigins.push(origin);
    if (this.#repeatedOrigins.length > MAX_REPEATED_ORIGINS) {
      this.#repeatedOrigins.shift();
    }
  }

  /** Repeats origins without waiting for the next report. */
  repeatOrigins(): void {
    if (this.#options.getMergers().length === 0) return;
    this.#sendOrigins(this.#repeatedOrigins.splice(0));
  }

  #receive(bytes: Uint8Array, from: string): void {
    const { clock, log, loads } = this.#options;
    const nowMs = clock.getMonotonicMs();
    let report: LoadReport;
    try {
      report = fromBinary(LoadReportSchema, bytes);
    } catch (error) {
      log.warn("load_report_unreadable", { from, reason: getReason(error) });
      return;
    }
    // Mergers accept only unmerged reports: a merged one contains loads that they
    // also receive directly, which would be counted twice. Other processes accept
    // only merged reports.
    if (report.merged === this.#options.isMerger) return;
    if (report.origins.length > 0) this.#options.onOrigins(report.origins);
    if (report.part > 0 && report.part >= report.parts) return;
    if (report.merged) this.#mergerSelector.recordAnswer(from, nowMs);
    else this.#updateReporter(report, from, nowMs);
    if (loads.acceptReport(report, nowMs)) this.#options.onReport();
  }

  #updateReporter(report: LoadReport, from: string, nowMs: number): void {
    const { sender: name, acceptsRelayed, dataCentre } = report;
    this.#options.onGateway({
      name,
      address: from,
      dataCentre,
      acceptsRelayed,
    });
    if (report.wantsAnswer) {
      this.#reporters.set(from, { name: report.sender, receivedMs: nowMs });
    } else if (this.#reporters.delete(from)) {
      this.#sentMerged.delete(from);
    }
  }

  #sendReports(): void {
    const { clock, getMergers, isMerger } = this.#options;
    const nowMs = clock.getMonotonicMs();
    this.#lastReportMs = nowMs;
    const mergers = getMergers();
    this.#updateOwnLoads(nowMs);
    this.#partCount = countParts(this.#ownLoads.loads.length);
    const selector = this.#mergerSelector;
    this.#askedMergers = new Set(
      isMerger ? [] : [
        selector.select(mergers, nowMs),
        selector.selectCandidate(mergers, nowMs),
      ],
    );
    const origins = this.#takeFewOrigins(mergers);
    const informed = this.#sendOwnReports(mergers, origins, nowMs);
    const others = mergers.filter((merger) => !informed.has(merger));
    this.#sendOrigins(origins, others);
    this.repeatOrigins();
    if (isMerger) this.#sendMergedReports(nowMs);
  }

  /** Takes the origins to repeat if they fit into the report of the own loads. */
  #takeFewOrigins(mergers: readonly string[]): readonly StreamOrigin[] {
    const isFew = this.#repeatedOrigins.length <= MAX_ORIGINS_WITH_LOADS &&
      this.#ownLoads.loads.length <= MAX_SERVERS_WITH_ORIGINS;
    return isFew && mergers.length > 0 ? this.#repeatedOrigins.splice(0) : [];
  }

  /**
   * Sends the own loads, with `origins`, to the mergers whose last report differs or
   * is old; returns those.
   */
  #sendOwnReports(
    mergers: readonly string[],
    origins: readonly StreamOrigin[],
    nowMs: number,
  ): ReadonlySet<string> {
    const { address } = this.#options;
    const { loads, revision } = this.#ownLoads;
    const acceptsRelayed = this.#options.acceptsRelayed();
    const recipients = mergers.filter((merger) => merger !== address);
    const informed = [true, false].flatMap((wantsAnswer) => {
      const due = recipients.filter((merger) => {
        const isAsked = this.#askedMergers.has(merger);
        return isAsked === wantsAnswer && this.#sentOwn.recordIfDue(merger, {
          loads,
          revision,
          wantsAnswer,
          acceptsRelayed,
          isAnswer: false,
          sentMs: nowMs,
        });
      });
      if (due.length > 0) {
        this.#sendParts(due, loads, {
          merged: false,
          wantsAnswer,
          origins: [...origins],
        });
      }
      return due;
    });
    this.#sentOwn.retainOnly(recipients);
    return new Set(informed);
  }

  /** Reads the own loads anew if they, or the ages in them, may have changed. */
  #updateOwnLoads(nowMs: number): void {
    const { loads: tracker, isCutOff } = this.#options;
    const known = this.#ownLoads;
    // No revision is negative, so the loads are read anew after a change.
    const revision = isCutOff() ? -1 : tracker.getOwnRevision(nowMs);
    if (revision !== undefined && revision === known.revision) return;
    const loads = revision === -1 ? [] : tracker.getOwnLoads(nowMs);
    const own = { loads, atMs: nowMs };
    const isSame = revision !== undefined && areEqualLoads(own, known);
    this.#ownLoads = { ...(isSame ? known : own), revision };
  }

  /** Sends origins as parts beyond the last one, which hold no loads. */
  #sendOrigins(
    origins: readonly StreamOrigin[],
    mergers = this.#options.getMergers(),
  ): void {
    const parts = this.#partCount;
    const asked = mergers.filter((merger) => this.#askedMergers.has(merger));
    const others = mergers.filter((merger) => !this.#askedMergers.has(merger));
    for (let sent = 0; sent < origins.length; sent += ORIGINS_PER_DATAGRAM) {
      [asked, others].forEach((recipients) =>
        this.#sendReport(recipients, {
          merged: false,
          wantsAnswer: recipients === asked,
          // Builds that go by the loads of this part as well find none.
          part: parts,
          parts,
          origins: origins.slice(sent, sent + ORIGINS_PER_DATAGRAM),
        })
      );
    }
  }

  #sendMergedReports(nowMs: number): void {
    const { loads: tracker } = this.#options;
    const acceptsRelayed = this.#options.acceptsRelayed();
    const revision = tracker.getRevision(nowMs);
    this.#reporters.forEach(({ name, receivedMs }, address) => {
      if (nowMs - receivedMs > REPORTER_TIMEOUT_MS) {
        this.#reporters.delete(address);
        this.#sentMerged.delete(address);
        return;
      }
      const sent = this.#sentMerged.get(address);
      const isDue = this.#sentMerged.recordIfDue(address, {
        loads: revision !== undefined && sent?.revision === revision
          ? sent.loads
          : tracker.getMerged(nowMs, name),
        revision,
        wantsAnswer: false,
        acceptsRelayed,
        isAnswer: true,
        sentMs: nowMs,
      });
      if (!isDue) return;
      const sentLoads = this.#sentMerged.get(address)?.loads ?? [];
      this.#sendParts([address], sentLoads, {
        merged: true,
        wantsAnswer: false,
      });
    });
  }

  /** Sends loads in as many datagrams as they need; each is encoded once. */
  #sendParts(
    recipients: readonly string[],
    allLoads: readonly ServerLoad[],
    kind: { merged: boolean; wantsAnswer: boolean; origins?: StreamOrigin[] },
  ): void {
    splitLoads(allLoads).forEach((loads, part, { length: parts }) =>
      this.#sendReport(recipients, { ...kind, loads, part, parts })
    );
  }

  #sendReport(
    recipients: readonly string[],
    values: MessageInitShape<typeof LoadReportSchema>,
  ): void {
    if (recipients.length === 0) return;
    const acceptsRelayed = this.#options.acceptsRelayed();
    this.#sequence += 1n;
    const report = create(LoadReportSchema, {
      ...values,
      sender: this.#options.name,
      sequence: this.#sequence,
      acceptsRelayed,
      dataCentre: acceptsRelayed ? this.#options.dataCentre : "",
    });
    const bytes = toBinary(LoadReportSchema, report);
    recipients.forEach((to) => this.#socket?.send(bytes, to));
  }
}
