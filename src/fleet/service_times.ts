/** Mean time that a request of a service holds its slot, as measured. */

/** Time assumed before the first measurement, in milliseconds. */
const INITIAL_MEAN_MS = 200;

/** Weight of the newest measurement in the moving mean. */
const SMOOTHING_FACTOR = 0.05;

/** Moving means by service. */
export class ServiceTimes {
  readonly #meanMs = new Map<string, number>();

  record(service: string, ms: number): void {
    const meanMs = this.#meanMs.get(service) ?? ms;
    this.#meanMs.set(service, meanMs + (ms - meanMs) * SMOOTHING_FACTOR);
  }

  /** Mean time of a request in milliseconds. */
  getMeanMs(service: string): number {
    return this.#meanMs.get(service) ?? INITIAL_MEAN_MS;
  }
}
