/**
 * Ownership of items by one process: which items it runs, when it may start
 * them after a change of runners, and which backend servers it may use.
 */
import {
  getAssignedServers,
  type Runner,
  tryGetItemRunner,
} from "../policy/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { PoolServer } from "./server_pool.ts";

/** Options of an {@linkcode ItemOwnership}. */
export interface ItemOwnershipOptions {
  /** Id of this process among the runners; empty until it has one. */
  readonly getId: () => string;
  /** Ids of the runners that the group has committed. */
  readonly getRunners: () => readonly string[];
  readonly getDataCentre: (id: string) => string;
  readonly clock: Clock;
}

/**
 * Delay before a new owner starts an item after a change of runners, in
 * milliseconds. By then, the previous owner has learned of the change and has
 * stopped its run.
 */
const HANDOVER_DELAY_MS = 500;

/** Tracks the items that one process owns. */
export class ItemOwnership {
  readonly #options: ItemOwnershipOptions;
  #runners: readonly string[] = [];
  #changedMs = -Infinity;
  /** Whether this process owns an item now and did before the last change. */
  readonly #items = new Map<string, { isOwned: boolean; wasOwned: boolean }>();
  #previousRunners: readonly string[] = [];

  constructor(options: ItemOwnershipOptions) {
    this.#options = options;
  }

  /** Ids of the current runners. */
  get runners(): readonly string[] {
    return this.#runners;
  }

  /** Whether this process is a runner. */
  get isRunner(): boolean {
    return this.#runners.includes(this.#options.getId());
  }

  /**
   * Applies the current list of runners; must precede a scheduling pass. Returns
   * whether the list has changed.
   */
  updateRunners(): boolean {
    const runners = this.#options.getRunners();
    if (runners.join() === this.#runners.join()) return false;
    this.#previousRunners = this.#runners;
    this.#runners = runners;
    this.#changedMs = this.#options.clock.getMonotonicMs();
    this.#items.clear();
    return true;
  }

  /** Whether this process owns an item. */
  isOwned(key: string): boolean {
    return this.#getOwnership(key).isOwned;
  }

  /** Whether this process may start an item now. */
  canStart(key: string): boolean {
    const { isOwned, wasOwned } = this.#getOwnership(key);
    const elapsedMs = this.#options.clock.getMonotonicMs() - this.#changedMs;
    return isOwned && (wasOwned || elapsedMs >= HANDOVER_DELAY_MS);
  }

  /** Ids of one service's servers on which this process may run items. */
  getAllowedServers(servers: readonly PoolServer[]): ReadonlySet<string> {
    const runners = this.#runners.map((id): Runner => ({
      id,
      dataCentre: this.#options.getDataCentre(id),
    }));
    return getAssignedServers(this.#options.getId(), servers, runners);
  }

  /**
   * Data centres of those servers of one service which get items from no process but
   * this one and runners like it: of its assigned servers, or, if each runner may use
   * all of them, those without a runner.
   */
  getAssignedDataCentres(servers: readonly PoolServer[]): ReadonlySet<string> {
    const { getDataCentre } = this.#options;
    const served = new Set(this.#runners.map((id) => getDataCentre(id)));
    const allowed = this.getAllowedServers(servers);
    const isShared = servers.length < this.#runners.length;
    return new Set(
      servers.filter(({ id, dataCentre }) =>
        isShared ? !served.has(dataCentre) : allowed.has(id)
      ).map(({ dataCentre }) => dataCentre),
    );
  }

  /** Drops the state of all items except the given ones. */
  retainOnly(open: ReadonlySet<string>): void {
    [...this.#items.keys()].filter((key) => !open.has(key))
      .forEach((key) => this.#items.delete(key));
  }

  #getOwnership(key: string): { isOwned: boolean; wasOwned: boolean } {
    const cached = this.#items.get(key);
    if (cached !== undefined) return cached;
    const id = this.#options.getId();
    const ownership = {
      isOwned: tryGetItemRunner(key, this.#runners) === id,
      wasOwned: tryGetItemRunner(key, this.#previousRunners) === id,
    };
    this.#items.set(key, ownership);
    return ownership;
  }
}
