/**
 * Speed of each backend server, as known to one process. Two things are kept
 * apart: the steady speed of the machine, learned from the times of responses, and
 * the slowdown at this moment, which the server states itself because other work on
 * its machine comes and goes within half a second.
 *
 * Times are divided by the slowdown that the server stated with the response, so a
 * server whose figure is always wrong gets a steady speed that cancels it out.
 */
import type { ServerLoad } from "../schema/mod.ts";

/** Kinds of times that are compared between servers. */
export const TimeKind = { first: "first", event: "event" } as const;

/** One of {@linkcode TimeKind}. */
export type TimeKind = typeof TimeKind[keyof typeof TimeKind];

/** A time that was measured at a server. */
export interface SpeedSample {
  readonly server: string;
  /** Start time of the server; a new one ends what is known of its speed. */
  readonly bornMs: bigint;
  /** Requests of different services take different times. */
  readonly service: string;
  readonly kind: TimeKind;
  readonly ms: number;
  /** Slowdown that the server stated with the response; 1 if none. */
  readonly slowdown: number;
}

/** What is known of one server, for the log. */
export interface ServerSpeedState {
  readonly server: string;
  readonly speed: number;
  readonly samples: number;
  readonly slowdown: number;
  /** Age of the slowdown in milliseconds; undefined if it has expired. */
  readonly ageMs: number | undefined;
}

/** Where a figure comes from and when it was current. */
interface Figure {
  readonly slowdown: number;
  readonly atMs: number;
}

interface LearnedSpeed {
  readonly bornMs: bigint;
  /** Natural logarithm of the speed. */
  logSpeed: number;
  samples: number;
}

/** Mean over all servers of a service. */
interface UsualTime {
  /** Natural logarithm of the time in milliseconds. */
  logMs: number;
  samples: number;
}

/**
 * Age at which a slowdown expires, in milliseconds. Interference lasts about 600 ms,
 * so a figure older than this is more likely wrong than right.
 */
const SLOWDOWN_TTL_MS = 500;

/**
 * Time for which a service counts as one whose servers state their slowdown, in
 * milliseconds. A gateway of 60 gets a response of a service every second or two.
 */
const FIGURE_SEEN_MS = 10_000;

/** Bounds of a slowdown, so that a false figure has a limited effect. */
const MIN_SLOWDOWN = 0.5;
const MAX_SLOWDOWN = 4;

/** Bounds of a speed; as wide as those of a slowdown, which it has to cancel out. */
const MIN_SPEED = 0.25;
const MAX_SPEED = 4;

/**
 * Time by which a reported figure must be newer than the known one, in milliseconds.
 * Ages are recomputed on each hop, so one figure seems to be of slightly different
 * times.
 */
const MIN_NEWER_MS = 20;

/** Weight of the newest sample of a server. */
const SPEED_SMOOTHING = 0.1;

/** Weight of the newest sample of a service, over all of its servers. */
const USUAL_SMOOTHING = 0.02;

/**
 * Samples against which the speed of a server counts half. One response differs by a
 * quarter from the mean, and machines by a factor of two.
 */
const SHRINKAGE_SAMPLES = 1;

/**
 * Largest factor by which one sample may differ from the known speed. A lost
 * packet or a garbage collection delays one response by more than that.
 */
const MAX_SAMPLE_FACTOR = 3;

/** Usual time that is assumed until the first sample, in milliseconds. */
const DEFAULT_USUAL_MS = 100;

/** Samples below this are smaller than the resolution of the timers, in ms. */
const MIN_SAMPLE_MS = 0.5;

/** Speeds and slowdowns of the servers. */
export class ServerSpeeds {
  /** Newest figures from any source. */
  readonly #figures = new Map<string, Figure>();
  /** Figures that servers sent to this process. */
  readonly #ownFigures = new Map<string, Figure>();
  /** Time of the last figure other than usual, by server. */
  readonly #unusualMs = new Map<string, number>();
  /** Time of the last figure, by server. */
  readonly #seenMs = new Map<string, number>();
  readonly #learned = new Map<string, LearnedSpeed>();
  /** Usual times, by service and kind. */
  readonly #usual = new Map<string, UsualTime>();
  #lastSeenMs = -Infinity;

  /** Records the slowdown that a server stated with a response. */
  recordSlowdown(server: string, slowdown: number, nowMs: number): void {
    const figure = { slowdown: clampSlowdown(slowdown), atMs: nowMs };
    this.#ownFigures.set(server, figure);
    this.#accept(server, figure, nowMs);
  }

  /** Takes over the figures of a load report that are newer than the known ones. */
  acceptReported(loads: readonly ServerLoad[], nowMs: number): void {
    loads.forEach(({ server, slowdownPercent, slowdownAgeMs }) => {
      if (slowdownPercent === undefined || slowdownPercent === 0) return;
      const atMs = nowMs - (slowdownAgeMs ?? 0);
      if (nowMs - atMs >= SLOWDOWN_TTL_MS) return;
      const known = this.#figures.get(server);
      if (known !== undefined && atMs - known.atMs < MIN_NEWER_MS) return;
      const slowdown = clampSlowdown(slowdownPercent / 100);
      this.#accept(server, { slowdown, atMs }, nowMs);
    });
  }

