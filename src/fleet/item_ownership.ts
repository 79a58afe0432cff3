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

/** How a {@linkcode ItemOwnership} is made. */
export interface ItemOwnershipOptions {
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
const HANDOVER_DELAY_MS = 500;

/** The share of one process. */
export class ItemOwnership {
  readonly #options: ItemOwnershipOptions;
  #runners: readonly string[] = [];
  #changedMs = -Infinity;
  /** Whether an item is this process's, and was before the last change. */
  readonly #items = new Map<string, { isMine: boolean; wasMine: boolean }>();
  #previousRunners: readonly string[] = [];

  constructor(options: ItemOwnershipOptions) {
    this.#options = options;
  }

  /** Whether this process runs items at all. */
  get isRunner(): boolean {
    return this.#runners.includes(this.#options.getId());
  }

  /** Takes the list of runners in force; to be called before a look. */
  updateRunners(): void {
    const runners = this.#options.getRunners();
    if (runners.join() === this.#runners.join()) return;
    this.#previousRunners = this.#runners;
    this.#runners = runners;
    this.#changedMs = this.#options.clock.getMonotonicMs();
    this.#items.clear();
  }

  /** Whether an item is this process's to run. */
  isOwned(key: string): boolean {
    return this.#getOwnership(key).isMine;
  }

  /** Whether an item may start here now. */
  canStart(key: string): boolean {
    const { isMine, wasMine } = this.#getOwnership(key);
    const sinceMs = this.#options.clock.getMonotonicMs() - this.#changedMs;
    return isMine && (wasMine || sinceMs >= HANDOVER_DELAY_MS);
  }

  /** Servers of one service at which this process may place items. */
  getAllowedServers(servers: readonly PoolServer[]): ReadonlySet<string> {
    const runners = this.#runners.map((id): Runner => ({
      id,
      dataCentre: this.#options.getDataCentre(id),
    }));
    return getAssignedServers(this.#options.getId(), servers, runners);
  }

  /** Forgets items that are open no more. */
  retainOnly(open: ReadonlySet<string>): void {
    [...this.#items.keys()].filter((key) => !open.has(key))
      .forEach((key) => this.#items.delete(key));
  }

  #getOwnership(key: string): { isMine: boolean; wasMine: boolean } {
    const known = this.#items.get(key);
    if (known !== undefined) return known;
    const id = this.#options.getId();
    const ownership = {
      isMine: tryGetItemRunner(key, this.#runners) === id,
      wasMine: tryGetItemRunner(key, this.#previousRunners) === id,
    };
    this.#items.set(key, ownership);
    return ownership;
  }
}
