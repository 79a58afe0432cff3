/**
 * One host's replica of a group, with the messages to the other replicas, the
 * commands from other processes and, on the leader, the automatic repair of the
 * group's membership.
 */
import {
  type HostRecord,
  type Membership,
  type ProposeReply,
  type ReplicaMessage,
  State,
} from "../schema/mod.ts";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { type PlannedChange, tryPlanChange } from "../policy/mod.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import { ReplicaLinks } from "../services/control/replica_links.ts";
import { Replica, type ReplicaDump, type StateMachine } from "../state/mod.ts";
import { asServingError, getReason } from "../sys/errors.ts";
import type { Folder } from "../sys/files.ts";
import type { Timer } from "../sys/clock.ts";
import type { RpcCredentials } from "../sys/rpc.ts";
import { getReplicaAddress } from "./host_identity.ts";

/** How a command that is admitted reaches the log. */
export interface CommandProposer {
  /** Whether the replica leads and knows all that has been accepted. */
  readonly canServe: boolean;
  /** Bytes of entries in the log that are not committed. */
  readonly uncommittedBytes: number;
  propose(command: Uint8Array): Promise<Uint8Array>;
}

/** Decides on commands of other processes before they are proposed. */
export interface CommandAdmission {
  /** Proposes a command, or replies to it without that. */
  admit(command: Uint8Array, proposer: CommandProposer): Promise<Uint8Array>;
}

/** Options of a {@linkcode GroupMember}. */
export interface GroupMemberOptions {
  readonly group: number;
  readonly id: string;
  readonly address: string;
  readonly folder: Folder;
  readonly machine: StateMachine;
  readonly initialMembership: Membership;
  readonly heartbeatMs: number;
  readonly electionTimeoutMs: number;
  /** Number of simultaneous host losses that the group must tolerate. */
  readonly lostHosts: number;
  readonly context: ProcessContext;
  readonly credentials: RpcCredentials;
  /** Returns the registered hosts that have the group's role. */
  readonly getHosts: () => readonly HostRecord[];
  /** Returns the ids of hosts that an operator has retired. */
  readonly getRetired?: () => ReadonlySet<string>;
  /** By default, all commands are proposed. */
  readonly admission?: CommandAdmission;
  readonly onApplied: () => void;
  readonly onFailure: (error: unknown) => void;
}

/** Interval between checks of the membership, in milliseconds. */
const MEMBERSHIP_CHECK_INTERVAL_MS = 250;

/**
 * Silence after which a member is replaced, in milliseconds: longer than a
 * restart, which takes 1 to 2 s, and than most process stalls.
 */
const MEMBER_TIMEOUT_MS = 6_000;

/**
 * The same timeout if a new host has registered since the silence began, in
 * milliseconds. The new host must join within 4 s, because another host may fail
 * after that.
 */
const MEMBER_TIMEOUT_WITH_NEW_HOST_MS = 1_500;

/** Silence after which a learner is removed, in milliseconds. */
const LEARNER_TIMEOUT_MS = 5_000;

/**
 * Time for which a host that was removed from the group is not added again, in
 * milliseconds. Its host record is kept, because the host may be partitioned from
 * the network rather than lost.
 */
const READMISSION_DELAY_MS = 20_000;

/** The same delay for a learner, which may only have restarted. */
const LEARNER_READMISSION_DELAY_MS = 1_000;

/** One host's replica of a group. */
export class GroupMember {
  readonly #options: GroupMemberOptions;
  readonly #links: ReplicaLinks;
  readonly replica: Replica;
  #membershipTimer: Timer | undefined;
  #hasPendingChange = false;
  readonly #firstSeenMs = new Map<string, number>();
  /** Time until which a removed host is not added again, by host id. */
  readonly #excludedUntilMs = new Map<string, number>();
  /** Monotonic time at which this leader first saw a member, by its id. */
  #memberSinceMs = new Map<string, number>();

