/**
 * Publishes a control host's state to its followers. Changed routes, hosts and
 * registrations are sent at once. For registrations without changes, only the
 * servers' ids are sent, once per interval.
 */
import { create } from "@bufbuild/protobuf";
import {
  getServerStart,
  PromptPartSuspicions,
  RegistrationEffect,
  ServerLimits,
  ServerRegistry,
  SoftwareVersions,
  tryFindRegistrationError,
} from "../membership/mod.ts";
import {
  type FindSoftwareVersionsReply,
  type FleetUpdate,
  FleetUpdateSchema,
  type FollowRequest,
  type GatewayReport,
  type HostList,
  type PromptPartSuspicion,
  type Registration,
  type RouteTable,
  type ServerContact,
  ServerContactSchema,
  type ServerStart,
  ServerStartSchema,
  type Suspicion,
} from "../schema/mod.ts";
import type { Clock, Timer } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";
import type { RpcStream } from "../sys/rpc.ts";
import { logRejection } from "../sys/unexpected_errors.ts";
import { UPDATE_INTERVAL_MS } from "./fleet_follower.ts";
import { createSuspicions } from "./routing_view.ts";
import { removeUnencodableParts } from "./update_parts.ts";

/** Longest time without contact that is told, in milliseconds. */
const MAX_SILENT_MS = 86_400_000;

type Stream = RpcStream<FleetUpdate>;

interface Follower {
  readonly name: string;
  readonly stream: Stream;
  routesVersion: bigint;
  hostsVersion: bigint;
  /** Whether a send is in progress; newer changes go into the next update. */
  isSending: boolean;
  pendingServers: Map<string, Registration>;
  /** Ids of servers that registered again without changes. */
  pendingHeardIds: Set<string>;
  /** Suspicions to send, by fingerprint. */
  pendingSuspicions: Map<string, Suspicion>;
  /** Suspect parts of prompts to send, by key. */
  pendingPromptParts: Map<string, PromptPartSuspicion>;
  /** Servers that leave, by start. */
  pendingLeaving: Map<string, ServerStart>;
  /** Servers whose limit has changed, by start. */
  pendingLimits: Map<string, ServerStart>;
}

/** State that followers receive in addition to backend servers. */
export interface FleetState {
  readonly routes: RouteTable;
  readonly hosts: HostList;
}

/** Options of a {@linkcode RegistrationHub}. */
export interface RegistrationHubOptions {
  /** Returns the newest routes and hosts that this host knows. */
  readonly getState: () => FleetState;
  /** Returns the servers that the group has recorded as leaving; none by default. */
  readonly getLeft?: () => readonly ServerStart[];
  /** Returns the time since the group's leader confirmed the state. */
  readonly getStateAgeMs?: () => number;
  /** Called when a backend server is new, has changed or is heard to leave. */
  readonly onServerChange: () => void;
  /** Interval at which backend servers register, in milliseconds. */
  readonly registrationIntervalMs: number;
  /** Longest duration of a stream, in milliseconds; see SoftwareVersions. */
  readonly maxStreamMs?: number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Time without a registration after which a server is forgotten, in milliseconds.
 * Servers register every few seconds, but perhaps at another control host.
 */
const RETENTION_MS = 10 * 60_000;

/**
 * Time without a registration after which the whole of an unchanged one is sent
 * again, in milliseconds. It must be shorter than the time for which followers
 * keep a server.
 */
const RESEND_MS = 60_000;

/** Maximum number of servers; exceeds those of a large fleet. */
const MAX_SERVERS = 8_192;

/** Keeps the registry of backend servers and publishes it to followers. */
export class RegistrationHub {
  readonly #options: RegistrationHubOptions;
  readonly #serverRegistry: ServerRegistry;
  readonly #suspicions = createSuspicions();
  readonly #promptParts = new PromptPartSuspicions();
  readonly #limits = new ServerLimits();
  readonly #softwareVersions: SoftwareVersions;
  readonly #followers = new Set<Follower>();
  #updateTimer: Timer | undefined;

