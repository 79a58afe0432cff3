/**
 * Order of the requests that wait for a slot, between organisations: by priority, then
 * those that can still be served in time, then by the cost that their organisations
 * have used lately. Without organisations, the order of arrival stays.
 */

/** What the order of a waiting request depends on. */
export interface FairWaiter {
  /** Undefined if the caller has no organisation. */
  readonly organisation: string | undefined;
  /** 0 is the highest. */
  readonly priority: number;
  /** Monotonic time until which the request can be served in time. */
  readonly inTimeUntilMs: number;
}

/** Costs and requests of one organisation, which decay. */
interface Usage {
  cost: number;
  asked: number;
  served: number;
  updatedMs: number;
}

/**
 * Time after which a cost counts a third, in milliseconds. An organisation that was
 * idle for it has the first claim on slots that others have borrowed.
 */
const DECAY_MS = 3_000;

/**
 * Fraction of the service of all organisations below which one goes first, whatever
 * it has used: none may be served less often than a quarter of all.
 */
const MIN_SERVICE_RATIO = 0.3;

/** Requests below which the service of an organisation is not judged. */
const MIN_ASKED = 2;

/** Multiple of the mean cost of active organisations that is above a fair share. */
const OVER_SHARE_FACTOR = 2;

/** Cost below which an organisation counts as idle. */
const MIN_COST = 0.05;

/** Group of the requests without an organisation. */
const NO_ORGANISATION = "";

/** The shares of the organisations, as one process observes them. */
export class FairShares {
  readonly #usages = new Map<string, Usage>();
  /** Mean cost of active organisations at one time, which many jobs ask for. */
  #mean = { ms: -Infinity, cost: Infinity };

  /** Records that a request asks for a slot. */
  recordRequest(organisation: string, nowMs: number): void {
    this.#getUsage(organisation, nowMs).asked += 1;
  }

  /** Records that a request got a slot. */
  recordStart(organisation: string, cost: number, nowMs: number): void {
    const usage = this.#getUsage(organisation, nowMs);
    usage.served += 1;
    usage.cost += cost;
    this.#removeIdle(nowMs);
  }

  getCost(organisation: string, nowMs: number): number {
    const usage = this.#usages.get(organisation);
    return usage === undefined ? 0 : usage.cost * getDecay(usage, nowMs);
  }

  /** Whether an organisation uses much more than others that are active. */
  isOverShare(organisation: string, nowMs: number): boolean {
    if (this.#mean.ms !== nowMs) {
      this.#mean = { ms: nowMs, cost: this.#getMeanCost(nowMs) };
    }
    return this.getCost(organisation, nowMs) >
      OVER_SHARE_FACTOR * this.#mean.cost;
  }

  /** Returns the waiting requests in the order in which they get slots. */
  order<T>(
    waiting: readonly T[],
    getWaiter: (value: T) => FairWaiter | undefined,
    nowMs: number,
  ): readonly T[] {
    const hasOrganisations = waiting.some((value) =>
      getWaiter(value)?.organisation !== undefined
    );
    if (!hasOrganisations || waiting.length < 2) return waiting;
    const counts = new Map<string, number>();
    const totals = this.#getTotals(nowMs);
    return waiting.map((value) => {
      const waiter = getWaiter(value);
      const { organisation = NO_ORGANISATION } = waiter ?? {};
      const ahead = counts.get(organisation) ?? 0;
      counts.set(organisation, ahead + 1);
      return {
        value,
        priority: waiter?.priority ?? 0,
        isLate: Number((waiter?.inTimeUntilMs ?? Infinity) < nowMs),
        // The second request of an organisation counts the first as served.
        cost: this.#isStarved(organisation, totals, nowMs)
          ? ahead
          : this.getCost(organisation, nowMs) + ahead,
      };
    }).sort((a, b) =>
      a.priority - b.priority || a.isLate - b.isLate || a.cost - b.cost
    ).map(({ value }) => value);
  }

  /** Mean cost of active organisations; Infinity if there are fewer than two. */
  #getMeanCost(nowMs: number): number {
    const costs = [...this.#usages.keys()]
      .map((name) => this.getCost(name, nowMs))
      .filter((cost) => cost >= MIN_COST);
    if (costs.length < 2) return Infinity;
    return costs.reduce((sum, cost) => sum + cost, 0) / costs.length;
  }

  #getTotals(
    nowMs: number,
  ): { readonly asked: number; readonly served: number } {
    return [...this.#usages.values()].reduce((sums, usage) => {
      const decay = getDecay(usage, nowMs);
      return {
        asked: sums.asked + usage.asked * decay,
        served: sums.served + usage.served * decay,
      };
    }, { asked: 0, served: 0 });
  }

  #isStarved(
    organisation: string,
    totals: { readonly asked: number; readonly served: number },
    nowMs: number,
  ): boolean {
    const usage = this.#usages.get(organisation);
    if (usage === undefined) return false;
    const asked = usage.asked * getDecay(usage, nowMs);
    const served = usage.served * getDecay(usage, nowMs);
    return asked >= MIN_ASKED && totals.asked > 0 &&
      served / asked < MIN_SERVICE_RATIO * totals.served / totals.asked;
  }

  #getUsage(organisation: string, nowMs: number): Usage {
    const known = this.#usages.get(organisation);
    const usage = known ?? { cost: 0, asked: 0, served: 0, updatedMs: nowMs };
    const decay = getDecay(usage, nowMs);
    usage.cost *= decay;
    usage.asked *= decay;
    usage.served *= decay;
    usage.updatedMs = nowMs;
    // The organisation that was used last is the last one in the map.
    this.#usages.delete(organisation);
    this.#usages.set(organisation, usage);
    return usage;
  }

  /** Removes organisations that were idle for so long that their usage is nil. */
  #removeIdle(nowMs: number): void {
    for (const [name, { updatedMs }] of this.#usages) {
      if (nowMs - updatedMs < 10 * DECAY_MS) return;
      this.#usages.delete(name);
    }
  }
}

function getDecay({ updatedMs }: Usage, nowMs: number): number {
  return Math.exp(-Math.max(0, nowMs - updatedMs) / DECAY_MS);
}
