/**
 * A state host: runs a replica of each group in one process and serves entries
 * and operators over gRPC.
 */
import { create } from "@bufbuild/protobuf";
import {
  type Member,
  MemberSchema,
  MembershipSchema,
  MessageCode,
  type ProposeReply,
  type QueryRequest,
  type RenewRequest,
  Replicas,
  State,
  type StateSettings,
} from "../../schema/mod.ts";
import type { MessageInitShape } from "@bufbuild/protobuf";
import {
  ControlMachine,
  ItemMachine,
  Replica,
  type ReplicaDump,
} from "../../state/mod.ts";
import { asServingError, getReason, ServingError } from "../../sys/errors.ts";
import { DiskFolder, type Folder } from "../../sys/files.ts";
import { openFolder, openPort } from "../../sys/listening.ts";
import { MetricName } from "../../sys/metrics.ts";
import {
  createCredentials,
  type RpcCredentials,
  RpcServer,
} from "../../sys/rpc.ts";
import type { Timer } from "../../sys/clock.ts";
import type { ProcessContext } from "../common/process_context.ts";
import { CONTROL_GROUP, getItemGroups } from "../common/groups.ts";
import {
  IdentityRecord,
  introduceReplica,
} from "../control/replica_identity.ts";
import { ReplicaLinks } from "../control/replica_links.ts";
import { BackendOrderSender } from "../control/backend_order_sender.ts";
import { encodeControlCommand, encodeItemCommand } from "../common/commands.ts";
import {
  describeInFlightCounts,
  queryItems,
  type QueryReplyInit,
} from "../control/item_queries.ts";
import { Leases } from "../common/leases.ts";
import { ViewWatchers } from "../control/view_watchers.ts";

interface ItemGroup {
  readonly replica: Replica;
  readonly machine: ItemMachine;
  readonly leases: Leases<number>;
}

const LEASE_CHECK_INTERVAL_MS = 250;
const EXPIRY_CHECK_INTERVAL_MS = 60_000;
const MS_PER_HOUR = 3_600_000;

/** A running state host. */
export class StateHost {
  readonly #settings: StateSettings;
  readonly #context: ProcessContext;
  readonly #controlMachine = new ControlMachine();
  readonly #itemGroups = new Map<number, ItemGroup>();
  readonly #watchers: ViewWatchers;
  readonly #configuredAddresses = new Map<string, string>();
  readonly #credentials: RpcCredentials;
  readonly #entryLeases: Leases<string>;
  readonly #orderSender: BackendOrderSender;
  readonly server: RpcServer;
  #controlReplica: Replica | undefined;
  #links: ReplicaLinks | undefined;
  #identity: IdentityRecord | undefined;
  #leaseTimer: Timer | undefined;
  #expiryTimer: Timer | undefined;
  #isReady = false;
  #stopping = false;
  address = "";
  /** Called once if a replica fails and cannot continue. */
  onFailure: (error: unknown) => void = () => {};