  constructor(options: RegistrationHubOptions) {
    this.#options = options;
    this.#serverRegistry = new ServerRegistry({
      heartbeatMs: options.registrationIntervalMs,
      retentionMs: RETENTION_MS,
      maxServers: MAX_SERVERS,
      onForgotten: ({ id, service, address }) => {
        options.log.info("backend_server_forgotten", {
          server: id,
          service,
          address,
        });
        options.onServerChange();
      },
    });
    const { maxStreamMs } = options;
    this.#softwareVersions = new SoftwareVersions({
      startMs: options.clock.getMonotonicMs(),
      ...maxStreamMs === undefined ? {} : { maxStreamMs },
    });
  }

  get followerCount(): number {
    return this.#followers.size;
  }

  start(): void {
    this.#updateTimer = this.#options.clock.startInterval(
      UPDATE_INTERVAL_MS,
      () =>
        this.#followers.forEach((follower) => this.#sendUpdate(follower, true)),
    );
  }

  close(): void {
    this.#updateTimer?.cancel();
  }

  /** Registration of a backend server; undefined if it is unknown. */
  tryGet(id: string): Registration | undefined {
    return this.#serverRegistry.tryGet(id);
  }

  getAll(): Registration[] {
    return this.#serverRegistry.getAll();
  }

  /** Servers that leave: those registered here, and those that the group recorded. */
  getLeaving(): ServerStart[] {
    const registered = this.#serverRegistry.getAll()
      .filter((server) => this.#serverRegistry.isLeaving(server))
      .map(({ id, bornMs }) => create(ServerStartSchema, { id, bornMs }));
    const { getLeft = () => [] } = this.#options;
    return [...getLeft(), ...registered];
  }

  /** Accepts that a server leaves, from the group or from before a restart. */
  recordLeaving(server: ServerStart): void {
    this.acceptReport({
      suspicions: [],
      leaving: [server],
      promptParts: [],
      limits: [],
    });
  }

  /** Software versions of a service's servers that registered here lately. */
  findSoftwareVersions(
    service: string,
  ): Omit<FindSoftwareVersionsReply, "$typeName"> {
    const nowMs = this.#options.clock.getMonotonicMs();
    return {
      versions: this.#softwareVersions.getRecent(service, nowMs),
      complete: this.#softwareVersions.isComplete(nowMs),
      hostsVersion: this.#options.getState().hosts.version,
    };
  }

  /** Adds a registration that was saved before the start of this host. */
  restore(registration: Registration): void {
    if (!this.#isUsable(registration)) return;
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#softwareVersions.record(registration, nowMs);
    this.#serverRegistry.accept(registration, nowMs, { isRestored: true });
  }

  /**
   * Accepts the registration of a backend server and publishes changes. One that
   * names no usable server is ignored, wherever it comes from.
   */
  accept(registration: Registration): void {
    if (!this.#isUsable(registration)) return;
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#softwareVersions.record(registration, nowMs);
    const isOverdue = this.#serverRegistry
      .isOverdue(registration.id, nowMs, RESEND_MS);
    const effect = this.#serverRegistry.accept(registration, nowMs);
    if (effect === RegistrationEffect.old) return;
    if (effect === RegistrationEffect.refused) {
      this.#options.log.warn("registration_ignored", {
        server: registration.id,
        reason: `${MAX_SERVERS} servers are registered already`,
      });
      return;
    }
    if (effect === RegistrationEffect.heard) {
      const start = getServerStart(registration);
      this.#suspicions.recordHeartbeat(start, nowMs);
      this.#promptParts.recordHeartbeat(start, nowMs);
      this.#followers.forEach((follower) => {
        follower.pendingHeardIds.add(registration.id);
        // Followers may have forgotten the server meanwhile.
        if (!isOverdue) return;
        follower.pendingServers.set(registration.id, registration);
        this.#sendUpdate(follower, false);
      });
      return;
    }
    this.#options.log.info(`backend_server_${effect}`, {
      server: registration.id,
      state: registration.state,
      service: registration.service,
      version: registration.softwareVersion,
      address: registration.address,
      followers: this.#followers.size,
    });
    this.#options.onServerChange();
    this.#followers.forEach((follower) => {
      follower.pendingServers.set(registration.id, registration);
      this.#sendUpdate(follower, false);
    });
  }

  #isUsable(registration: Registration): boolean {
    const reason = tryFindRegistrationError(registration);
    if (reason === undefined) return true;
    this.#options.log.warn("registration_ignored", {
      server: registration.id,
      reason,
    });
    return false;
  }

  /** Accepts what another process found out, and passes on what is new. */
  acceptReport(
    report: Pick<
      GatewayReport,
      "suspicions" | "leaving" | "promptParts" | "limits"
    >,
  ): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#suspicions.removeExpired(nowMs);
    this.#promptParts.removeExpired(nowMs);
    const suspicions = report.suspicions.filter((update) =>
      this.#suspicions.merge(update, nowMs)
    );
    const leaving = report.leaving.filter((server) =>
      this.#serverRegistry.recordLeaving(server)
    );
    if (leaving.length > 0) this.#options.onServerChange();
    const promptParts = report.promptParts.filter((update) =>
      this.#promptParts.merge(update, nowMs)
    ).map(({ part }) => this.#promptParts.getUpdate(part, nowMs));
    const limited = report.limits
      .filter((update) => this.#limits.merge(update, nowMs))
      .flatMap(({ server }) => server === undefined ? [] : [server]);
    const findings = [suspicions, leaving, promptParts, limited];
    if (findings.every((list) => list.length === 0)) return;
    // Several gateways may have reported crashes during the same request.
    const merged = suspicions.map(({ fingerprint }) =>
      this.#suspicions.getUpdate(fingerprint, nowMs)
    );
    this.#followers.forEach((follower) => {
      merged.forEach((update) =>
        follower.pendingSuspicions.set(update.fingerprint, update)
      );
      promptParts.forEach((update) =>
        follower.pendingPromptParts.set(update.part, update)
      );
      leaving.forEach((server) =>
        follower.pendingLeaving.set(getServerStart(server), server)
      );
      limited.forEach((server) =>
        follower.pendingLimits.set(getServerStart(server), server)
      );
      this.#sendUpdate(follower, false);
    });
  }

  /** Sends pending changes to all followers. */
  sendChanges(): void {
    this.#followers.forEach((follower) => this.#sendUpdate(follower, false));
  }

  /** Serves one follower until its stream closes. */
  serve(req: FollowRequest, stream: Stream): Promise<void> {
    const nowMs = this.#options.clock.getMonotonicMs();
    const follower: Follower = {
      name: req.follower,
      stream,
      routesVersion: req.routesVersion,
      hostsVersion: 0n,
      isSending: false,
      pendingServers: new Map(
        this.#serverRegistry.getAll().map((server) => [server.id, server]),
      ),
      pendingHeardIds: new Set(),
      pendingSuspicions: new Map(
        this.#suspicions.getAll(nowMs)
          .map((suspicion) => [suspicion.fingerprint, suspicion]),
      ),
      pendingPromptParts: new Map(
        this.#promptParts.getAll(nowMs).map((update) => [update.part, update]),
      ),
      pendingLeaving: new Map(
        this.getLeaving().map((server) => [getServerStart(server), server]),
      ),
      pendingLimits: new Map(
        this.#limits.getAll(nowMs)
          .flatMap(({ server }) => server === undefined ? [] : [server])
          .map((server) => [getServerStart(server), server]),
      ),
    };
    this.#followers.add(follower);
    this.#sendUpdate(follower, true);
    return new Promise((resolve) =>
      stream.onClosed(() => {
        this.#followers.delete(follower);
        resolve();
      })
    );
  }

  /** Sends pending changes; a periodic update is sent even if it is empty. */
  #sendUpdate(follower: Follower, isPeriodic: boolean): void {
    if (follower.isSending || follower.stream.closed) return;
    if (!isPeriodic && !this.#hasPendingUpdate(follower)) return;
    follower.isSending = true;
    const sent = this.#send(follower, this.#takePendingUpdate(follower))
      .finally(() => {
        follower.isSending = false;
      })
      .then(() => {
        if (this.#hasPendingUpdate(follower)) this.#sendUpdate(follower, false);
      });
    logRejection(sent, this.#options.log, `update to ${follower.name}`);
  }

  /** Sends an update; parts that cannot be encoded don't keep back the others. */
  async #send(follower: Follower, update: FleetUpdate): Promise<void> {
    const { log, metrics } = this.#options;
    try {
      await follower.stream.send(update);
    } catch (error) {
      metrics.count(MetricName.updatesNotSent);
      log.error("update_not_sent", {
        follower: follower.name,
        reason: getReason(error),
      });
      const rest = removeUnencodableParts(
        update,
        (part, reason) =>
          log.error("update_part_left_out", { ...part, reason }),
      );
      await follower.stream.send(rest).catch((lastError) =>
        log.error("update_dropped", {
          follower: follower.name,
          reason: getReason(lastError),
        })
      );
    }
  }

  #hasPendingUpdate(follower: Follower): boolean {
    const { routes, hosts } = this.#options.getState();
    return follower.pendingServers.size > 0 ||
      follower.pendingSuspicions.size > 0 ||
      follower.pendingPromptParts.size > 0 ||
      follower.pendingLeaving.size > 0 ||
      follower.pendingLimits.size > 0 ||
      follower.routesVersion < routes.version ||
      follower.hostsVersion < hosts.version;
  }

  #getContacts(
    servers: readonly Registration[],
    nowMs: number,
  ): ServerContact[] {
    return servers.flatMap(({ id }) => {
      const age = this.#serverRegistry.tryGetContactAge(id, nowMs);
      if (age === undefined) return [];
      const { silentMs, isRestored: restored } = age;
      return silentMs < UPDATE_INTERVAL_MS && !restored
        ? []
        : [create(ServerContactSchema, {
          id,
          silentMs: Math.min(MAX_SILENT_MS, Math.round(silentMs)),
          restored,
        })];
    });
  }

  #takePendingUpdate(follower: Follower): FleetUpdate {
    const { getStateAgeMs = () => 0 } = this.#options;
    const { routes, hosts } = this.#options.getState();
    const nowMs = this.#options.clock.getMonotonicMs();
    const hasRoutes = routes.version > follower.routesVersion;
    const hasHosts = hosts.version > follower.hostsVersion;
    const servers = [...follower.pendingServers.values()];
    const update = create(FleetUpdateSchema, {
      routes: hasRoutes ? routes : undefined,
      hosts: hasHosts ? hosts : undefined,
      stateAgeMs: Math.min(MAX_SILENT_MS, Math.round(getStateAgeMs())),
      servers,
      contacts: this.#getContacts(servers, nowMs),
      heard: [...follower.pendingHeardIds],
      suspicions: [...follower.pendingSuspicions.values()],
      leaving: [...follower.pendingLeaving.values()],
      promptParts: [...follower.pendingPromptParts.values()],
      limits: [...follower.pendingLimits.values()]
        .map((server) => this.#limits.getUpdate(server, nowMs)),
    });
    if (hasRoutes) follower.routesVersion = routes.version;
    if (hasHosts) follower.hostsVersion = hosts.version;
    follower.pendingServers.clear();
    follower.pendingHeardIds.clear();
    follower.pendingSuspicions.clear();
    follower.pendingPromptParts.clear();
    follower.pendingLeaving.clear();
    follower.pendingLimits.clear();
    return update;
  }
}