  constructor(options: GroupMemberOptions) {
    this.#options = options;
    const { context } = options;
    this.#links = new ReplicaLinks({
      credentials: options.credentials,
      getAddress: (id) => this.#tryGetAddress(id),
      clock: context.clock,
    });
    this.replica = new Replica({
      id: options.id,
      group: options.group,
      folder: options.folder,
      machine: options.machine,
      transport: this.#links,
      initialMembership: options.initialMembership,
      clock: context.clock,
      random: context.random,
      log: context.log,
      metrics: context.metrics,
      timing: {
        heartbeatMs: options.heartbeatMs,
        electionTimeoutMs: options.electionTimeoutMs,
      },
      onApplied: options.onApplied,
      onFailure: options.onFailure,
    });
  }

  async start(): Promise<void> {
    await this.replica.start();
    this.#membershipTimer = this.#options.context.clock.startInterval(
      MEMBERSHIP_CHECK_INTERVAL_MS,
      () => this.#repairMembership(),
    );
  }

  /** Transfers leadership and stops. */
  async stop(): Promise<void> {
    this.#membershipTimer?.cancel();
    await this.replica.transferLeadership();
    await this.replica.stop();
    this.#links.close();
  }

  receive(message: ReplicaMessage): void {
    this.#links.recordReceived(message.from);
    this.replica.receive(message);
  }

  /** Address of the leader's process; empty if no leader is known. */
  getLeaderAddress(): string {
    const { leader } = this.replica;
    return leader === "" ? "" : this.#tryGetAddress(leader) ?? "";
  }

  /** Proposes commands on behalf of another process. */
  async propose(
    commands: readonly Uint8Array[],
  ): Promise<MessageInitShape<typeof State.method.propose.output>> {
    try {
      commands.forEach((command) =>
        this.#options.machine.checkCommand(command)
      );
      const replies = commands.map((command) => this.#admit(command));
      return { replies: await Promise.all(replies) };
    } catch (error) {
      const failure = asServingError(error);
      return {
        code: failure.code,
        detail: failure.message,
        leader: this.getLeaderAddress(),
      } satisfies Partial<ProposeReply>;
    }
  }

  #admit(command: Uint8Array): Promise<Uint8Array> {
    const { admission } = this.#options;
    const { replica } = this;
    if (admission === undefined || !replica.isLeader) {
      return replica.propose(command);
    }
    return admission.admit(command, {
      canServe: replica.canServe(),
      uncommittedBytes: replica.uncommittedBytes,
      propose: (each) => replica.propose(each),
    });
  }

  getDump(): ReplicaDump {
    return this.replica.getDump();
  }

  #tryGetAddress(id: string): string | undefined {
    if (id === this.#options.id) return this.#options.address;
    return this.replica.membership.members.find((member) => member.id === id)
      ?.address ?? getReplicaAddress(id);
  }

  /** Time since this process first saw a host, in milliseconds. */
  #getTimeSinceFirstSeenMs(id: string): number {
    const nowMs = this.#options.context.clock.getMonotonicMs();
    return nowMs - (this.#firstSeenMs.get(id) ?? nowMs);
  }

  #getCandidates(): HostRecord[] {
    const nowMs = this.#options.context.clock.getMonotonicMs();
    return this.#options.getHosts().filter((host) =>
      (this.#excludedUntilMs.get(host.id) ?? -Infinity) <= nowMs
    );
  }

  #recordNewHosts(): void {
    const nowMs = this.#options.context.clock.getMonotonicMs();
    this.#options.getHosts()
      .filter((host) => !this.#firstSeenMs.has(host.id))
      .forEach((host) => this.#firstSeenMs.set(host.id, nowMs));
  }

  /** Starts the next membership change unless one is in progress. */
  #repairMembership(): void {
    this.#recordNewHosts();
    const memberHealth = this.replica.getMemberHealth();
    const nowMs = this.#options.context.clock.getMonotonicMs();
    this.#memberSinceMs = new Map(
      memberHealth.map(({ member: { id } }) => [
        id,
        this.#memberSinceMs.get(id) ?? nowMs,
      ]),
    );
    if (memberHealth.length === 0 || this.#hasPendingChange) return;
    // A member that has just been added has had no time to respond.
    const members = memberHealth.map((health) => ({
      ...health,
      silentMs: Math.min(
        health.silentMs,
        nowMs - (this.#memberSinceMs.get(health.member.id) ?? nowMs),
      ),
    }));
    const change = tryPlanChange({
      members,
      hosts: this.#getCandidates(),
      retired: this.#options.getRetired?.() ?? new Set(),
      lostHosts: this.#options.lostHosts,
      getHostAgeMs: (id) => this.#getTimeSinceFirstSeenMs(id),
      replaceAfterMs: MEMBER_TIMEOUT_MS,
      replaceBySpareAfterMs: MEMBER_TIMEOUT_WITH_NEW_HOST_MS,
      learnerTimeoutMs: LEARNER_TIMEOUT_MS,
    });
    if (change !== undefined) this.#applyChange(change);
  }

  #applyChange(change: PlannedChange): void {
    const { log, clock } = this.#options.context;
    const id = change.kind === "add" ? change.host.id : change.id;
    const logFields = { group: this.#options.group, change: change.kind, id };
    this.#hasPendingChange = true;
    if (change.kind === "remove") {
      const isLearner = this.replica.membership.members.some((member) =>
        member.id === id && member.learner
      );
      const delayMs = isLearner
        ? LEARNER_READMISSION_DELAY_MS
        : READMISSION_DELAY_MS;
      this.#excludedUntilMs.set(id, clock.getMonotonicMs() + delayMs);
    }
    this.replica.changeMembership(toMembershipChange(change))
      .then(
        () => log.info("membership_changed", logFields),
        (error) =>
          log.warn("membership_change_failed", {
            ...logFields,
            reason: getReason(error),
          }),
      )
      .finally(() => {
        this.#hasPendingChange = false;
      });
  }
}

function toMembershipChange(change: PlannedChange) {
  switch (change.kind) {
    case "add":
      return {
        add: {
          $typeName: "papayatally.v1.Member" as const,
          id: change.host.id,
          address: change.host.address,
          dataCentre: change.host.dataCentre,
          learner: true,
        },
      };
    case "promote":
      return { promote: change.id };
    case "remove":
      return { remove: change.id };
  }
}
