/**
 * What one process knows of the fleet: the routes in force, the hosts with
 * replicated state and the backend servers. It only ever moves forward.
 */
import { create } from "@bufbuild/protobuf";
import { RegistrationEffect, ServerRegistry } from "../membership/mod.ts";
import { RouteIndex } from "../policy/mod.ts";
import {
  type FleetUpdate,
  type HostList,
  HostListSchema,
  HostRole,
  ServerState,
} from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import { getReplicaAddress } from "./host_identity.ts";

/** How a {@linkcode RoutingView} is made. */
export interface RoutingViewOptions {
  readonly registrationIntervalMs: number;
  readonly clock: Clock;
  readonly log: Log;
}

/** The view of one process. */
export class RoutingView {
  readonly #options: RoutingViewOptions;
  readonly servers: ServerRegistry;
  readonly #listeners = new Set<() => void>();
  #routes: RouteIndex | undefined;
  #hosts: HostList = create(HostListSchema);

  constructor(options: RoutingViewOptions) {
    this.#options = options;
    this.servers = new ServerRegistry({
      heartbeatMs: options.registrationIntervalMs,
    });
  }

  /** The routes in force; undefined before the first are known. */
  get routes(): RouteIndex | undefined {
    return this.#routes;
  }

  get routesVersion(): bigint {
    return this.#routes?.table.version ?? 0n;
  }

  get hosts(): HostList {
    return this.#hosts;
  }

  /** Addresses of the hosts with a role. */
  getAddresses(role: HostRole): string[] {
    return this.#hosts.hosts.filter((host) => host.role === role)
      .map((host) => host.address);
  }

  /** Addresses of the store's members, or of all store hosts before. */
  getStoreAddresses(): string[] {
    const members = this.#hosts.storeNow?.ids ?? [];
    return members.length > 0
      ? members.map(getReplicaAddress)
      : this.getAddresses(HostRole.STORE);
  }

  /** Calls `listener` after each change. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Takes an update of a control host. */
  applyUpdate(update: FleetUpdate, from: string): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.servers.recordControlHeard(nowMs);
    update.heard.forEach((id) => this.servers.recordHeard(id, nowMs));
    const changes = [
      this.#applyRoutes(update, from),
      this.#applyHosts(update),
      ...update.servers.map((server) => this.#applyServer(server, from, nowMs)),
    ];
    if (changes.includes(true)) this.#notify();
  }

  #notify(): void {
    this.#listeners.forEach((listener) => listener());
  }

  #applyRoutes(update: FleetUpdate, from: string): boolean {
    const { routes } = update;
    if (routes === undefined || routes.version <= this.routesVersion) {
      return false;
    }
    this.#options.log.info("routes_in_force", {
      version: Number(routes.version),
      before: Number(this.routesVersion),
      routes: routes.routes.length,
      from,
    });
    this.#routes = new RouteIndex(routes);
    return true;
  }

  #applyHosts(update: FleetUpdate): boolean {
    const { hosts } = update;
    if (hosts === undefined || hosts.version <= this.#hosts.version) {
      return false;
    }
    this.#hosts = hosts;
    this.#options.log.info("hosts_known", {
      version: Number(hosts.version),
      hosts: hosts.hosts.map((host) => host.id).join(),
    });
    return true;
  }

  #applyServer(
    server: FleetUpdate["servers"][number],
    from: string,
    nowMs: number,
  ): boolean {
    const effect = this.servers.accept(server, nowMs);
    const hasChanged = effect === RegistrationEffect.added ||
      effect === RegistrationEffect.changed;
    if (!hasChanged) return false;
    this.#options.log.info("backend_server", {
      server: server.id,
      state: ServerState[server.state] ?? server.state,
      service: server.service,
      address: server.address,
      sequence: Number(server.sequence),
      from,
    });
    return true;
  }
}
