/**
 * A control host: a replica of the fleet group, the registry of backend
 * servers, and the streams that publish both to all other processes.
 */
import { create, fromBinary } from "@bufbuild/protobuf";
import {
  getRequiredVoters,
  selectInitialMembers,
  tryFindRouteTableError,
} from "../policy/mod.ts";
import {
  Fleet,
  type FleetReply,
  FleetReplySchema,
  type FleetSettings,
  type FleetUpdate,
  FleetUpdateSchema,
  HostRole,
  type Membership,
  MessageCode,
  type Registration,
  type RouteTable,
  StoreMembersSchema,
  Verdict,
} from "../schema/mod.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import type { StateClient } from "../services/common/state_client.ts";
import { createUnsettledRefusalError } from "../services/common/state_errors.ts";
import { FleetMachine } from "../state/mod.ts";
import type { Timer } from "../sys/clock.ts";
import { getReason, ServingError } from "../sys/errors.ts";
import type { Folder } from "../sys/files.ts";
import { DepartureRecorder } from "./departure_recorder.ts";
import { FLEET_GROUP } from "./groups.ts";
import { GroupMember } from "./group_member.ts";
import { HostAdmission } from "./host_admission.ts";
import { getReplicaAddress, openFounderIdentity } from "./host_identity.ts";
import { LastViewWriter, tryReadLastView } from "./last_view.ts";
import {
  type FleetState,
  RegistrationHub,
  type RegistrationHubOptions,
} from "./registration_hub.ts";
import { StateAge } from "./state_age.ts";
import { encodeFleetCommand, StateHostProcess } from "./state_process.ts";

/**
 * Timeout of a commit on behalf of an operator, in milliseconds: shorter than
 * one second, after which the operator's client tries another host.
 */
const OPERATOR_TIMEOUT_MS = 900;

/** Interval between attempts to form the store group, in milliseconds. */
const STORE_FORMATION_CHECK_INTERVAL_MS = 250;

/**
 * Time for store hosts to register before the store group is formed, in
 * milliseconds. It starts when the leader sees the first store host.
 */
const STORE_REGISTRATION_WINDOW_MS = 1_000;

/** Options of a {@linkcode ControlHost}. */
export type ControlHostOptions = Pick<RegistrationHubOptions, "maxStreamMs">;

/** A running control host. */
export class ControlHost {
  readonly #settings: FleetSettings;
  readonly #context: ProcessContext;
  readonly #process: StateHostProcess;
  readonly #machine: FleetMachine;
  readonly #registrationHub: RegistrationHub;
  readonly #fleetClient: StateClient;
  readonly #departures: DepartureRecorder;
  #member: GroupMember | undefined;
  /** Fleet state that was saved before the last restart. */
  #lastView: FleetUpdate | undefined;
  #lastViewWriter: LastViewWriter | undefined;
  #storeFormationTimer: Timer | undefined;
  #firstStoreSeenMs: number | undefined;
  #seeds: readonly string[];
  #stopping = false;
  /** Called once if the replica fails and cannot continue. */
  onFailure: (error: unknown) => void = () => {};

