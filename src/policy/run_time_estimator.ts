/**
 * How long an item still needs, from runs that were measured. Answers the load
 * pattern of more items than can be done in time: taken by their due times
 * alone, all of them come a little late (uzpilde-lv scale-1, 178 of 521). So
 * items that can't be in time any more stand behind those that can.
 */

/** Weight of the newest measurement in the moving means. */
const SMOOTHING_FACTOR = 0.05;

interface RunMeans {
  /** Events of a whole item. */
  events: number | undefined;
  /** Time from one event to the next, in milliseconds. */
  eventMs: number | undefined;
}

/** Estimates by the kind of item. */
export class RunTimeEstimator {
  readonly #means = new Map<string, RunMeans>();

  /** A run of `ms` milliseconds made some events. */
  recordRun(kind: string, events: number, ms: number): void {
    if (events <= 0) return;
    const means = this.#getOrCreate(kind);
    means.eventMs = updateMean(means.eventMs, ms / events);
  }

  /** A whole item has so many events. */
  recordItemEvents(kind: string, events: number): void {
    const means = this.#getOrCreate(kind);
    means.events = updateMean(means.events, events);
  }

  /** Time on a slot that an item needs after an event; 0 when not known. */
  getRemainingMs(kind: string, lastEvent: number): number {
    const { events, eventMs } = this.#getOrCreate(kind);
    if (events === undefined || eventMs === undefined) return 0;
    return Math.max(0, events - lastEvent) * eventMs;
  }

  #getOrCreate(kind: string): RunMeans {
    const means = this.#means.get(kind) ??
      { events: undefined, eventMs: undefined };
    this.#means.set(kind, means);
    return means;
  }
}

function updateMean(mean: number | undefined, sample: number): number {
  return mean === undefined
    ? sample
    : mean + (sample - mean) * SMOOTHING_FACTOR;
}
