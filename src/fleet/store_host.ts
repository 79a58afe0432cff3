/**
 * A store host: a replica of the store's group, which holds the jobs. The
 * group's leader answers reads of jobs; each member runs a share of the items.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import {
  type FleetSettings,
  HostRole,
  JobCommandSchema,
  Jobs,
  type Membership,
  MembershipSchema,
  MessageCode,
  type ReadBodyRequest,
  type ReadJobRequest,
  type RecordRuns,
  StoreMembersSchema,
} from "../schema/mod.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import { StateClient } from "../services/common/state_client.ts";
import { tryPlanRunners } from "../policy/mod.ts";
import { JobMachine, type QueuedJob } from "../state/mod.ts";
import type { Timer } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import type { Folder } from "../sys/files.ts";
import { BackendAccess } from "./backend_access.ts";
import type { BackendDialect, CallerDialect } from "./dialects.ts";
import { FLEET_GROUP, STORE_GROUP } from "./groups.ts";
import { GroupMember } from "./group_member.ts";
import {
  createFirstMembers,
  openReplicaName,
  tryReadFirstMembers,
  writeFirstMembers,
} from "./host_identity.ts";
import { ItemRunner } from "./item_runner.ts";
import { RunShares } from "./run_shares.ts";
import { encodeFleetCommand, StateProcess } from "./state_process.ts";

/** Time between two looks at whether the members are known, in milliseconds. */
const REPORT_INTERVAL_MS = 250;

/**
 * Time for which items go on when no leader is known, in milliseconds: about
 * an election. An ended job runs nothing after 3 s, also where nobody says so.
 */
const RUN_ON_MS = 1_000;

/** Longest wait for a record of runs, in milliseconds. */
const RECORD_TIMEOUT_MS = 2_000;

/** Most bytes of results in one page, half of what callers may get. */
const MAX_PAGE_BYTES = 512 * 1024;

/** A running store host. */
export class StoreHost {
  readonly #settings: FleetSettings;
  readonly #context: ProcessContext;
  readonly #process: StateProcess;
  readonly #machine: JobMachine;
  readonly #side: BackendAccess;
  readonly #runner: ItemRunner;
  readonly #client: StateClient;
  /** To the leader of this host's own group. */
  readonly #storeClient: StateClient;
  readonly #readers = new Set<() => void>();
  #member: GroupMember | undefined;
  #reportTimer: Timer | undefined;
  #isReporting = false;
  #isPlanning = false;
  /** When a leader was known last. */
  #ledMs = -Infinity;
  #stopping = false;
  /** Called once when the replica can't go on. */
  onFailure: (error: unknown) => void = () => {};

