import {
  PromptPartSuspicions,
  ServerLimits,
  ServerRegistry,
  Suspicions,
} from "../membership/mod.ts";
import { RouteIndex } from "../policy/mod.ts";
import {
  type FleetUpdate,
  type HostList,
  HostRole,
  type PromptPartSuspicion,
  type Registration,
} from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
/** Options of a {@linkcode RoutingView}. */
export interface RoutingViewOptions {
  /** Interval at which backend servers register, in milliseconds. */
  readonly registrationIntervalMs: number;
  readonly clock: Clock;
  readonly log: Log;
}
/** Creates the record of the requests during which servers crashed. */
export declare function createSuspicions(): Suspicions;
/**
 * Called after a change of a backend server. `isStart` is true if the server, or
 * this start of it, was not known before.
 */
export type ServerChangeListener = (
  server: Registration,
  isStart: boolean,
) => void;
/** Routes, hosts and backend servers as one process knows them. */
export declare class RoutingView {
  #private;
  readonly servers: ServerRegistry;
  readonly suspicions: Suspicions;
  readonly promptParts: PromptPartSuspicions;
  readonly limits: ServerLimits;
  constructor(options: RoutingViewOptions);
  /** The current routes; undefined until the first ones have been received. */
  get routes(): RouteIndex | undefined;
  get routesVersion(): bigint;
  get hosts(): HostList;
  /** Returns the addresses of all hosts with the given role. */
  getAddresses(role: HostRole): string[];
  /**
   * Returns the addresses of the store group's members, or of all store hosts
   * while the members aren't known.
   */
  getStoreAddresses(): string[];
  /** Returns the data centre of the host at an address; empty if unknown. */
  getDataCentre(address: string): string;
  /**
   * Time since a control host was heard of, in milliseconds; Infinity before the
   * first time, and since a possible suspension, which the clock does not count.
   */
  getControlSilentMs(): number;
  /** Calls `listener` after each change. */
  onChange(listener: () => void): void;
  /** Calls `listener` after each change of a backend server. */
  onServerChange(listener: ServerChangeListener): void;
  /**
   * Records that a server said in a response that it leaves; returns whether
   * this was not known. `from` is where this was heard.
   */
  recordLeaving(server: {
    id: string;
    bornMs: bigint;
  }, from: string): boolean;
  /**
   * Records the limit in a response to a request sent at `sentMs`; undefined if it
   * named none. Returns whether other processes should be told.
   */
  recordLimit(
    server: {
      id: string;
      bornMs: bigint;
    },
    limitPerS: number | undefined,
    sentMs: number,
  ): boolean;
  /**
   * Applies an update from the control host at address `from`. Returns what this
   * process knows against suspicions in it.
   */
  applyUpdate(update: FleetUpdate, from: string): PromptPartSuspicion[];
}
