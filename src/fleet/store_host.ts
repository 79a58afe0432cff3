/**
 * A store host: a replica of the store group, which replicates the jobs. The
 * leader of the group serves reads of jobs. The runners, a set of members that
 * the leader proposes to the group, divide the items among themselves.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import {
  type FleetSettings,
  Gateways,
  HostRole,
  JobCommandSchema,
  Jobs,
  type Membership,
  MembershipSchema,
  MessageCode,
  OrganisationRates,
  RateLimits,
  type ReadBodyRequest,
  type ReadJobRequest,
  type RecordRuns,
  StoreMembersSchema,
  Streams,
} from "../schema/mod.ts";
import { GatewayRegistry, StreamOrigins } from "../membership/mod.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import { StateClient } from "../services/common/state_client.ts";
import { mayUseJob, tryPlanRunners } from "../policy/mod.ts";
import { JobMachine, type QueuedJob } from "../state/mod.ts";
import type { Timer } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import { getHeapLimitBytes } from "../sys/memory.ts";
import type { Folder } from "../sys/files.ts";
import { BackendAccess } from "./backend_access.ts";
import { CrashDetector } from "./crash_detector.ts";
import type { BackendDialect, CallerDialect } from "./dialects.ts";
import { FLEET_GROUP, STORE_GROUP } from "./groups.ts";
import { GroupMember } from "./group_member.ts";
import {
  createInitialMembership,
  openReplicaId,
  tryReadInitialMembership,
  writeInitialMembership,
} from "./host_identity.ts";
import { ItemRunner } from "./item_runner.ts";
import { JobAdmission } from "./job_admission.ts";
import { JobLog } from "./job_log.ts";
import { ItemOwnership } from "./item_ownership.ts";
import { LeaderContact } from "./leader_contact.ts";
import { MAX_PAGE_BYTES } from "./page_reads.ts";
import { OrganisationRateService } from "./organisation_rate_service.ts";
import { RpcGranterCaller } from "./rate_limit_client.ts";
import { RateLimitGranter } from "./rate_limit_granter.ts";
import { RateLimitService } from "./rate_limit_service.ts";
import { encodeFleetCommand, StateHostProcess } from "./state_process.ts";

/** Interval between checks of the members and the runners, in milliseconds. */
const MEMBERSHIP_CHECK_INTERVAL_MS = 250;

/** Limit for recording the outcomes of runs at a stop, in milliseconds. */
const STOP_RECORD_LIMIT_MS = 1_000;

/** Timeout for recording the outcomes of runs, in milliseconds. */
const RECORD_TIMEOUT_MS = 2_000;

const BYTES_PER_MB = 1 << 20;

/** Memory of a process besides its heap, unless its settings name the memory. */
const MEMORY_BESIDE_HEAP_BYTES = 100 * BYTES_PER_MB;

/**
 * Age up to which routes are taken for the newest, in milliseconds: control hosts
 * confirm them once per second.
 */
const MAX_ROUTES_AGE_MS = 2_500;

/** A running store host. */
export class StoreHost {
  readonly #settings: FleetSettings;
  readonly #context: ProcessContext;
  readonly #process: StateHostProcess;
  readonly #machine: JobMachine;
  readonly #backends: BackendAccess;
  readonly #itemRunner: ItemRunner;
  readonly #rateLimits: RateLimitGranter;
  readonly #granterCaller: RpcGranterCaller;
  readonly #fleetClient: StateClient;
  /** Client of the leader of the store group. */
  readonly #storeClient: StateClient;
  readonly #waitingReaders = new Set<() => void>();
  readonly #streamOrigins = new StreamOrigins();
  readonly #gateways = new GatewayRegistry();
  readonly #organisationRates: OrganisationRateService;
  #member: GroupMember | undefined;
  #membershipTimer: Timer | undefined;
  #isReportingMembers = false;
  #isChangingRunners = false;
  #stopping = false;
  /** Called once if the replica fails and cannot continue. */
  onFailure: (error: unknown) => void = () => {};