  constructor(
    settings: FleetSettings,
    context: ProcessContext,
    dialects: { caller: CallerDialect; backend: BackendDialect },
  ) {
    this.#settings = settings;
    this.#context = context;
    this.#machine = new JobMachine({ keptMs: settings.statusMs });
    this.#process = new StateProcess({
      settings,
      context,
      getMember: () => this.#member,
    });
    this.#side = new BackendAccess({
      settings,
      context,
      credentials: this.#process.credentials,
      dialect: dialects.backend,
      isMerger: true,
      onReport: () => this.#runner.noteChange(),
    });
    const { view, pool, caller, follower } = this.#side;
    this.#storeClient = new StateClient({
      getAddresses: () => view.getStoreAddresses(),
      credentials: this.#process.credentials,
      clock: context.clock,
    });
    this.#client = this.#process.createFleetClient(() =>
      follower.getAddresses()
    );
    this.#runner = new ItemRunner({
      getOpenJobs: () => this.#getOpenJobs(),
      shares: new RunShares({
        getId: () => this.#member?.replica.id ?? "",
        getRunners: () => this.#machine.runners,
        getDataCentre: (id) => this.#getDataCentre(id),
        clock: context.clock,
      }),
      mayRecord: () => this.#isInTouch(),
      record: (runs) => this.#record(runs),
      view,
      pool,
      caller,
      dialects,
      context,
    });
  }

  /** The replica takes part in its group. */
  get isReady(): boolean {
    return !this.#stopping && (this.#member?.replica.leader ?? "") !== "";
  }

  async start(): Promise<void> {
    const { address, server } = this.#process;
    const folder = await this.#process.openFolder();
    const id = await openReplicaName(folder, {
      firstName: undefined,
      address,
      random: this.#context.random,
    });
    server.addService(Jobs, {
      readResults: (req) => this.#readResults(req),
      readBody: (req) => Promise.resolve(this.#readBody(req)),
    });
    await this.#process.listen();
    await this.#side.start();
    this.#runner.start();
    this.#reportTimer = this.#context.clock.startInterval(
      REPORT_INTERVAL_MS,
      () => {
        this.#reportMembers();
        this.#planRunners();
      },
    );
    const known = await tryReadFirstMembers(folder);
    if (known !== undefined) await this.#startMember(folder, id, known);
    this.#join(folder, id, known !== undefined)
      .catch((error) => this.onFailure(error));
  }

  /** Takes other addresses of control hosts. */
  setSeeds(seeds: readonly string[]): void {
    this.#side.follower.setSeeds(seeds);
  }

  /** Hands leadership over and stops. */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    this.#runner.close();
    await this.#member?.stop();
    this.#reportTimer?.cancel();
    this.#side.close();
    this.#client.close();
    this.#storeClient.close();
    this.#process.server.close();
  }

  getDump(): Record<string, unknown> {
    return {
      process: "store",
      id: this.#settings.id,
      dataCentre: this.#settings.dataCentre,
      ready: this.isReady,
      openJobs: this.#machine.getOpenJobs().length,
      runs: this.#runner.runCount,
      replica: this.#member?.getDump(),
      metrics: this.#context.metrics.getSums(),
    };
  }

  /** Registers, and starts the replica once the group has been founded. */
  async #join(folder: Folder, id: string, isStarted: boolean): Promise<void> {
    await this.#process.register(
      this.#client,
      id,
      HostRole.STORE,
      () => this.#stopping,
    );
    if (isStarted || this.#stopping) return;
    const founders = await this.#waitForFounders();
    // A host that is no founder starts with no members and is taken in later.
    const members = founders.includes(id)
      ? createFirstMembers(founders, (name) => this.#getDataCentre(name))
      : create(MembershipSchema);
    await writeFirstMembers(folder, members);
    if (!this.#stopping) await this.#startMember(folder, id, members);
  }

  #waitForFounders(): Promise<string[]> {
    return new Promise((resolve) => {
      const look = () => {
        const { storeMembers } = this.#side.view.hosts;
        if (storeMembers.length > 0) resolve(storeMembers);
      };
      this.#side.view.onChange(look);
      look();
    });
  }

  #getDataCentre(name: string): string {
    return this.#side.view.hosts.hosts.find((host) => host.id === name)
      ?.dataCentre ?? "";
  }

  async #startMember(
    folder: Folder,
    id: string,
    firstMembership: Membership,
  ): Promise<void> {
    const member = new GroupMember({
      group: STORE_GROUP,
      id,
      address: this.#process.address,
      folder: await folder.openFolder("jobs"),
      machine: this.#machine,
      firstMembership,
      heartbeatMs: this.#settings.heartbeatMs ?? 0,
      electionTimeoutMs: this.#settings.electionTimeoutMs ?? 0,
      lostHosts: this.#settings.lostHosts ?? 0,
      context: this.#context,
      credentials: this.#process.credentials,
      getHosts: () =>
        this.#side.view.hosts.hosts.filter((host) =>
          host.role === HostRole.STORE
        ),
      getRetired: () => new Set(this.#side.view.hosts.retired),
      onApplied: () => this.#wakeReaders(),
      onFailure: (error) => this.onFailure(error),
    });
    await member.start();
    this.#member = member;
  }

  /** Items run at members that hear of every end, and nowhere else. */
  #getOpenJobs(): readonly QueuedJob[] {
    return this.#isInTouch() ? this.#machine.getOpenJobs() : [];
  }

  /** The group's leader is known, or was until a moment ago. */
  #isInTouch(): boolean {
    const nowMs = this.#context.clock.getMonotonicMs();
    const hasLeader = (this.#member?.replica.leader ?? "") !== "";
    if (hasLeader) this.#ledMs = nowMs;
    return hasLeader || nowMs - this.#ledMs < RUN_ON_MS;
  }

  /** On the leader: agrees on who runs items, when that has to change. */
  #planRunners(): void {
    const replica = this.#member?.replica;
    if (replica?.canServe() !== true || this.#isPlanning) return;
    const members = replica.getMemberHealth().map(({ member, silentMs }) => ({
      id: member.id,
      isLearner: member.learner,
      silentMs,
    }));
    const ids = tryPlanRunners({
      members,
      leader: replica.id,
      retired: new Set(this.#side.view.hosts.retired),
      inForce: this.#machine.runners,
      serverCount: this.#side.view.servers.getReadyCount(),
    });
    if (ids === undefined) return;
    this.#context.log.info("runners_change", {
      runners: ids.join(),
      before: this.#machine.runners.join(),
    });
    const command = create(JobCommandSchema, {
      command: { case: "setRunners", value: { ids } },
    });
    this.#isPlanning = true;
    replica.propose(toBinary(JobCommandSchema, command))
      .catch((error) =>
        this.#context.log.warn("runners_not_changed", {
          reason: getReason(error),
        })
      )
      .finally(() => {
        this.#isPlanning = false;
      });
  }

  async #record(runs: RecordRuns): Promise<void> {
    const command = create(JobCommandSchema, {
      command: { case: "recordRuns", value: runs },
    });
    const bytes = toBinary(JobCommandSchema, command);
    const replica = this.#member?.replica;
    if (replica?.isLeader === true) await replica.propose(bytes);
    else await this.#storeClient.propose(STORE_GROUP, bytes, RECORD_TIMEOUT_MS);
  }

  async #readResults(req: ReadJobRequest) {
    const endMs = this.#context.clock.getMonotonicMs() + req.waitMs;
    for (;;) {
      if (this.#member?.replica.canServe() !== true) return this.#redirect();
      const queued = this.#machine.tryGetJob(req.job);
      if (queued === undefined) return { code: MessageCode.UNKNOWN_JOB };
      const leftMs = endMs - this.#context.clock.getMonotonicMs();
      const isDue = queued.results.length > req.after || queued.isEnded ||
        queued.open.size === 0 || leftMs <= 0;
      if (isDue) return createPage(queued, req.after);
      await this.#waitForApplied(leftMs);
    }
  }

  #readBody(req: ReadBodyRequest) {
    if (this.#member?.replica.canServe() !== true) return this.#redirect();
    const queued = this.#machine.tryGetJob(req.job);
    const item = queued?.isEnded === true
      ? undefined
      : queued?.open.get(req.item);
    return item === undefined
      ? { code: MessageCode.UNKNOWN_JOB }
      : { body: item.body };
  }

  /** Tells the fleet who is a member now, when it knows otherwise. */
  #reportMembers(): void {
    const replica = this.#member?.replica;
    if (replica?.canServe() !== true || this.#isReporting) return;
    const settled = replica.tryGetSettledMembers();
    if (settled === undefined) return;
    const ids = settled.members.map((member) => member.id).sort();
    const known = this.#side.view.hosts.storeNow?.ids ?? [];
    if (ids.join() === [...known].sort().join()) return;
    const command = encodeFleetCommand({
      case: "reportStore",
      value: create(StoreMembersSchema, {
        ids,
        term: BigInt(replica.term),
        index: BigInt(replica.getDump().commitIndex),
      }),
    });
    this.#isReporting = true;
    this.#client.propose(FLEET_GROUP, command)
      .catch((error) =>
        this.#context.log.warn("members_not_reported", {
          reason: getReason(error),
        })
      )
      .finally(() => {
        this.#isReporting = false;
      });
  }

  #redirect() {
    return {
      code: MessageCode.NOT_LEADER,
      leader: this.#member?.getLeaderAddress() ?? "",
    };
  }

  #waitForApplied(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        timer.cancel();
        this.#readers.delete(wake);
        resolve();
      };
      const timer = this.#context.clock.startTimer(ms, wake);
      this.#readers.add(wake);
    });
  }

  #wakeReaders(): void {
    [...this.#readers].forEach((wake) => wake());
    this.#runner.noteChange();
  }
}

/** Results from a position on, as many as fit a page; one at least. */
function createPage(queued: QueuedJob, after: number) {
  const results = queued.results.slice(after);
  let bytes = 0;
  const end = results.findIndex((result, index) => {
    bytes += result.text.length;
    return index > 0 && bytes > MAX_PAGE_BYTES;
  });
  return {
    total: queued.job.items.length,
    results: end < 0 ? results : results.slice(0, end),
  };
}
