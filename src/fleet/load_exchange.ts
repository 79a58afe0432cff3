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
 * go on elsewhere from then on, and once more with the next report.
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
import { getPlacementHash } from "../sys/random.ts";

/** Options of a {@linkcode LoadExchange}. */
export interface LoadExchangeOptions {
  readonly name: string;
  /** Address at which other processes reach this one. */
  readonly address: string;
  readonly bindAddress: string;
  readonly loads: LoadTracker;
  /** Returns the addresses of the processes that merge reports. */
  readonly getMergers: () => readonly string[];
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

/** Interval between reports with the same content, in milliseconds. */
const UNCHANGED_REPORT_INTERVAL_MS = 300;

/**
 * Time between two equal slowdowns of a server that count as one figure, in
 * milliseconds. The first would expire ten such intervals after it was stated.
 */
const MIN_FIGURE_INTERVAL_MS = 50;

/**
 * Maximum average number of servers in a datagram. Each server takes about 25
 * bytes. Servers are distributed unevenly over the parts; the limit leaves room
 * for the largest part to stay below 1,472 bytes, the largest UDP payload that isn't
 * fragmented.
 */
const TARGET_SERVERS_PER_PART = 32;

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

/** Origins that wait to be repeated; the oldest are dropped. */
const MAX_REPEATED_ORIGINS = 1_024;

/** Sends and receives the load reports of one process. */
export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #mergerSelector: MergerSelector;
  readonly #reporters = new Map<string, { name: string; receivedMs: number }>();
  readonly #lastSent = new Map<string, { text: string; sentMs: number }>();
  #socket: DatagramSocket | undefined;
  #reportTimer: Timer | undefined;
  /** Origins that have been sent once. */
  #repeatedOrigins: StreamOrigin[] = [];
  #selectedMerger = "";
  /** Number of parts of the last report. */
  #partCount = 1;
  #sequence = 0n;
  #lastReportMs = -Infinity;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    this.#mergerSelector = new MergerSelector({ name: options.name });
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
      this.#lastSent.delete(`${from}/true`);
    }
  }

  #sendReports(): void {
    const { clock, loads, getMergers, isMerger, address, isCutOff } =
      this.#options;
    const nowMs = clock.getMonotonicMs();
    this.#lastReportMs = nowMs;
    const ownLoads = isCutOff() ? [] : loads.getOwnLoads(nowMs);
    this.#partCount = countParts(ownLoads.length);
    const mergers = getMergers();
    this.#selectedMerger = isMerger
      ? ""
      : this.#mergerSelector.select(mergers, nowMs);
    mergers.filter((merger) => merger !== address).forEach((merger) => {
      const wantsAnswer = merger === this.#selectedMerger;
      this.#send(
        merger,
        { loads: ownLoads, merged: false, wantsAnswer },
        nowMs,
      );
    });
    this.repeatOrigins();
    if (isMerger) this.#sendMergedReports(nowMs);
  }

  /** Sends origins as parts beyond the last one, which hold no loads. */
  #sendOrigins(origins: readonly StreamOrigin[]): void {
    const mergers = this.#options.getMergers();
    const parts = this.#partCount;
    for (let sent = 0; sent < origins.length; sent += ORIGINS_PER_DATAGRAM) {
      mergers.forEach((merger) =>
        this.#sendReport(merger, {
          merged: false,
          wantsAnswer: merger === this.#selectedMerger,
          // Builds that go by the loads of this part as well find none.
          part: parts,
          parts,
          origins: origins.slice(sent, sent + ORIGINS_PER_DATAGRAM),
        })
      );
    }
  }

  #sendMergedReports(nowMs: number): void {
    this.#reporters.forEach(({ name, receivedMs }, address) => {
      if (nowMs - receivedMs > REPORTER_TIMEOUT_MS) {
        this.#reporters.delete(address);
        this.#lastSent.delete(`${address}/true`);
        return;
      }
      const loads = this.#options.loads.getMerged(nowMs, name);
      const body = { loads, merged: true, wantsAnswer: false };
      this.#send(address, body, nowMs);
    });
  }

  /** Sends a report; skips it if an identical one was sent recently. */
  #send(
    to: string,
    body: {
      loads: ServerLoad[];
      merged: boolean;
      wantsAnswer: boolean;
    },
    nowMs: number,
  ): void {
    const rows = body.loads.map((load) =>
      `${load.server}:${load.online}:${load.batch}` +
      describeSlowdown(load, nowMs)
    );
    const acceptsRelayed = this.#options.acceptsRelayed();
    const text = [body.wantsAnswer, acceptsRelayed, ...rows].join();
    const key = `${to}/${body.merged}`;
    const sent = this.#lastSent.get(key);
    const isRepeat = sent?.text === text;
    if (isRepeat && nowMs - sent.sentMs < UNCHANGED_REPORT_INTERVAL_MS) return;
    this.#lastSent.set(key, { text, sentMs: nowMs });
    splitLoads(body.loads).forEach((loads, part, all) =>
      this.#sendReport(to, { ...body, loads, part, parts: all.length })
    );
  }

  #sendReport(
    to: string,
    values: MessageInitShape<typeof LoadReportSchema>,
  ): void {
    const acceptsRelayed = this.#options.acceptsRelayed();
    this.#sequence += 1n;
    const report = create(LoadReportSchema, {
      ...values,
      sender: this.#options.name,
      sequence: this.#sequence,
      acceptsRelayed,
      dataCentre: acceptsRelayed ? this.#options.dataCentre : "",
    });
    this.#socket?.send(toBinary(LoadReportSchema, report), to);
  }
}

/** Changes with each new figure, but not with the age of one. */
function describeSlowdown(
  { slowdownPercent, slowdownAgeMs = 0 }: ServerLoad,
  nowMs: number,
): string {
  if (slowdownPercent === undefined) return "";
  const interval = Math.round((nowMs - slowdownAgeMs) / MIN_FIGURE_INTERVAL_MS);
  return `:${slowdownPercent}@${interval}`;
}

function countParts(servers: number): number {
  return Math.max(1, Math.ceil(servers / TARGET_SERVERS_PER_PART));
}

/**
 * Splits loads into parts that fit into one datagram each. A server is always in
 * the same part while the number of parts is constant, so the loss of a datagram
 * affects only the loads of the servers in it.
 */
export function splitLoads(loads: readonly ServerLoad[]): ServerLoad[][] {
  const count = countParts(loads.length);
  const parts = Array.from({ length: count }, (): ServerLoad[] => []);
  loads.forEach((load) =>
    parts[getPlacementHash(load.server) % count]?.push(load)
  );
  return parts;
}