  constructor(
    settings: FleetSettings,
    context: ProcessContext,
    options: ControlHostOptions = {},
  ) {
    this.#settings = settings;
    this.#seeds = settings.seeds;
    this.#context = context;
    this.#machine = new FleetMachine({
      minStoreHosts: getRequiredVoters(settings.lostHosts ?? 0),
      onServerLeft: (server) => this.#registrationHub.recordLeaving(server),
    });
    this.#process = new StateHostProcess({
      settings,
      context,
      getMember: () => this.#member,
    });
    const stateAge = new StateAge({
      isCaughtUp: () => this.#member?.replica.isCaughtUp() === true,
      clock: context.clock,
    });
    this.#registrationHub = new RegistrationHub({
      getState: () => this.#getState(),
      getLeft: () => this.#machine.left,
      getStateAgeMs: () => stateAge.getMs(),
      onServerChange: () => this.#lastViewWriter?.scheduleWrite(),
      registrationIntervalMs: settings.beatMs ?? 0,
      ...options,
      clock: context.clock,
      log: context.log,
      metrics: context.metrics,
    });
    this.#fleetClient = this.#process.createFleetClient(
      () => this.#getControlAddresses(),
      () => this.#member?.getLeaderAddress(),
    );
    this.#departures = new DepartureRecorder({
      fleetClient: this.#fleetClient,
      isRecorded: (server) => this.#machine.hasLeft(server),
      save: async () => await this.#lastViewWriter?.flush(),
      log: context.log,
    });
  }

  /** Whether the replica knows a leader and the host is not stopping. */
  get isReady(): boolean {
    return !this.#stopping && (this.#member?.replica.leader ?? "") !== "";
  }

  async start(): Promise<void> {
    const { server } = this.#process;
    // The port keeps others from the data folder, so it is opened first.
    await this.#process.listen();
    const folder = await this.#process.openFolder();
    const { id, members } = await openFounderIdentity(folder, {
      address: this.#process.address,
      seeds: this.#settings.seeds,
      firstStart: this.#settings.firstStart === true,
      random: this.#context.random,
      log: this.#context.log,
    });
    await this.#openLastView(folder);
    this.#member = await this.#createMember(folder, id, members);
    // The log tells of servers that leave, which the last view may have as ready.
    await this.#member.start();
    // Followers ask again until there is a view to follow.
    server.addService(Fleet, {
      follow: (req, stream) => this.#registrationHub.serve(req, stream),
      report: (report) => {
        this.#registrationHub.acceptReport(report);
        return Promise.resolve({});
      },
      findSoftwareVersions: ({ service }) =>
        Promise.resolve(this.#registrationHub.findSoftwareVersions(service)),
    });
    this.#registrationHub.start();
    this.#storeFormationTimer = this.#context.clock.startInterval(
      STORE_FORMATION_CHECK_INTERVAL_MS,
      () => this.#tryFormStore(),
    );
    this.#process.registerHost(
      this.#fleetClient,
      id,
      HostRole.CONTROL,
      () => this.#stopping,
    ).catch((error) => this.onFailure(error));
  }

  /** Replaces the seed addresses of control hosts. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
  }

  /** Transfers leadership and stops. */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    this.#storeFormationTimer?.cancel();
    await this.#member?.stop();
    this.#registrationHub.close();
    await this.#lastViewWriter?.close();
    this.#fleetClient.close();
    this.#process.server.close();
  }

  /**
   * Commits a route table. Resolves once the table is durable on a quorum. A
   * table that is not newer than the current one has no effect.
   *
   * Throws ROUTES_INVALID (not run), or STATE_UNREACHABLE (may have run).
   */
  async putRoutes(table: RouteTable): Promise<void> {
    const reason = tryFindRouteTableError(table);
    if (reason !== undefined) {
      throw new ServingError(MessageCode.ROUTES_INVALID, {
        verdict: Verdict.NOT_RUN,
        parameters: { reason },
      });
    }
    const command = encodeFleetCommand({ case: "putRoutes", value: table });
    const { version } = await this.#proposeForOperator(command);
    this.#context.log.info("routes_committed", {
      version: Number(table.version),
      in_force: Number(version),
    });
  }

  /**
   * Reads the newest route table; its version is 0 if none exists yet. The read
   * is linearizable: a quorum confirms after the call began that no newer table
   * was acknowledged.
   */
  async readRoutes(): Promise<RouteTable> {
    return (await this.#readState()).routes;
  }

  /**
   * Retires a store host; its replica moves to another host.
   *
   * Throws UNKNOWN_HOST or TOO_FEW_HOSTS (not run), or STATE_UNREACHABLE (may
   * have run).
   */
  async retireHost(name: string): Promise<void> {
    const command = encodeFleetCommand({ case: "retireHost", value: name });
    const { code, mayRunLater } = await this.#proposeForOperator(command);
    this.#context.log.info("host_retires", { host: name, code });
    if (code === 0) return;
    if (mayRunLater) throw createUnsettledRefusalError();
    throw new ServingError(code, {
      verdict: Verdict.NOT_RUN,
      parameters: { host: name },
    });
  }

  /**
   * Whether a retired host is no longer a member of the store group, so that its
   * data is not needed any more. Throws UNKNOWN_HOST if no host of that name was
   * retired.
   */
  async isRetired(name: string): Promise<boolean> {
    // The host's disk is removed once this returns true, so the read must be
    // linearizable.
    const { hosts, retired, storeNow } = (await this.#readState()).hosts;
    const host = hosts.find((candidate) => candidate.name === name);
    if (host === undefined || !retired.includes(host.id)) {
      throw new ServingError(MessageCode.UNKNOWN_HOST, {
        verdict: Verdict.NOT_RUN,
        parameters: { host: name },
      });
    }
    // A member at its address is the replica of a disk that it has lost.
    return storeNow !== undefined &&
      storeNow.ids.every((id) => getReplicaAddress(id) !== host.address);
  }

  /**
   * Accepts the registration of a backend server. If it says that the server leaves,
   * resolves once that is recorded.
   */
  async register(registration: Registration): Promise<void> {
    this.#registrationHub.accept(registration);
    await this.#departures.record(registration);
  }

  /** Registration of a backend server; undefined if it is unknown. */
  tryGetServer(id: string): Registration | undefined {
    return this.#registrationHub.tryGet(id);
  }

  getDump(): Record<string, unknown> {
    const { routes, hosts } = this.#machine;
    return {
      process: "control",
      id: this.#settings.id,
      dataCentre: this.#settings.dataCentre,
      ready: this.isReady,
      routesVersion: Number(routes.version),
      hosts: hosts.hosts.map(({ id, role }) => ({ id, role })),
      storeMembers: hosts.storeMembers,
      followers: this.#registrationHub.followerCount,
      backendServers: this.#registrationHub.getAll().map((server) => ({
        id: server.id,
        service: server.service,
        state: server.state,
        address: server.address,
      })),
      replica: this.#member?.getDump(),
      metrics: this.#context.metrics.getSums(),
    };
  }

  /** Linearizable read of the fleet group's state. */
  async #readState(): Promise<FleetState> {
    const known = this.#getState();
    const { routes, hosts } = await this.#proposeForOperator(
      encodeFleetCommand({
        case: "readState",
        value: {
          routesVersion: known.routes.version,
          hostsVersion: known.hosts.version,
        },
      }),
    );
    return { routes: routes ?? known.routes, hosts: hosts ?? known.hosts };
  }

  async #proposeForOperator(
    command: Uint8Array,
  ): Promise<FleetReply & { mayRunLater: boolean }> {
    const { reply, mayRunLater } = await this.#fleetClient.proposeWithOutcome(
      FLEET_GROUP,
      command,
      OPERATOR_TIMEOUT_MS,
    );
    return { ...fromBinary(FleetReplySchema, reply), mayRunLater };
  }

  /**
   * The newer of the group's applied state and the state saved before the
   * restart: until a leader is elected, the group has applied nothing.
   */
  #getState(): FleetState {
    const { routes, hosts } = this.#machine;
    const saved = this.#lastView;
    return {
      routes:
        saved?.routes !== undefined && saved.routes.version > routes.version
          ? saved.routes
          : routes,
      hosts: saved?.hosts !== undefined && saved.hosts.version > hosts.version
        ? saved.hosts
        : hosts,
    };
  }

  async #openLastView(folder: Folder): Promise<void> {
    const { clock, log } = this.#context;
    this.#lastView = await tryReadLastView(folder, log);
    this.#lastView?.servers.forEach((server) =>
      this.#registrationHub.restore(server)
    );
    this.#lastView?.leaving.forEach((server) =>
      this.#registrationHub.recordLeaving(server)
    );
    log.info("last_view", {
      routes: Number(this.#lastView?.routes?.version ?? 0),
      servers: this.#lastView?.servers.length ?? 0,
    });
    this.#lastViewWriter = new LastViewWriter({
      folder,
      clock,
      log,
      getView: () =>
        create(FleetUpdateSchema, {
          ...this.#getState(),
          servers: this.#registrationHub.getAll(),
          leaving: this.#registrationHub.getLeaving(),
        }),
    });
  }

  #getControlAddresses(): string[] {
    const known = this.#getState().hosts.hosts
      .filter((host) => host.role === HostRole.CONTROL)
      .map((host) => host.address);
    return [...new Set([...known, ...this.#seeds])];
  }

  async #createMember(
    folder: Folder,
    id: string,
    initialMembership: Membership,
  ): Promise<GroupMember> {
    return new GroupMember({
      group: FLEET_GROUP,
      id,
      address: this.#process.address,
      folder: await folder.openFolder("fleet"),
      machine: this.#machine,
      initialMembership,
      heartbeatMs: this.#settings.heartbeatMs ?? 0,
      electionTimeoutMs: this.#settings.electionTimeoutMs ?? 0,
      lostHosts: this.#settings.lostHosts ?? 0,
      context: this.#context,
      credentials: this.#process.credentials,
      getHosts: () =>
        this.#machine.hosts.hosts.filter((host) =>
          host.role === HostRole.CONTROL
        ),
      admission: new HostAdmission({
        getHosts: () => this.#machine.hosts,
        log: this.#context.log,
      }),
      onApplied: () => {
        this.#registrationHub.sendChanges();
        this.#lastViewWriter?.scheduleWrite();
      },
      onFailure: (error) => this.onFailure(error),
    });
  }

  /** On the leader: forms the store group after the registration window. */
  #tryFormStore(): void {
    const { hosts, storeMembers } = this.#machine.hosts;
    const replica = this.#member?.replica;
    if (storeMembers.length > 0 || replica?.isLeader !== true) return;
    const storeHosts = hosts.filter((host) => host.role === HostRole.STORE);
    if (storeHosts.length === 0) return;
    const nowMs = this.#context.clock.getMonotonicMs();
    this.#firstStoreSeenMs ??= nowMs;
    if (nowMs - this.#firstStoreSeenMs < STORE_REGISTRATION_WINDOW_MS) return;
    const initialMembers = selectInitialMembers(
      storeHosts,
      this.#settings.lostHosts ?? 0,
    );
    const ids = initialMembers.map((host) => host.id);
    const command = encodeFleetCommand({
      case: "formStore",
      value: create(StoreMembersSchema, { ids }),
    });
    this.#context.log.info("store_forms", { members: ids.join() });
    replica.propose(command).catch((error) =>
      this.#context.log.warn("store_not_formed", { reason: getReason(error) })
    );
  }
}