  constructor(settings: StateSettings, context: ProcessContext) {
    this.#settings = settings;
    this.#context = context;
    this.#watchers = new ViewWatchers(this.#controlMachine, context.log);
    this.#credentials = createCredentials(settings.tls, context.isPartitioned);
    this.server = new RpcServer(this.#credentials);
    this.#entryLeases = new Leases<string>({
      clock: context.clock,
      leaseMs: settings.sessionLeaseMs ?? 0,
    });
    this.#orderSender = new BackendOrderSender({
      control: this.#controlMachine,
      getLeaseLeftMs: () => this.#controlReplica?.getLeaseLeftMs() ?? 0,
      electionTimeoutMs: settings.electionTimeoutMs ?? 0,
      loadConcurrency: settings.loadConcurrency ?? 1,
      credentials: this.#credentials,
      clock: context.clock,
      log: context.log,
    });
  }

  get credentials(): RpcCredentials {
    return this.#credentials;
  }

  get configuration() {
    return this.#controlMachine.configuration;
  }

  /**
   * Whether the host has started, is not stopping and knows the leader of each
   * group.
   */
  get isReady(): boolean {
    return this.#isReady && !this.#stopping &&
      this.#getReplicas().every((replica) =>
        replica.leader !== "" && replica.hasCaughtUp
      );
  }

  /** Opens the port and returns the address that was bound. */
  async listen(): Promise<string> {
    this.server.addService(Replicas, {
      introduce: async (introduction) => ({
        accepted: await this.#getIdentity().accept(introduction),
      }),
      exchange: (onMessage) =>
        onMessage((batch) =>
          batch.messages.forEach((message) => {
            this.#links?.recordReceived(message.from);
            this.#tryGetReplica(message.group)?.receive(message);
          })
        ),
    });
    this.server.addService(State, {
      propose: (req) => this.#propose(req.group, req.commands),
      query: (req) => Promise.resolve(this.#query(req)),
      renew: (req) => Promise.resolve(this.#renew(req)),
      watch: (req, stream) => this.#watchers.serve(req, stream),
    });
    // The port keeps others from the data folder, so it is opened first.
    this.address = await openPort(
      () => this.server.listen(this.#settings.listen ?? ""),
      this.#context,
    );
    const root = await this.#openDataFolder();
    this.#identity = await IdentityRecord.open(root, {
      id: this.#settings.id,
      random: this.#context.random,
    });
    this.#configuredAddresses.set(this.#settings.id, this.address);
    return this.address;
  }

  /** Confirms the identity with the other members and starts all replicas. */
  async start(): Promise<void> {
    const members = this.#settings.members.map((peer) =>
      create(MemberSchema, {
        id: peer.id,
        address: peer.address,
        dataCentre: peer.dataCentre,
      })
    );
    members.forEach((member) =>
      this.#configuredAddresses.set(member.id, member.address)
    );
    await this.#confirmIdentity(members);
    if (this.#stopping) return;
    const links = new ReplicaLinks({
      credentials: this.#credentials,
      getAddress: (id) => this.#findAddress(id),
      clock: this.#context.clock,
    });
    this.#links = links;
    const root = await this.#openDataFolder();
    const firstMembership = create(MembershipSchema, {
      members: this.#settings.join ? [] : members,
    });
    const sharedOptions = { root, links, firstMembership };
    this.#controlReplica = await this.#startReplica({
      ...sharedOptions,
      group: CONTROL_GROUP,
      machine: this.#controlMachine,
    });
    for (const group of getItemGroups(this.#settings.itemGroups ?? 1)) {
      const machine = new ItemMachine();
      const replica = await this.#startReplica({
        ...sharedOptions,
        group,
        machine,
      });
      const leases = new Leases<number>({
        clock: this.#context.clock,
        leaseMs: this.#settings.sessionLeaseMs ?? 0,
      });
      this.#itemGroups.set(group, { replica, machine, leases });
    }
    this.#leaseTimer = this.#context.clock.startInterval(
      LEASE_CHECK_INTERVAL_MS,
      () => this.#runLeaseChecks(),
    );
    this.#expiryTimer = this.#context.clock.startInterval(
      EXPIRY_CHECK_INTERVAL_MS,
      () => this.#expireRecords(),
    );
    this.#orderSender.start();
    this.#isReady = true;
  }

  /** Transfers the leadership of each group to another host, then stops. */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    this.#leaseTimer?.cancel();
    const replicas = this.#getReplicas();
    await Promise.all(replicas.map((replica) => replica.transferLeadership()));
    await this.halt();
  }

  /** Stops immediately, as a crash would, except that files are closed. */
  async halt(): Promise<void> {
    this.#stopping = true;
    this.#leaseTimer?.cancel();
    const replicas = this.#getReplicas();
    await Promise.all(replicas.map((replica) => replica.stop()));
    this.#expiryTimer?.cancel();
    this.#orderSender.close();
    this.#links?.close();
    this.server.close();
  }

  /** Changes a group's membership; resolves once the change is committed. */
  changeMember(
    group: number,
    change: { add?: Member; promote?: string; remove?: string },
  ): Promise<void> {
    const replica = this.#tryGetReplica(group);
    if (replica !== undefined) return replica.changeMembership(change);
    throw new ServingError(MessageCode.MEMBERSHIP_REFUSED, {
      parameters: { reason: "no such group" },
    });
  }

  /** Returns the address of a group's leader; empty if the leader is unknown. */
  getLeaderAddress(group: number): string {
    const replica = this.#tryGetReplica(group);
    return replica === undefined ? "" : this.#findAddress(replica.leader) ?? "";
  }

  getDump(): Record<string, unknown> {
    const dumps: ReplicaDump[] = this.#getReplicas().map((replica) =>
      replica.getDump()
    );
    const counts = [...this.#itemGroups].map(([group, { machine }]) => ({
      group,
      ...describeInFlightCounts(machine.getInFlightCounts()),
      sessions: machine.getSessionEpochs().length,
    }));
    return {
      process: "state",
      id: this.#settings.id,
      dataCentre: this.#settings.dataCentre,
      ready: this.isReady,
      configurationVersion: Number(this.#controlMachine.configuration.version),
      entries: this.#controlMachine.entries.length,
      replicas: dumps,
      items: counts,
      backendOrders: this.#orderSender.getOutcomes(),
      metrics: this.#context.metrics.getSums(),
    };
  }

  /** Throws until the identity is read; the caller then asks again. */
  #getIdentity(): IdentityRecord {
    if (this.#identity === undefined) throw new Error("the host still starts");
    return this.#identity;
  }

  #openDataFolder(): Promise<Folder> {
    const path = this.#settings.dataFolder;
    return openFolder(async () => {
      try {
        return await DiskFolder.open(path);
      } catch (error) {
        throw new ServingError(MessageCode.FOLDER_UNWRITABLE, {
          parameters: { path, reason: getReason(error) },
        });
      }
    }, this.#context);
  }

  async #confirmIdentity(members: readonly Member[]): Promise<void> {
    const record = this.#identity;
    if (record === undefined || record.isConfirmed) return;
    const otherMembers = members.filter((member) =>
      member.id !== this.#settings.id
    );
    const majority = Math.floor(otherMembers.length / 2) + 1;
    await introduceReplica(record, {
      addresses: otherMembers.map((member) => member.address),
      requiredCount: this.#settings.join ? majority : otherMembers.length,
      credentials: this.#credentials,
      clock: this.#context.clock,
      isStopping: () => this.#stopping,
      folderPath: this.#settings.dataFolder,
    });
    if (!this.#stopping) await record.confirm();
  }

  async #startReplica(options: {
    root: Folder;
    group: number;
    machine: ControlMachine | ItemMachine;
    links: ReplicaLinks;
    firstMembership: ConstructorParameters<
      typeof Replica
    >[0]["initialMembership"];
  }): Promise<Replica> {
    const { clock, random, log, metrics } = this.#context;
    const replica = new Replica({
      id: this.#settings.id,
      group: options.group,
      folder: await options.root.openFolder(`group-${options.group}`),
      machine: options.machine,
      transport: options.links,
      initialMembership: options.firstMembership,
      clock,
      random,
      log,
      metrics,
      timing: {
        heartbeatMs: this.#settings.heartbeatMs ?? 0,
        electionTimeoutMs: this.#settings.electionTimeoutMs ?? 0,
      },
      snapshotBytes: this.#settings.snapshotBytes,
      onFailure: (error) => this.onFailure(error),
      onApplied: options.group === CONTROL_GROUP
        ? () => this.#watchers.notifyAll()
        : undefined,
    });
    await replica.start();
    return replica;
  }

  #getReplicas(): Replica[] {
    const controlReplicas = this.#controlReplica === undefined
      ? []
      : [this.#controlReplica];
    const itemReplicas = [...this.#itemGroups.values()].map((group) =>
      group.replica
    );
    return [...controlReplicas, ...itemReplicas];
  }

  #tryGetReplica(group: number): Replica | undefined {
    return group === CONTROL_GROUP
      ? this.#controlReplica
      : this.#itemGroups.get(group)?.replica;
  }

  #findAddress(id: string): string | undefined {
    const members = this.#getReplicas().flatMap((replica) =>
      replica.membership.members
    );
    return members.find((member) => member.id === id)?.address ??
      this.#configuredAddresses.get(id);
  }

  async #propose(
    group: number,
    commands: readonly Uint8Array[],
  ): Promise<MessageInitShape<typeof State.method.propose.output>> {
    const replica = this.#tryGetReplica(group);
    if (replica === undefined) return this.#createNotLeaderReply(group);
    try {
      const machine = group === CONTROL_GROUP
        ? this.#controlMachine
        : this.#itemGroups.get(group)?.machine;
      commands.forEach((command) => machine?.checkCommand(command));
      const replies = commands.map((command) => replica.propose(command));
      return { replies: await Promise.all(replies) };
    } catch (error) {
      const failure = asServingError(error);
      return {
        code: failure.code,
        detail: failure.message,
        leader: this.getLeaderAddress(group),
      } satisfies Partial<ProposeReply>;
    }
  }

  #createNotLeaderReply(group: number) {
    return {
      code: MessageCode.NOT_LEADER,
      leader: this.getLeaderAddress(group),
    };
  }

  #query(req: QueryRequest): QueryReplyInit {
    const { query } = req;
    const replica = this.#tryGetReplica(req.group);
    if (replica === undefined || !replica.canRead()) {
      return this.#createNotLeaderReply(req.group);
    }
    if (query.case === "configuration") {
      return { configuration: this.#controlMachine.configuration };
    }
    const machine = this.#itemGroups.get(req.group)?.machine;
    return machine === undefined ? {} : queryItems(machine, req);
  }

  #renew(
    req: RenewRequest,
  ): MessageInitShape<typeof State.method.renew.output> {
    if (req.group === CONTROL_GROUP) return this.#renewEntry(req.entry);
    const group = this.#itemGroups.get(req.group);
    if (group === undefined || !group.replica.canRead()) {
      return this.#createNotLeaderReply(req.group);
    }
    const epoch = Number(req.epoch);
    if (!group.machine.isSessionOpen(epoch)) {
      return { code: MessageCode.STALE_EPOCH };
    }
    group.leases.renew(epoch);
    return {
      cancelledJobs: group.machine.getCancelledJobIds(req.jobIds),
      waiting: group.machine.getWaitingByDeployment(),
    };
  }

  #renewEntry(
    entry: string,
  ): MessageInitShape<typeof State.method.renew.output> {
    if (this.#controlReplica?.canRead() !== true) {
      return this.#createNotLeaderReply(CONTROL_GROUP);
    }
    this.#entryLeases.renew(entry);
    const isKnown = this.#controlMachine.entries.some((candidate) =>
      candidate.id === entry
    );
    return { code: isKnown ? 0 : MessageCode.STALE_EPOCH };
  }

  /** Removes each entry whose lease has expired from the fleet. */
  #removeExpiredEntries(): void {
    const replica = this.#controlReplica;
    const ids = this.#controlMachine.entries.map((entry) => entry.id);
    this.#entryLeases.getExpired(replica?.canRead() === true, ids)
      .forEach((id) => {
        const command = encodeControlCommand({
          case: "removeEntry",
          value: id,
        });
        replica?.propose(command).catch(() => {});
      });
  }

  /** Cancels the remaining jobs once the dissolution deadline has passed. */
  #cancelJobsAtDissolution(): void {
    const { dissolution } = this.#controlMachine.configuration;
    const isDue = dissolution !== undefined &&
      this.#context.clock.getWallMs() >= Number(dissolution.deadlineMs);
    if (!isDue) return;
    this.#itemGroups.forEach(({ replica, machine }) => {
      if (!replica.canRead()) return;
      machine.getCancellableJobIds().forEach((jobId) => {
        const command = encodeItemCommand({
          case: "cancelJob",
          value: { jobId },
        });
        replica.propose(command).catch(() => {});
      });
    });
  }

  /** Removes records that ended before the configured retention period. */
  #expireRecords(): void {
    const hours = this.#settings.retentionHours ?? 0;
    if (hours === 0) return;
    const beforeMs = this.#context.clock.getWallMs() - hours * MS_PER_HOUR;
    const command = encodeItemCommand({
      case: "expire",
      value: { beforeMs: BigInt(Math.floor(beforeMs)) },
    });
    this.#itemGroups.forEach(({ replica, machine }) => {
      const isDue = replica.canRead() && machine.hasExpiredRecords(beforeMs);
      if (isDue) replica.propose(command).catch(() => {});
    });
  }

  #runLeaseChecks(): void {
    this.#removeExpiredEntries();
    this.#cancelJobsAtDissolution();
    this.#itemGroups.forEach(({ replica, machine, leases }) => {
      const epochs = machine.getSessionEpochs();
      leases.getExpired(replica.canRead(), epochs).forEach((epoch) => {
        this.#context.metrics.count(MetricName.sessionsEnded);
        const command = encodeItemCommand({
          case: "endSession",
          value: { epoch: BigInt(epoch) },
        });
        replica.propose(command).catch(() => {});
      });
    });
  }
}