  /** Learns the steady speed of a server from a time measured there. */
  recordTime(sample: SpeedSample): void {
    const ms = Math.max(MIN_SAMPLE_MS, sample.ms);
    const logMs = Math.log(ms / clampSlowdown(sample.slowdown));
    const key = `${sample.service}/${sample.kind}`;
    const usual = this.#usual.get(key) ?? { logMs, samples: 0 };
    this.#usual.set(key, usual);
    usual.samples += 1;
    usual.logMs += (logMs - usual.logMs) *
      Math.max(USUAL_SMOOTHING, 1 / usual.samples);
    const known = this.#learned.get(sample.server);
    const learned = known?.bornMs === sample.bornMs
      ? known
      : { bornMs: sample.bornMs, logSpeed: 0, samples: 0 };
    const maxStep = Math.log(MAX_SAMPLE_FACTOR);
    const step = clamp(
      usual.logMs - logMs - learned.logSpeed,
      -maxStep,
      maxStep,
    );
    learned.samples += 1;
    // A plain mean of the first samples, a moving one of later ones.
    learned.logSpeed += step * Math.max(SPEED_SMOOTHING, 1 / learned.samples);
    this.#learned.set(sample.server, learned);
  }

  /** Usual time at the servers of a service, in milliseconds. */
  getUsualMs(service: string, kind: TimeKind): number {
    const usual = this.#usual.get(`${service}/${kind}`);
    return usual === undefined ? DEFAULT_USUAL_MS : Math.exp(usual.logMs);
  }

  /** Steady speed of a server; 1 is usual, and assumed while nothing is known. */
  getSpeed(server: string, bornMs: bigint): number {
    const learned = this.#learned.get(server);
    if (learned === undefined || learned.bornMs !== bornMs) return 1;
    const { logSpeed, samples } = learned;
    const weight = samples / (samples + SHRINKAGE_SAMPLES);
    return clamp(Math.exp(logSpeed * weight), MIN_SPEED, MAX_SPEED);
  }

  /** Slowdown of a server at this moment; 1 is usual, and assumed if unknown. */
  getSlowdown(server: string, nowMs: number): number {
    const figure = this.#figures.get(server);
    return figure !== undefined && nowMs - figure.atMs < SLOWDOWN_TTL_MS
      ? figure.slowdown
      : 1;
  }

  /** Whether one of the servers has stated its slowdown lately. */
  haveFigures(servers: readonly { readonly id: string }[], nowMs: number) {
    // Without any figure, as in most deployments, no server is looked up.
    if (nowMs - this.#lastSeenMs >= FIGURE_SEEN_MS) return false;
    return servers.some(({ id }) =>
      nowMs - (this.#seenMs.get(id) ?? -Infinity) < FIGURE_SEEN_MS
    );
  }

  /**
   * Figures for a load report: those that this process got itself, or with
   * `isMerged` the newest ones. Servers that have been as usual for a while are left
   * out, and so is a figure that expires before it arrives.
   */
  getReportable(
    nowMs: number,
    isMerged: boolean,
  ): Map<string, Pick<ServerLoad, "slowdownPercent" | "slowdownAgeMs">> {
    const rows = new Map<
      string,
      Pick<ServerLoad, "slowdownPercent" | "slowdownAgeMs">
    >();
    (isMerged ? this.#figures : this.#ownFigures).forEach((figure, server) => {
      const ageMs = nowMs - figure.atMs;
      const unusualMs = this.#unusualMs.get(server) ?? -Infinity;
      if (ageMs >= SLOWDOWN_TTL_MS) return;
      if (nowMs - unusualMs >= SLOWDOWN_TTL_MS) return;
      rows.set(server, {
        slowdownPercent: Math.round(figure.slowdown * 100),
        slowdownAgeMs: Math.round(ageMs),
      });
    });
    return rows;
  }

  /** What is known of each server, for the log. */
  getStates(nowMs: number): ServerSpeedState[] {
    const servers = new Set([...this.#learned.keys(), ...this.#figures.keys()]);
    return [...servers].sort().map((server) => {
      const learned = this.#learned.get(server);
      const figure = this.#figures.get(server);
      const ageMs = figure === undefined ? Infinity : nowMs - figure.atMs;
      return {
        server,
        speed: learned === undefined
          ? 1
          : this.getSpeed(server, learned.bornMs),
        samples: learned?.samples ?? 0,
        slowdown: this.getSlowdown(server, nowMs),
        ageMs: ageMs < SLOWDOWN_TTL_MS ? ageMs : undefined,
      };
    });
  }

  /** Drops what is known of all servers but the given ones. */
  retainOnly(servers: ReadonlySet<string>): void {
    [
      this.#figures,
      this.#ownFigures,
      this.#unusualMs,
      this.#seenMs,
      this.#learned,
    ].forEach((map) =>
      [...map.keys()].filter((server) => !servers.has(server))
        .forEach((server) => map.delete(server))
    );
  }

  #accept(server: string, figure: Figure, nowMs: number): void {
    this.#figures.set(server, figure);
    this.#seenMs.set(server, nowMs);
    this.#lastSeenMs = nowMs;
    if (figure.slowdown !== 1) this.#unusualMs.set(server, figure.atMs);
  }
}

function clampSlowdown(slowdown: number): number {
  return clamp(slowdown, MIN_SLOWDOWN, MAX_SLOWDOWN);
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