  constructor(
    settings: FleetSettings,
    context: ProcessContext,
    dialects: { caller: CallerDialect; backend: BackendDialect },
  ) {
    this.#settings = settings;
    this.#context = context;
    this.#machine = new JobMachine({
      endedJobTtlMs: settings.statusMs,
      observer: new JobLog(context),
    });
    this.#process = new StateHostProcess({
      settings,
      context,
      getMember: () => this.#member,
    });
    const organisationRates = new OrganisationRateService(context);
    this.#organisationRates = organisationRates;
    this.#backends = new BackendAccess({
      settings,
      context,
      credentials: this.#process.credentials,
      dialect: dialects.backend,
      upgradeRoutes: (table) => dialects.caller.upgradeRouteTable(table),
      isMerger: true,
      onReport: () => this.#itemRunner.requestScheduling(),
      onOrigins: (origins) => {
        const nowMs = context.clock.getMonotonicMs();
        origins.forEach((origin) => this.#streamOrigins.add(origin, nowMs));
      },
      onGateway: (gateway) => {
        this.#gateways.record(gateway, context.clock.getMonotonicMs());
        organisationRates.recordReport(gateway.name, gateway.acceptsRelayed);
      },
    });
    const { view, pool, backendClient, follower, promptPartGuard } =
      this.#backends;
    this.#storeClient = new StateClient({
      getAddresses: () => view.getStoreAddresses(),
      tryGetLeader: () => this.#member?.getLeaderAddress(),
      credentials: this.#process.credentials,
      clock: context.clock,
    });
    this.#fleetClient = this.#process.createFleetClient(() =>
      follower.getAddresses()
    );
    const leaderContact = new LeaderContact({
      getReplica: () => this.#member?.replica,
      clock: context.clock,
      log: context.log,
    });
    this.#granterCaller = new RpcGranterCaller(this.#process.credentials);
    this.#rateLimits = new RateLimitGranter({
      service: new RateLimitService(context.clock),
      isCurrent: () => leaderContact.isCurrent(),
      getGranters: () => view.getStoreAddresses(),
      caller: this.#granterCaller,
      clock: context.clock,
      log: context.log,
    });
    this.#itemRunner = new ItemRunner({
      getOpenJobs: () => this.#machine.getOpenJobs(),
      canStart: () => leaderContact.isCurrent(),
      canContinue: () => leaderContact.wasCurrentRecently(),
      identifiesChains: () => this.#machine.identifiesChains,
      getAppliedIndex: () => this.#member?.replica.appliedIndex ?? 0,
      ownership: new ItemOwnership({
        getId: () => this.#member?.replica.id ?? "",
        getRunners: () => this.#machine.runners,
        getDataCentre: (id) => this.#getDataCentre(id),
        clock: context.clock,
      }),
      record: (runs) => this.#recordRuns(runs),
      view,
      pool,
      backendClient,
      promptPartGuard,
      crashDetector: new CrashDetector({
        view,
        // Items are owed, so they are not suspected themselves.
        onSuspicionChange: () => {},
        promptPartGuard,
        clock: context.clock,
        log: context.log,
        metrics: context.metrics,
      }),
      dialects,
      context,
    });
  }

  /** Whether the replica knows a leader and the host is not stopping. */
  get isReady(): boolean {
    return !this.#stopping && (this.#member?.replica.leader ?? "") !== "";
  }

  async start(): Promise<void> {
    const { address, server } = this.#process;
    server.addService(Jobs, {
      readResults: (req) => this.#readResults(req),
      readBody: (req) => Promise.resolve(this.#readBody(req)),
    });
    server.addService(Streams, {
      findOrigin: ({ request }) =>
        Promise.resolve({
          origin: this.#streamOrigins.tryGet(request),
          conflicting: this.#streamOrigins.isConflicting(request),
          controlSilentMs: this.#getControlSilentMs(),
        }),
    });
    server.addService(Gateways, {
      find: ({ sender }) =>
        Promise.resolve({
          gateways: this.#gateways.find(
            sender,
            this.#context.clock.getMonotonicMs(),
          ),
        }),
    });
    server.addService(RateLimits, {
      acquire: (req) => this.#rateLimits.acquire(req),
    });
    server.addService(OrganisationRates, {
      acquire: (req) => Promise.resolve(this.#organisationRates.acquire(req)),
    });
    // The port keeps others from the data folder, so it is opened first.
    await this.#process.listen();
    const folder = await this.#process.openFolder();
    const id = await openReplicaId(folder, {
      founderId: undefined,
      address,
      random: this.#context.random,
      log: this.#context.log,
    });
    await this.#backends.start();
    this.#itemRunner.start();
    this.#membershipTimer = this.#context.clock.startInterval(
      MEMBERSHIP_CHECK_INTERVAL_MS,
      () => {
        this.#reportMembers();
        this.#updateRunners();
      },
    );
    const saved = await tryReadInitialMembership(
      folder,
      this.#context.log,
    );
    if (saved !== undefined) await this.#startMember(folder, id, saved);
    this.#join(folder, id, saved !== undefined)
      .catch((error) => this.onFailure(error));
  }

  /** Replaces the seed addresses of control hosts. */
  setSeeds(seeds: readonly string[]): void {
    this.#backends.follower.setSeeds(seeds);
  }

  /** Transfers leadership and stops. */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    await this.#itemRunner.stop(STOP_RECORD_LIMIT_MS);
    await this.#member?.stop();
    this.#membershipTimer?.cancel();
    this.#backends.close();
    this.#fleetClient.close();
    this.#storeClient.close();
    this.#granterCaller.close();
    this.#process.server.close();
  }

  getDump(): Record<string, unknown> {
    const nowMs = this.#context.clock.getMonotonicMs();
    return {
      process: "store",
      id: this.#settings.id,
      dataCentre: this.#settings.dataCentre,
      ready: this.isReady,
      openJobs: this.#machine.getOpenJobs().length,
      commandVersion: this.#machine.activeVersion,
      runs: this.#itemRunner.runCount,
      streamOrigins: this.#streamOrigins.size,
      limitedOrganisations: this.#organisationRates.size,
      replica: this.#member?.getDump(),
      serverSpeeds: this.#backends.pool.loads.speeds.getStates(nowMs),
      metrics: this.#context.metrics.getSums(),
    };
  }

  /** Registers this host and starts its replica once the group is formed. */
  async #join(
    folder: Folder,
    id: string,
    isMemberStarted: boolean,
  ): Promise<void> {
    await this.#process.registerHost(
      this.#fleetClient,
      id,
      HostRole.STORE,
      () => this.#stopping,
    );
    if (isMemberStarted || this.#stopping) return;
    const founders = await this.#waitForFounders();
    // A host that is not a founder starts without members; the group's leader
    // adds it later.
    const initialMembership = founders.includes(id)
      ? createInitialMembership(
        founders,
        (replicaId) => this.#getDataCentre(replicaId),
      )
      : create(MembershipSchema);
    await writeInitialMembership(folder, initialMembership);
    if (!this.#stopping) await this.#startMember(folder, id, initialMembership);
  }

  /** Time since a control host was heard of; undefined if none was. */
  #getControlSilentMs(): number | undefined {
    const silentMs = this.#backends.view.getControlSilentMs();
    return Number.isFinite(silentMs) ? Math.round(silentMs) : undefined;
  }

  /** Limit of a route's waiting tokens, unless the routes may be outdated. */
  #tryGetTokenLimit(route: string): bigint | undefined {
    const { view } = this.#backends;
    return view.getRoutesAgeMs() <= MAX_ROUTES_AGE_MS
      ? view.routes?.tryGetRoute(route)?.waitingTokens
      : undefined;
  }

  #waitForFounders(): Promise<string[]> {
    return new Promise((resolve) => {
      const check = () => {
        const { storeMembers } = this.#backends.view.hosts;
        if (storeMembers.length > 0) resolve(storeMembers);
      };
      this.#backends.view.onChange(check);
      check();
    });
  }

  #getDataCentre(replicaId: string): string {
    return this.#backends.view.hosts.hosts.find((host) => host.id === replicaId)
      ?.dataCentre ?? "";
  }

  async #startMember(
    folder: Folder,
    id: string,
    initialMembership: Membership,
  ): Promise<void> {
    const member = new GroupMember({
      group: STORE_GROUP,
      id,
      address: this.#process.address,
      folder: await folder.openFolder("jobs"),
      machine: this.#machine,
      initialMembership,
      heartbeatMs: this.#settings.heartbeatMs ?? 0,
      electionTimeoutMs: this.#settings.electionTimeoutMs ?? 0,
      lostHosts: this.#settings.lostHosts ?? 0,
      context: this.#context,
      credentials: this.#process.credentials,
      getHosts: () =>
        this.#backends.view.hosts.hosts.filter((host) =>
          host.role === HostRole.STORE
        ),
      getRetired: () => new Set(this.#backends.view.hosts.retired),
      admission: new JobAdmission({
        machine: this.#machine,
        getMemberVersions: () =>
          (this.#member?.replica.getMemberHealth() ?? [])
            .map(({ commandVersion }) => commandVersion),
        tryGetTokenLimit: (route) => this.#tryGetTokenLimit(route),
        processBytes: getProcessBytes(this.#settings),
        clock: this.#context.clock,
        log: this.#context.log,
      }),
      onApplied: () => this.#notifyReaders(),
      onFailure: (error) => this.onFailure(error),
    });
    await member.start();
    this.#member = member;
  }

  /**
   * On the leader: proposes a new list of runners, or a newer version of commands
   * that all members apply, if either has to change.
   */
  #updateRunners(): void {
    const replica = this.#member?.replica;
    if (replica?.canServe() !== true || this.#isChangingRunners) return;
    const health = replica.getMemberHealth();
    const members = health.map(({ member, silentMs }) => ({
      id: member.id,
      isLearner: member.learner,
      silentMs,
    }));
    const plannedIds = tryPlanRunners({
      members,
      leader: replica.id,
      retired: new Set(this.#backends.view.hosts.retired),
      current: this.#machine.runners,
      serverCount: this.#backends.view.servers.getReadyCount(),
    });
    const commandVersion = Math.min(
      ...health.map((member) => member.commandVersion),
    );
    const isUpgrade = commandVersion > this.#machine.activeVersion;
    if (plannedIds === undefined && !isUpgrade) return;
    const ids = plannedIds ?? [...this.#machine.runners];
    this.#context.log.info("runners_change", {
      runners: ids.join(),
      before: this.#machine.runners.join(),
      command_version: commandVersion,
    });
    const command = create(JobCommandSchema, {
      command: { case: "setRunners", value: { ids, commandVersion } },
    });
    this.#isChangingRunners = true;
    replica.propose(toBinary(JobCommandSchema, command))
      .catch((error) =>
        this.#context.log.warn("runners_not_changed", {
          reason: getReason(error),
        })
      )
      .finally(() => {
        this.#isChangingRunners = false;
      });
  }

  async #recordRuns(runs: RecordRuns): Promise<void> {
    const command = create(JobCommandSchema, {
      command: { case: "recordRuns", value: runs },
    });
    const bytes = toBinary(JobCommandSchema, command);
    const replica = this.#member?.replica;
    if (replica?.isLeader === true) await replica.propose(bytes);
    else await this.#storeClient.propose(STORE_GROUP, bytes, RECORD_TIMEOUT_MS);
  }

  async #readResults(req: ReadJobRequest) {
    const deadlineMs = this.#context.clock.getMonotonicMs() + req.waitMs;
    for (;;) {
      if (this.#member?.replica.canServe() !== true) return this.#redirect();
      const queued = this.#tryGetJob(req);
      if (queued === undefined) return { code: MessageCode.UNKNOWN_JOB };
      const remainingMs = deadlineMs - this.#context.clock.getMonotonicMs();
      const canReply = queued.results.length > req.after || queued.isEnded ||
        queued.open.size === 0 || remainingMs <= 0;
      if (canReply) return createResultPage(queued, req);
      await this.#waitForApplied(remainingMs);
    }
  }

  /** Returns a job that the caller may use; undefined if there is none. */
  #tryGetJob({ job, organisation }: ReadJobRequest | ReadBodyRequest) {
    const queued = this.#machine.tryGetJob(job);
    if (queued === undefined) return;
    if (mayUseJob(queued.job.organisation, organisation)) return queued;
    this.#context.log.info("job_not_owned", {
      job,
      request: "read",
      organisation: organisation ?? "",
    });
    return;
  }

  #readBody(req: ReadBodyRequest) {
    if (this.#member?.replica.canServe() !== true) return this.#redirect();
    const queued = this.#tryGetJob(req);
    const item = queued?.isEnded === true
      ? undefined
      : queued?.open.get(req.item);
    return item === undefined
      ? { code: MessageCode.UNKNOWN_JOB }
      : { body: item.body };
  }

  /** Reports the group's members to the fleet group when they have changed. */
  #reportMembers(): void {
    const replica = this.#member?.replica;
    if (replica?.canServe() !== true || this.#isReportingMembers) return;
    const membership = replica.tryGetCommittedMembership();
    if (membership === undefined) return;
    const ids = membership.members.map((member) => member.id).sort();
    const reportedIds = this.#backends.view.hosts.storeNow?.ids ?? [];
    if (ids.join() === [...reportedIds].sort().join()) return;
    const command = encodeFleetCommand({
      case: "reportStore",
      value: create(StoreMembersSchema, {
        ids,
        term: BigInt(replica.term),
        index: BigInt(replica.getDump().commitIndex),
      }),
    });
    this.#isReportingMembers = true;
    this.#fleetClient.propose(FLEET_GROUP, command)
      .catch((error) =>
        this.#context.log.warn("members_not_reported", {
          reason: getReason(error),
        })
      )
      .finally(() => {
        this.#isReportingMembers = false;
      });
  }

  /** Reply that refers the client to the leader of the group. */
  #redirect() {
    return {
      code: MessageCode.NOT_LEADER,
      leader: this.#member?.getLeaderAddress() ?? "",
    };
  }

  #waitForApplied(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const notify = () => {
        timer.cancel();
        this.#waitingReaders.delete(notify);
        resolve();
      };
      const timer = this.#context.clock.startTimer(ms, notify);
      this.#waitingReaders.add(notify);
    });
  }

  #notifyReaders(): void {
    [...this.#waitingReaders].forEach((notify) => notify());
    this.#itemRunner.requestScheduling();
  }
}

/** Memory that this process may take, in bytes. */
function getProcessBytes({ memoryMb = 0 }: FleetSettings): number {
  return memoryMb > 0
    ? memoryMb * BYTES_PER_MB
    : getHeapLimitBytes() + MEMORY_BESIDE_HEAP_BYTES;
}

/**
 * Creates the page of results that starts at position `after`. The first result
 * is included even if it exceeds the maximum page size.
 */
function createResultPage(
  queued: QueuedJob,
  { after, maxBytes }: Pick<ReadJobRequest, "after" | "maxBytes">,
) {
  // Older builds name no size.
  const limit = Math.min(maxBytes || MAX_PAGE_BYTES, MAX_PAGE_BYTES);
  const results = queued.results.slice(after);
  let bytes = 0;
  const end = results.findIndex((result, index) => {
    bytes += result.text.length;
    return index > 0 && bytes > limit;
  });
  return {
    total: queued.job.items.length,
    results: end < 0 ? results : results.slice(0, end),
  };
}
