/**
 * One process's view of the fleet: the current routes, the hosts with replicated
 * state and the backend servers. Updates that are older than the view are
 * ignored, so it never reverts to an earlier version.
 */
import { create } from "@bufbuild/protobuf";
import {
  getServerStart,
  PromptPartSuspicions,
  RegistrationEffect,
  ServerLimits,
  ServerRegistry,
  Suspicions,
  tryFindRegistrationError,
} from "../membership/mod.ts";
import type { RouteIndex } from "../policy/mod.ts";
import {
  type FleetUpdate,
  type HostList,
  HostListSchema,
  HostRole,
  type PromptPartSuspicion,
  type Registration,
  type ServerContact,
  type ServerLimit,
  ServerState,
  type Suspicion,
} from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import { SuspensionDetector } from "../sys/suspension_detector.ts";
import { getReplicaAddress } from "./host_identity.ts";
import { KnownRoutes, type KnownRoutesOptions } from "./known_routes.ts";

/** Options of a {@linkcode RoutingView}. */
export interface RoutingViewOptions {
  /** Interval at which backend servers register, in milliseconds. */
  readonly registrationIntervalMs: number;
  /** See {@linkcode KnownRoutes}. */
  readonly upgradeRoutes?: KnownRoutesOptions["upgradeRoutes"];
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Time for which a suspicion is kept after the last crash, in milliseconds. It
 * exceeds the longest time for which a request is rejected.
 */
const SUSPICION_RETENTION_MS = 15 * 60_000;

/**
 * Crashes at which a request is rejected while other servers crash too: more
 * than a caller's first try and its attempts are likely to meet by chance.
 */
const MAX_CORRELATED_CRASHES = 4;

/**
 * Time without contact after which a server is forgotten, in milliseconds:
 * longer than the time after which control hosts send whole registrations again.
 */
const SERVER_RETENTION_MS = 30 * 60_000;

/** Maximum number of servers: those of three control hosts and more. */
const MAX_SERVERS = 32_768;

/** Creates the record of the requests during which servers crashed. */
export function createSuspicions(): Suspicions {
  return new Suspicions({
    retentionMs: SUSPICION_RETENTION_MS,
    maxCorrelatedFailures: MAX_CORRELATED_CRASHES,
  });
}

/**
 * Called after a change of a backend server. `isStart` is true if the server, or
 * this start of it, was not known before.
 */
export type ServerChangeListener = (
  server: Registration,
  isStart: boolean,
) => void;

/** Routes, hosts and backend servers as one process knows them. */
export class RoutingView {
  readonly #options: RoutingViewOptions;
  readonly servers: ServerRegistry;
  readonly suspicions = createSuspicions();
  readonly promptParts = new PromptPartSuspicions();
  readonly limits = new ServerLimits();
  readonly #listeners = new Set<() => void>();
  readonly #serverListeners = new Set<ServerChangeListener>();
  readonly #suspensionDetector: SuspensionDetector;
  /** Whether the process may have been suspended since the last update. */
  #wasSuspended = false;
  readonly #routes: KnownRoutes;
  #hosts: HostList = create(HostListSchema);

  constructor(options: RoutingViewOptions) {
    this.#options = options;
    this.#routes = new KnownRoutes(options);
    this.#suspensionDetector = new SuspensionDetector(options.clock);
    this.servers = new ServerRegistry({
      heartbeatMs: options.registrationIntervalMs,
      retentionMs: SERVER_RETENTION_MS,
      maxServers: MAX_SERVERS,
      onForgotten: ({ id, service, address }) =>
        options.log.info("backend_server_forgotten", {
          server: id,
          service,
          address,
        }),
    });
  }

  /** The current routes; undefined until the first ones have been received. */
  get routes(): RouteIndex | undefined {
    return this.#routes.index;
  }

  get routesVersion(): bigint {
    return this.#routes.version;
  }

  get hosts(): HostList {
    return this.#hosts;
  }

  /** Returns the addresses of all hosts with the given role. */
  getAddresses(role: HostRole): string[] {
    return this.#hosts.hosts.filter((host) => host.role === role)
      .map((host) => host.address);
  }

  /**
   * Returns the addresses of the store group's members, or of all store hosts
   * while the members aren't known.
   */
  getStoreAddresses(): string[] {
    const members = this.#hosts.storeNow?.ids ?? [];
    return members.length > 0
      ? members.map(getReplicaAddress)
      : this.getAddresses(HostRole.STORE);
  }

  /** Returns the data centre of the host at an address; empty if unknown. */
  getDataCentre(address: string): string {
    return this.#hosts.hosts.find((host) => host.address === address)
      ?.dataCentre ?? "";
  }

  /**
   * Time since a control host was heard of, in milliseconds; Infinity before the
   * first time, and since a possible suspension, which the clock does not count.
   */
  getControlSilentMs(): number {
    if (this.#suspensionDetector.check()) this.#wasSuspended = true;
    return this.#wasSuspended
      ? Infinity
      : this.servers.getControlSilentMs(this.#options.clock.getMonotonicMs());
  }

  /**
   * Time since the leader of the control group confirmed the routes, in
   * milliseconds; Infinity as for `getControlSilentMs`. Control hosts that are cut off
   * from their group don't count.
   */
  getRoutesAgeMs(): number {
    return this.getControlSilentMs() === Infinity
      ? Infinity
      : this.#routes.getAgeMs();
  }

  /** Calls `listener` after each change. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Calls `listener` after each change of a backend server. */
  onServerChange(listener: ServerChangeListener): void {
    this.#serverListeners.add(listener);
  }

  /**
   * Records that a server said in a response that it leaves; returns whether
   * this was not known. `from` is where this was heard.
   */
  recordLeaving(server: { id: string; bornMs: bigint }, from: string): boolean {
    if (!this.servers.recordLeaving(server)) return false;
    this.#options.log.info("backend_server_leaves", {
      server: server.id,
      born: Number(server.bornMs),
      from,
    });
    this.#notify();
    return true;
  }

