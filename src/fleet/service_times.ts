/** Measures the mean time for which a request of a service occupies a slot. */

/** Mean that is assumed until the first measurement, in milliseconds. */
const INITIAL_MEAN_MS = 200;

/** Weight of the newest measurement in the exponential moving average. */
const SMOOTHING_FACTOR = 0.05;

/** Exponential moving averages, one for each service. */
export class ServiceTimes {
  readonly #meanMs = new Map<string, number>();

  record(service: string, ms: number): void {
    const meanMs = this.#meanMs.get(service) ?? ms;
    this.#meanMs.set(service, meanMs + (ms - meanMs) * SMOOTHING_FACTOR);
  }

  /** Returns the mean time of a request, in milliseconds. */
  getMeanMs(service: string): number {
    return this.#meanMs.get(service) ?? INITIAL_MEAN_MS;
  }
}
