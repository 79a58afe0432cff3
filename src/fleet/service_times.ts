/** Mean time that a request of a service holds its slot, as measured. */

/** Time assumed before the first measurement, in milliseconds. */
const FIRST_GUESS_MS = 200;

/** Weight of the newest measurement in the moving mean. */
const NEWEST_WEIGHT = 0.05;

/** Moving means by service. */
export class ServiceTimes {
  readonly #meanMs = new Map<string, number>();

  record(service: string, ms: number): void {
    const known = this.#meanMs.get(service) ?? ms;
    this.#meanMs.set(service, known + (ms - known) * NEWEST_WEIGHT);
  }

  /** Mean time of a request in milliseconds. */
  getMs(service: string): number {
    return this.#meanMs.get(service) ?? FIRST_GUESS_MS;
  }
}