  /**
   * Records the limit in a response to a request sent at `sentMs`; undefined if it
   * named none. Returns whether other processes should be told.
   */
  recordLimit(
    server: { id: string; bornMs: bigint },
    limitPerS: number | undefined,
    sentMs: number,
  ): boolean {
    const nowMs = this.#options.clock.getMonotonicMs();
    const times = { sentMs, nowMs };
    if (!this.limits.recordResponse(server, limitPerS, times)) return false;
    this.#logLimit(server, "response");
    return true;
  }

  #applyLimit(update: ServerLimit, from: string, nowMs: number): void {
    if (update.server === undefined) return;
    if (this.limits.merge(update, nowMs)) this.#logLimit(update.server, from);
  }

  #logLimit(server: { id: string; bornMs: bigint }, from: string): void {
    this.#options.log.info("backend_server_limit", {
      server: server.id,
      born: Number(server.bornMs),
      limit_per_s: this.limits.tryGet(server) ?? "none",
      from,
    });
    this.#notify();
  }

  /**
   * Applies an update from the control host at address `from`. Returns what this
   * process knows against suspicions in it.
   */
  applyUpdate(update: FleetUpdate, from: string): PromptPartSuspicion[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.servers.recordControlContact(nowMs);
    if (this.#suspensionDetector.check() || this.#wasSuspended) {
      this.#routes.forgetConfirmation();
    }
    this.#wasSuspended = false;
    update.heard.forEach((id) => this.#recordHeartbeat(id, nowMs));
    this.#applySuspicions(update.suspicions, from, nowMs);
    const refutations = this.#applyPromptParts(update.promptParts, from, nowMs);
    update.leaving.forEach((server) => this.recordLeaving(server, from));
    update.limits.forEach((limit) => this.#applyLimit(limit, from, nowMs));
    const contacts = new Map(
      update.contacts.map((contact) => [contact.id, contact] as const),
    );
    const changes = [
      this.#routes.apply(update.routes, from),
      this.#applyHosts(update),
      ...update.servers.map((server) =>
        this.#applyServer(server, contacts.get(server.id), from)
      ),
    ];
    this.#routes.recordConfirmation(update.stateAgeMs ?? 0);
    if (changes.includes(true)) this.#notify();
    return refutations;
  }

  #recordHeartbeat(id: string, nowMs: number): void {
    this.servers.recordHeartbeat(id, nowMs);
    const known = this.servers.tryGet(id);
    if (known === undefined) return;
    const start = getServerStart(known);
    if (!this.suspicions.isEmpty) this.suspicions.recordHeartbeat(start, nowMs);
    if (!this.promptParts.isEmpty) {
      this.promptParts.recordHeartbeat(start, nowMs);
    }
  }

  #applyPromptParts(
    updates: readonly PromptPartSuspicion[],
    from: string,
    nowMs: number,
  ): PromptPartSuspicion[] {
    this.promptParts.removeExpired(nowMs);
    return updates.flatMap((update) => {
      const canRefute = this.promptParts.canRefute(update, nowMs);
      if (this.promptParts.merge(update, nowMs)) {
        this.#options.log.info("prompt_part_received", {
          part: update.part,
          crashes: this.promptParts.getCrashCount(update.part),
          proof_idle_ms: update.proofIdleMs ?? -1,
          rejected_ms: this.promptParts.getRejectionMs([update.part], nowMs),
          from,
        });
      }
      return canRefute ? [this.promptParts.getUpdate(update.part, nowMs)] : [];
    });
  }

  #applySuspicions(
    suspicions: readonly Suspicion[],
    from: string,
    nowMs: number,
  ): void {
    this.suspicions.removeExpired(nowMs);
    suspicions.filter((update) => this.suspicions.merge(update, nowMs))
      .forEach(({ fingerprint, cleared }) =>
        this.#options.log.info("suspicion_received", {
          fingerprint,
          cleared,
          crashes: this.suspicions.getServerFailureCount(fingerprint),
          rejected_ms: this.suspicions.getRejectionMs(fingerprint, nowMs),
          from,
        })
      );
  }

  #notify(): void {
    this.#listeners.forEach((listener) => listener());
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
    server: Registration,
    contact: ServerContact | undefined,
    from: string,
  ): boolean {
    // Control hosts of older builds pass on what this one's refuse.
    const reason = tryFindRegistrationError(server);
    if (reason !== undefined) {
      this.#options.log.warn("registration_ignored", {
        server: server.id,
        reason,
        from,
      });
      return false;
    }
    const nowMs = this.#options.clock.getMonotonicMs();
    const effect = this.servers.accept(server, nowMs, {
      silentMs: contact?.silentMs ?? 0,
      isRestored: contact?.restored ?? false,
    });
    if (effect === RegistrationEffect.refused) {
      this.#options.log.warn("registration_ignored", {
        server: server.id,
        reason: `${MAX_SERVERS} servers are known already`,
        from,
      });
    }
    const hasChanged = effect === RegistrationEffect.added ||
      effect === RegistrationEffect.changed;
    if (!hasChanged) return false;
    const isStart = effect === RegistrationEffect.added;
    this.#serverListeners.forEach((listener) => listener(server, isStart));
    this.#options.log.info("backend_server", {
      server: server.id,
      state: ServerState[server.state] ?? server.state,
      service: server.service,
      version: server.softwareVersion,
      address: server.address,
      sequence: Number(server.sequence),
      from,
    });
    return true;
  }
}
