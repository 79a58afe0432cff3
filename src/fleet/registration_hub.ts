/**
 * A control host's part in spreading what it knows: followers get the routes
 * and hosts when they change, and each registration that says something new,
 * at once; what was merely heard again travels once an interval.
 */
import { create } from "@bufbuild/protobuf";
import { RegistrationEffect, ServerRegistry } from "../membership/mod.ts";
import {
  type FleetUpdate,
  FleetUpdateSchema,
  type FollowRequest,
  type HostList,
  type Registration,
  type RouteTable,
} from "../schema/mod.ts";
import type { Clock, Timer } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import type { RpcStream } from "../sys/rpc.ts";
import { UPDATE_INTERVAL_MS } from "./fleet_follower.ts";

type Stream = RpcStream<FleetUpdate>;

interface Follower {
  readonly name: string;
  readonly stream: Stream;
  routesVersion: bigint;
  hostsVersion: bigint;
  /** A message waits for room; what is newer goes with the next one. */
  isFull: boolean;
  servers: Map<string, Registration>;
  heard: Set<string>;
}

/** What followers get besides backend servers. */
export interface FleetState {
  readonly routes: RouteTable;
  readonly hosts: HostList;
}

/** How a {@linkcode RegistrationHub} is made. */
export interface RegistrationHubOptions {
  /** The newest routes and hosts that this host knows. */
  readonly getState: () => FleetState;
  /** Called when a backend server said something new. */
  readonly onNews: () => void;
  readonly beatMs: number;
  readonly clock: Clock;
  readonly log: Log;
}

/** The followers of one control host. */
export class RegistrationHub {
  readonly #options: RegistrationHubOptions;
  readonly #book: ServerRegistry;
  readonly #followers = new Set<Follower>();
  #timer: Timer | undefined;

  constructor(options: RegistrationHubOptions) {
    this.#options = options;
    this.#book = new ServerRegistry({ heartbeatMs: options.beatMs });
  }

  get followerCount(): number {
    return this.#followers.size;
  }

  start(): void {
    this.#timer = this.#options.clock.startInterval(
      UPDATE_INTERVAL_MS,
      () => this.#followers.forEach((one) => this.#sendTo(one, true)),
    );
  }

  close(): void {
    this.#timer?.cancel();
  }

  /** What is known of a backend server. */
  tryGet(id: string): Registration | undefined {
    return this.#book.tryGet(id);
  }

  getAll(): Registration[] {
    return this.#book.getAll();
  }

  /** Takes what a backend server says of itself and spreads it. */
  accept(registration: Registration): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const effect = this.#book.accept(registration, nowMs);
    if (effect === RegistrationEffect.old) return;
    if (effect === RegistrationEffect.heard) {
      this.#followers.forEach((one) => one.heard.add(registration.id));
      return;
    }
    this.#options.log.info(`backend_server_${effect}`, {
      server: registration.id,
      state: registration.state,
      service: registration.service,
      address: registration.address,
      followers: this.#followers.size,
    });
    this.#options.onNews();
    this.#followers.forEach((one) => {
      one.servers.set(registration.id, registration);
      this.#sendTo(one, false);
    });
  }

  /** Sends routes and hosts that changed. */
  notifyAll(): void {
    this.#followers.forEach((one) => this.#sendTo(one, false));
  }

  /** Serves one follower until it leaves. */
  serve(req: FollowRequest, stream: Stream): Promise<void> {
    const follower: Follower = {
      name: req.follower,
      stream,
      routesVersion: req.routesVersion,
      hostsVersion: 0n,
      isFull: false,
      servers: new Map(this.#book.getAll().map((one) => [one.id, one])),
      heard: new Set(),
    };
    this.#followers.add(follower);
    this.#sendTo(follower, true);
    return new Promise((resolve) =>
      stream.onClosed(() => {
        this.#followers.delete(follower);
        resolve();
      })
    );
  }

  /** Sends what the follower lacks; `isDue` sends even when that is nothing. */
  #sendTo(follower: Follower, isDue: boolean): void {
    if (follower.isFull || follower.stream.closed) return;
    if (!isDue && !this.#lacksNews(follower)) return;
    follower.isFull = true;
    follower.stream.send(this.#takeUpdate(follower)).then(() => {
      follower.isFull = false;
      if (this.#lacksNews(follower)) this.#sendTo(follower, false);
    });
  }

  #lacksNews(follower: Follower): boolean {
    const { routes, hosts } = this.#options.getState();
    return follower.servers.size > 0 ||
      follower.routesVersion < routes.version ||
      follower.hostsVersion < hosts.version;
  }

  #takeUpdate(follower: Follower): FleetUpdate {
    const { routes, hosts } = this.#options.getState();
    const hasRoutes = routes.version > follower.routesVersion;
    const hasHosts = hosts.version > follower.hostsVersion;
    const update = create(FleetUpdateSchema, {
      routes: hasRoutes ? routes : undefined,
      hosts: hasHosts ? hosts : undefined,
      servers: [...follower.servers.values()],
      heard: [...follower.heard],
    });
    if (hasRoutes) follower.routesVersion = routes.version;
    if (hasHosts) follower.hostsVersion = hosts.version;
    follower.servers.clear();
    follower.heard.clear();
    return update;
  }
}
