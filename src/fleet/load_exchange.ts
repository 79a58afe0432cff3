/**
 * Exchange of loads by datagrams. Gateways report their own requests to every
 * member of the store's group, and so do those that run the requests of jobs;
 * the one member that a gateway asks answers with what all others have under
 * way, and another when that one is silent. So a lost leader leaves nobody
 * blind. A report that is lost is made good by the next;
 * without any, a process goes by its own counts and by what servers say.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { type LoadTracker, MergerSelector } from "../membership/mod.ts";
import {
  type LoadReport,
  LoadReportSchema,
  type ServerLoad,
} from "../schema/mod.ts";
import type { Clock, Timer } from "../sys/clock.ts";
import { type DatagramSocket, openDatagramSocket } from "../sys/datagrams.ts";
import { getReason } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { getPlacementHash } from "../sys/random.ts";

/** How a {@linkcode LoadExchange} is made. */
export interface LoadExchangeOptions {
  readonly name: string;
  /** Where other processes reach this one. */
  readonly address: string;
  readonly bindAddress: string;
  readonly loads: LoadTracker;
  /** Processes that merge reports. */
  readonly getMergers: () => readonly string[];
  /** Whether this process merges the reports of the others. */
  readonly isMerger: boolean;
  readonly onReport: () => void;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Time between two reports that differ, in milliseconds: a tenth of the time
 * in which a burst of the scale days fills all slots.
 */
const REPORT_INTERVAL_MS = 80;

/**
 * Least time between two reports when a request queues at a full server, in
 * milliseconds: what runs there of jobs gives way no sooner than it is heard.
 */
const MIN_REPORT_INTERVAL_MS = 10;

/** Time between two reports that say the same, in milliseconds. */
const UNCHANGED_REPORT_INTERVAL_MS = 300;

/**
 * Servers of one datagram. Each takes some 25 bytes, and the parts are uneven,
 * so the largest stays under the 1,472 bytes that a network passes unsplit.
 */
const TARGET_SERVERS_PER_PART = 32;

/** Silence after which a reporter counts as lost: two repeats and some. */
const REPORTER_TIMEOUT_MS = 700;

/** One process's part of the exchange. */
export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #mergerChoice: MergerSelector;
  readonly #reporters = new Map<string, { name: string; heardMs: number }>();
  readonly #lastSent = new Map<string, { text: string; atMs: number }>();
  #socket: DatagramSocket | undefined;
  #timer: Timer | undefined;
  #sequence = 0n;
  #lastReportMs = -Infinity;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    this.#mergerChoice = new MergerSelector({ name: options.name });
  }

  async start(): Promise<void> {
    const { clock, bindAddress } = this.#options;
    // Sequences of an earlier start of this process must not pass for newer.
    this.#sequence = BigInt(Math.floor(clock.getWallMs()));
    this.#socket = await openDatagramSocket(
      bindAddress,
      (bytes, from) => this.#receive(bytes, from),
    );
    this.#timer = clock.startInterval(
      REPORT_INTERVAL_MS,
      () => this.#sendReports(),
    );
  }

  close(): void {
    this.#timer?.cancel();
    this.#socket?.close();
  }

  /** Reports without waiting for the next interval. */
  tryReportNow(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const isDue = nowMs - this.#lastReportMs >= MIN_REPORT_INTERVAL_MS;
    if (isDue) this.#sendReports();
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
    // Mergers count each report themselves; a merged one holds it again.
    if (report.merged === this.#options.isMerger) return;
    if (report.merged) this.#mergerChoice.recordAnswer(from, nowMs);
    else this.#updateReporter(report, from, nowMs);
    if (loads.acceptReport(report, nowMs)) this.#options.onReport();
  }

  #updateReporter(report: LoadReport, from: string, nowMs: number): void {
    if (report.wantsAnswer) {
      this.#reporters.set(from, { name: report.sender, heardMs: nowMs });
    } else if (this.#reporters.delete(from)) {
      this.#lastSent.delete(`${from}/true`);
    }
  }

  #sendReports(): void {
    const { clock, loads, getMergers, isMerger, address } = this.#options;
    const nowMs = clock.getMonotonicMs();
    this.#lastReportMs = nowMs;
    const ownLoads = [...loads.getAllOwn()].map(([server, count]) => ({
      $typeName: "papayatally.v1.ServerLoad" as const,
      server,
      ...count,
    }));
    const mergers = getMergers();
    const chosenMerger = isMerger
      ? ""
      : this.#mergerChoice.select(mergers, nowMs);
    mergers.filter((merger) => merger !== address).forEach((merger) => {
      const wantsAnswer = merger === chosenMerger;
      this.#send(
        merger,
        { loads: ownLoads, merged: false, wantsAnswer },
        nowMs,
      );
    });
    if (isMerger) this.#sendMergedReports(nowMs);
  }

  #sendMergedReports(nowMs: number): void {
    this.#reporters.forEach(({ name, heardMs }, address) => {
      if (nowMs - heardMs > REPORTER_TIMEOUT_MS) {
        this.#reporters.delete(address);
        this.#lastSent.delete(`${address}/true`);
        return;
      }
      const loads = this.#options.loads.getMerged(nowMs, name);
      this.#send(address, { loads, merged: true, wantsAnswer: false }, nowMs);
    });
  }

  /** Sends what has changed, and now and then what has not. */
  #send(
    to: string,
    body: { loads: ServerLoad[]; merged: boolean; wantsAnswer: boolean },
    nowMs: number,
  ): void {
    const rows = body.loads.map((load) =>
      `${load.server}:${load.online}:${load.batch}`
    );
    const text = [body.wantsAnswer, ...rows].join();
    const key = `${to}/${body.merged}`;
    const sent = this.#lastSent.get(key);
    const isUnchanged = sent?.text === text;
    if (isUnchanged && nowMs - sent.atMs < UNCHANGED_REPORT_INTERVAL_MS) return;
    this.#lastSent.set(key, { text, atMs: nowMs });
    splitLoads(body.loads).forEach((loads, part, all) => {
      this.#sequence += 1n;
      const report = create(LoadReportSchema, {
        loads,
        merged: body.merged,
        wantsAnswer: body.wantsAnswer,
        sender: this.#options.name,
        sequence: this.#sequence,
        part,
        parts: all.length,
      });
      this.#socket?.send(toBinary(LoadReportSchema, report), to);
    });
  }
}

/**
 * Loads in parts that fit a datagram each. A server stays in its part as long
 * as their number does, so that a part that is lost leaves only its own
 * servers as they were.
 */
export function splitLoads(loads: readonly ServerLoad[]): ServerLoad[][] {
  const count = Math.max(1, Math.ceil(loads.length / TARGET_SERVERS_PER_PART));
  const parts = Array.from({ length: count }, (): ServerLoad[] => []);
  loads.forEach((load) =>
    parts[getPlacementHash(load.server) % count]?.push(load)
  );
  return parts;
}
