/**
 * The routes that one process knows, and when the leader of the control group last
 * confirmed them. Tables that are older than the known one are ignored.
 */
import { RouteIndex, withoutDocument } from "../policy/mod.ts";
import type { RouteTable } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";

/** Options of {@linkcode KnownRoutes}. */
export interface KnownRoutesOptions {
  /**
   * Decodes a route table of an older build again, which lacks what that build did
   * not know. Throws if the table can't be used.
   */
  readonly upgradeRoutes?: (table: RouteTable) => RouteTable;
  readonly clock: Clock;
  readonly log: Log;
}

/** Routes of one process. */
export class KnownRoutes {
  readonly #options: KnownRoutesOptions;
  #index: RouteIndex | undefined;
  /** Monotonic time at which a leader confirmed that there are no newer ones. */
  #confirmedMs = -Infinity;
  /** Newest version that this build can't decode. */
  #undecodedVersion = 0n;

  constructor(options: KnownRoutesOptions) {
    this.#options = options;
  }

  /** The current routes; undefined until the first ones have been received. */
  get index(): RouteIndex | undefined {
    return this.#index;
  }

  get version(): bigint {
    return this.#index?.table.version ?? 0n;
  }

  /** Time since the routes were confirmed, in milliseconds. */
  getAgeMs(): number {
    return this.#options.clock.getMonotonicMs() - this.#confirmedMs;
  }

  /** Records that the routes were confirmed `ageMs` ago, by the newest update. */
  recordConfirmation(ageMs: number): void {
    if (this.version < this.#undecodedVersion) return;
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#confirmedMs = Math.max(this.#confirmedMs, nowMs - ageMs);
  }

  /** Called after a possible suspension, which the clock does not count. */
  forgetConfirmation(): void {
    this.#confirmedMs = -Infinity;
  }

  /** Applies a table from `from`; returns whether it is newer and can be used. */
  apply(received: RouteTable | undefined, from: string): boolean {
    if (received === undefined || received.version <= this.version) {
      return false;
    }
    const routes = this.#tryUpgrade(received, from);
    if (routes === undefined) return false;
    this.#options.log.info("routes_in_force", {
      version: Number(routes.version),
      before: Number(this.version),
      routes: routes.routes.length,
      organisations: routes.organisations.length,
      decoder: received.decoderVersion,
      from,
    });
    this.#index = new RouteIndex(withoutDocument(routes));
    return true;
  }

  /**
   * Returns the table as this build decodes it; undefined if it can't. The routes in
   * force stay then: the table of the older build may lack the organisations, and
   * would admit all callers.
   */
  #tryUpgrade(table: RouteTable, from: string): RouteTable | undefined {
    const { upgradeRoutes = (unchanged: RouteTable) => unchanged } =
      this.#options;
    try {
      return upgradeRoutes(table);
    } catch (error) {
      this.#undecodedVersion = table.version;
      this.#options.log.warn("routes_not_decoded", {
        version: Number(table.version),
        before: Number(this.version),
        decoder: table.decoderVersion,
        reason: getReason(error),
        from,
      });
      return undefined;
    }
  }
}
