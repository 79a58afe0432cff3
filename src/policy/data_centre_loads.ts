/**
 * What one process knows of the loads of one service in each data centre: the slots
 * that requests of other data centres may use, and the wait in its own.
 */

/** Kinds of requests, with the values of the load kinds. */
export type FlowKind = "online" | "batch";

/** Load of the servers of one service in one data centre. */
export interface DataCentreSummary {
  readonly dataCentre: string;
  readonly slots: number;
  /** Online requests of all processes. */
  readonly online: number;
  /** Requests of jobs. */
  readonly batch: number;
  /** Age of the newest load report, in milliseconds. */
  readonly ageMs: number;
}

/** Options of {@linkcode DataCentreLoads}. */
export interface DataCentreLoadsOptions {
  readonly dataCentre: string;
  /** Fraction of a data centre's slots that it keeps for its own callers. */
  readonly reserve: number;
}

/**
 * Time for which the rise of a data centre's load is projected beyond the age of the
 * report, in milliseconds. With 300 ms, more requests were late where they came from
 * and none fewer elsewhere (docs/design/data_centre_flow.md).
 */
const PROJECTION_MS = 100;

/** Weight of the newest sample in the moving average of the rise. */
const RISE_SMOOTHING = 0.5;

/** Minimum time between two samples of a load, in milliseconds: a report interval. */
const MIN_SAMPLE_MS = 80;

/** Time between two samples beyond which the rise is unknown, in milliseconds. */
const MAX_SAMPLE_MS = 500;

/**
 * Time over which slots that have come back become usable for others, in
 * milliseconds: several report intervals, and less than a burst of 2.4 s.
 */
const RETURN_MS = 2_000;

/**
 * Age of the loads above which they are out of date, in milliseconds: more than two
 * intervals of unchanged reports.
 */
const STALE_MS = 700;

/** Part of the headroom that is used while the loads are out of date. */
const STALE_FACTOR = 0.1;

/**
 * Time until a request that queues behind items gets a slot, in milliseconds: a load
 * report (10 ms), a scheduling pass (15 ms) and the messages in between.
 */
const PREEMPTION_MS = 30;

/** What is known of the load of one data centre. */
interface LoadState {
  summary: DataCentreSummary;
  sampledMs: number;
  sampledOnline: number;
  /** Mean rise of its online requests for each millisecond; may be negative. */
  rise: number;
  /** Slots that it has had for long enough to be used by others. */
  usableSlots: number;
  usableMs: number;
}

/** The loads of one service. */
export class DataCentreLoads {
  readonly #options: DataCentreLoadsOptions;
  readonly #states: Map<string, LoadState>;

  constructor(
    options: DataCentreLoadsOptions,
    states = new Map<string, LoadState>(),
  ) {
    this.#options = options;
    this.#states = states;
  }

  clone(): DataCentreLoads {
    return new DataCentreLoads(this.#options, structuredClone(this.#states));
  }

  get summaries(): DataCentreSummary[] {
    return [...this.#states.values()].map(({ summary }) => summary);
  }

  observe(summaries: readonly DataCentreSummary[], nowMs: number): void {
    const isFirst = this.#states.size === 0;
    const byName = new Map(summaries.map((one) => [one.dataCentre, one]));
    // A data centre without known servers is kept, so that its return is noticed.
    this.#states.forEach(({ summary }, dataCentre) => {
      if (byName.has(dataCentre)) return;
      byName.set(dataCentre, { ...summary, slots: 0, online: 0, batch: 0 });
    });
    byName.forEach((summary) => this.#observeOne(summary, nowMs, isFirst));
  }

  #observeOne(
    summary: DataCentreSummary,
    nowMs: number,
    isFirst: boolean,
  ): void {
    const { dataCentre, slots, online } = summary;
    const state = this.#states.get(dataCentre);
    if (state === undefined) {
      this.#states.set(dataCentre, {
        summary,
        sampledMs: nowMs,
        sampledOnline: online,
        rise: 0,
        usableSlots: isFirst ? slots : 0,
        usableMs: nowMs,
      });
      return;
    }
    const returned = slots * (nowMs - state.usableMs) / RETURN_MS;
    state.usableSlots = Math.min(slots, state.usableSlots + returned);
    state.usableMs = nowMs;
    state.summary = summary;
    const sinceMs = nowMs - state.sampledMs;
    if (sinceMs < MIN_SAMPLE_MS) return;
    const sample = (online - state.sampledOnline) / sinceMs;
    state.rise = sinceMs > MAX_SAMPLE_MS
      ? 0
      : state.rise + (sample - state.rise) * RISE_SMOOTHING;
    state.sampledMs = nowMs;
    state.sampledOnline = online;
  }

  /** Age of the loads by which a process goes, in milliseconds, as far as it counts. */
  getAgeMs(dataCentre: string): number {
    const ageMs = this.#states.get(dataCentre)?.summary.ageMs ?? Infinity;
    return Math.min(ageMs, STALE_MS);
  }

  /** Slots of a data centre above what its own callers use or need soon. */
  getHeadroom(dataCentre: string, kind: FlowKind): number {
    const state = this.#states.get(dataCentre);
    if (state === undefined) return 0;
    const { online, batch, ageMs } = state.summary;
    const used = kind === "batch" ? online + batch : online;
    const horizonMs = this.getAgeMs(dataCentre) + PROJECTION_MS;
    const headroom = state.usableSlots * (1 - this.#options.reserve) - used -
      Math.max(0, state.rise) * horizonMs;
    const factor = ageMs > STALE_MS ? STALE_FACTOR : 1;
    return Math.max(0, headroom * factor);
  }

  /** Expected wait in the own data centre, in milliseconds. */
  getExpectedWaitMs(
    { serviceMs, queues }: {
      /** Mean time for which a request occupies a slot, in milliseconds. */
      readonly serviceMs: number;
      /** Whether the request is about to queue at a server. */
      readonly queues: boolean;
    },
  ): number {
    const local = this.#states.get(this.#options.dataCentre)?.summary;
    if (local === undefined || local.slots === 0) return Infinity;
    const { slots, online, batch } = local;
    // A request that queues takes the slots of items here first, so that those of
    // other data centres go on.
    if (queues && online < slots) return 0;
    if (batch > 0) return PREEMPTION_MS;
    return Math.max(1, online - slots + 1) * serviceMs / slots;
  }

  /** Other data centres that have servers. */
  getRemote(): string[] {
    return this.summaries
      .filter(({ dataCentre, slots }) =>
        dataCentre !== this.#options.dataCentre && slots > 0
      )
      .map(({ dataCentre }) => dataCentre);
  }
}
