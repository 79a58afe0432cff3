/**
 * One process's share of the items: which are its own, since when, and at
 * which backend servers it may place them.
 */
import {
  getAssignedServers,
  type Runner,
  tryGetItemRunner,
} from "../policy/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { PoolServer } from "./server_pool.ts";

/** How a {@linkcode RunShares} is made. */
export interface RunSharesOptions {
  /** Name of this process among the runners; empty before it has one. */
  readonly getId: () => string;
  /** The agreed list of runners. */
  readonly getRunners: () => readonly string[];
  readonly getDataCentre: (id: string) => string;
  readonly clock: Clock;
}

/**
 * Time for which an item that changed its runner starts nowhere, in
 * milliseconds: the one before has heard of it by then and stopped its run.
 */
const HAND_OVER_MS = 500;

/** The share of one process. */
export class RunShares {
  readonly #options: RunSharesOptions;
  #runners: readonly string[] = [];
  #changedMs = -Infinity;
  /** Whether an item is this process's, and was before the last change. */
  readonly #items = new Map<string, { isMine: boolean; wasMine: boolean }>();
  #before: readonly string[] = [];

  constructor(options: RunSharesOptions) {
    this.#options = options;
  }

  /** Whether this process runs items at all. */
  get isRunner(): boolean {
    return this.#runners.includes(this.#options.getId());
  }

  /** Takes the list of runners in force; to be called before a look. */
  update(): void {
    const runners = this.#options.getRunners();
    if (runners.join() === this.#runners.join()) return;
    this.#before = this.#runners;
    this.#runners = runners;
    this.#changedMs = this.#options.clock.getMonotonicMs();
    this.#items.clear();
  }

  /** Whether an item is this process's to run. */
  isMine(key: string): boolean {
    return this.#getItem(key).isMine;
  }

  /** Whether an item may start here now. */
  mayStart(key: string): boolean {
    const { isMine, wasMine } = this.#getItem(key);
    const sinceMs = this.#options.clock.getMonotonicMs() - this.#changedMs;
    return isMine && (wasMine || sinceMs >= HAND_OVER_MS);
  }

  /** Servers of one service at which this process may place items. */
  getServers(servers: readonly PoolServer[]): ReadonlySet<string> {
    const runners = this.#runners.map((id): Runner => ({
      id,
      dataCentre: this.#options.getDataCentre(id),
    }));
    return getAssignedServers(this.#options.getId(), servers, runners);
  }

  /** Forgets items that are open no more. */
  keepOnly(open: ReadonlySet<string>): void {
    [...this.#items.keys()].filter((key) => !open.has(key))
      .forEach((key) => this.#items.delete(key));
  }

  #getItem(key: string): { isMine: boolean; wasMine: boolean } {
    const known = this.#items.get(key);
    if (known !== undefined) return known;
    const id = this.#options.getId();
    const item = {
      isMine: tryGetItemRunner(key, this.#runners) === id,
      wasMine: tryGetItemRunner(key, this.#before) === id,
    };
    this.#items.set(key, item);
    return item;
  }
}
