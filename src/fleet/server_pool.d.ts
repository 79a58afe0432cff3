/**
 * Selects backend servers for online requests and job items. A request
 * acquires a permit before it is sent to a server, and releases it when it has
 * ended.
 */
import { LoadKind, LoadTracker } from "../membership/mod.ts";
import { type ServerCandidate } from "../policy/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import type { Random } from "../sys/random.ts";
import type { RateLimitClient } from "./rate_limit_client.ts";
import type { RoutingView } from "./routing_view.ts";
/** A backend server and its current load. */
export interface PoolServer extends ServerCandidate {
  readonly address: string;
  /** Start time of the server by its own wall clock, in milliseconds. */
  readonly bornMs: bigint;
  readonly softwareVersion: string;
  /** Whether each request needs a permission, as the server named a limit. */
  readonly isLimited: boolean;
}
/** Which servers a request may use, and with which constraints. */
export interface PermitRequest {
  readonly service: string;
  readonly kind: LoadKind;
  readonly prefix: readonly string[];
  /** Ids of servers that must not be selected, such as those already tried. */
  readonly excluded: ReadonlySet<string>;
  /** Slots of each server that this request must leave free; 0 by default. */
  readonly reserve?: number;
  /** Ids of the servers to select from; all servers of the service by default. */
  readonly allowed?: ReadonlySet<string>;
  /** Software version that the server must have; any by default. */
  readonly softwareVersion?: string;
  /** Called at each check that finds the selected server silent. */
  readonly onSilent?: () => void;
}
/** Permission to send one request to a server; counted in its load. */
export interface ServerPermit {
  readonly server: PoolServer;
  /** Monotonic time at which it was acquired, in milliseconds. */
  readonly startedMs: number;
  /** Releases the permit. Further calls have no effect. */
  release(): void;
}
/** Options of a {@linkcode ServerPool}. */
export interface ServerPoolOptions {
  readonly dataCentre: string;
  readonly view: RoutingView;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Permissions for servers with a limit; without it, limits are not kept. */
  readonly rateLimits?: RateLimitClient;
  /** Called with a server that sends no data although requests wait there. */
  readonly onSuspect?: (server: string) => void;
  /** Called when a request is sent to a server that has no free slot. */
  readonly onQueued?: () => void;
}
/** The backend servers that one process sends requests to, and their loads. */
export declare class ServerPool {
  #private;
  readonly loads: LoadTracker;
  constructor(options: ServerPoolOptions);
  close(): void;
  /** Records that data arrived from a server, and resets its backoff. */
  recordActivity(server: string): void;
  /**
   * Returns the servers of a service that accept requests, with their loads.
   * Servers that haven't responded for a while are included only if the service
   * has no others. With `softwareVersion`, only servers of this version.
   */
  getServers(service: string, softwareVersion?: string): PoolServer[];
  /**
   * Acquires a permit for a free slot without waiting; undefined if no slot is
   * free. At a server with a limit, only a permission that was asked for in
   * advance counts; for a request of a job, one is asked for.
   */
  tryAcquire(req: PermitRequest): ServerPermit | undefined;
  /**
   * Acquires a permit for a free slot; undefined if no slot is free. Permission is
   * asked for at servers with a limit if the others are full, and may be waited
   * for.
   */
  acquire(
    req: PermitRequest,
    maxWaitMs: number,
  ): Promise<ServerPermit | undefined>;
  /**
   * Time until a server with a limit may take a request, in milliseconds;
   * undefined if no server for the request has one.
   */
  tryGetLimitedMs(req: PermitRequest): number | undefined;
  /**
   * Returns the least busy server without a limit, even if it has no free slot;
   * undefined if there is none.
   */
  tryGetLeastBusy(req: PermitRequest): PoolServer | undefined;
  /**
   * Acquires a permit for the least busy server without a limit, where the request
   * queues if no slot is free; undefined if there is none.
   */
  tryAcquireQueued(req: PermitRequest): ServerPermit | undefined;
  /** Resolves when a slot may have become free, or after `ms` milliseconds. */
  waitForChange(ms: number): Promise<void>;
  /** Wakes all waiters, in the order in which they began to wait. */
  wakeWaiters(): void;
  /**
   * Records that a server could not be reached or broke the connection, and
   * backs off from it.
   */
  recordFailure(server: string): void;
  /** Records that another server responded at this server's address. */
  recordWrongServer(server: string): void;
  /** Records the number of requests that a server reported for itself. */
  recordReportedLoad(server: string, total: number): void;
}
