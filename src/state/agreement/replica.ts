/**
 * One replica of a Raft group: connects the consensus core, the storage and the
 * state machine. Two routines process the output of the core. The disk routine
 * persists records in batches. The apply routine sends heartbeats and applies
 * committed entries, and never waits for the disk.
 */
import { create } from "@bufbuild/protobuf";
import {
  type LogEntry,
  type Member,
  type Membership,
  MessageCode,
  type ReplicaMessage,
  type SnapshotMark,
  SnapshotMarkSchema,
  type SnapshotRequest,
  Verdict,
} from "../../schema/mod.ts";
import type { Clock, Timer } from "../../sys/clock.ts";
import type { Folder } from "../../sys/files.ts";
import type { Random } from "../../sys/random.ts";
import { getReason, ServingError } from "../../sys/errors.ts";
import { getErrorFields, logRejection } from "../../sys/unexpected_errors.ts";
import { SuspensionDetector } from "../../sys/suspension_detector.ts";
import type { Log } from "../../sys/log.ts";
import { MetricName, type Metrics } from "../../sys/metrics.ts";
import {
  type Channel,
  createSlidingChannel,
  type Routine,
  send,
  spawnRoutine,
  tryReceive,
  waitFor,
} from "../../sys/routines.ts";
import { ReplicaStore } from "../log/replica_store.ts";
import { getEntryBytes } from "../log/entry_log.ts";
import type { DecodedSnapshot } from "../log/snapshot_file.ts";
import { readSnapshotChunks, SnapshotAssembler } from "./snapshot_transfer.ts";
import type { StateMachine } from "../machines/state_machine.ts";
import { type ProposedEntry, Role } from "./core_types.ts";
import type {
  MembershipChange,
  MembershipRefusal,
} from "./membership_change.ts";
import { ReplicaCore } from "./replica_core.ts";
import { type AgreementTiming, DEFAULT_TIMING } from "./timing.ts";

/** Sends messages to other replicas; they may be lost, delayed or reordered. */
export abstract class ReplicaTransport {
  abstract send(message: ReplicaMessage): void;

  /** Sends a message that must not wait behind entries and snapshots. */
  sendHeartbeat(message: ReplicaMessage): void {
    this.send(message);
  }

  /** Whether earlier messages to a replica still wait to be sent. */
  isCongested(_id: string): boolean {
    return false;
  }
}

/** Options of a {@linkcode Replica}. */
export interface ReplicaOptions {
  readonly id: string;
  readonly group: number;
  readonly folder: Folder;
  readonly machine: StateMachine;
  readonly transport: ReplicaTransport;
  /** Members of the group until the log holds a membership entry. */
  readonly initialMembership: Membership;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing?: AgreementTiming;
  /** Bytes appended to the log after which a snapshot is taken. */
  readonly snapshotBytes?: number;
  /** Called once on a fatal error; the replica then takes no further input. */
  readonly onFailure: (error: unknown) => void;
  /** Called after entries were applied or a snapshot was installed. */
  readonly onApplied?: () => void;
}

/** Proposed entry whose proposer waits for the reply. */
interface PendingProposal {
  readonly term: number;
  readonly startMs: number;
  readonly resolve: (reply: Uint8Array) => void;
  readonly reject: (error: unknown) => void;
}

const TICKS_PER_HEARTBEAT = 4;
const DEFAULT_SNAPSHOT_BYTES = 32 << 20;

/**
 * Limits of the entries that stay in the log although a snapshot covers them, so
 * that followers that lag slightly don't need the snapshot.
 */
const RETAINED_ENTRIES = 2000;
const RETAINED_BYTES = 8 << 20;

/** Delay before a congested link is looked at again, in milliseconds. */
const CONGESTION_CHECK_MS = 5;

/** Health of one member, as known to the leader. */
export interface MemberStatus {
  readonly member: Member;
  /** Time since its last confirmed contact, in milliseconds. */
  readonly silentMs: number;
  /** Whether it holds every committed entry. */
  readonly isCurrent: boolean;
  /** Newest version of commands that it applies; 0 until it has replied. */
  readonly commandVersion: number;
}

/** State of a replica as shown in a dump. */
export interface ReplicaDump {
  readonly group: number;
  readonly role: Role;
  readonly term: number;
  readonly leader: string;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly appliedIndex: number;
  readonly segmentBytes: number;
  readonly members: { id: string; learner: boolean; matchIndex: number }[];
}

/** Replica of a group, with its storage and state machine. */
export class Replica {
  readonly #options: ReplicaOptions;
  readonly #timing: AgreementTiming;
  readonly #store: ReplicaStore;
  readonly #diskWake: Channel<boolean> = createSlidingChannel(1);
  readonly #applyWake: Channel<boolean> = createSlidingChannel(1);
  readonly #pendingProposals = new Map<number, PendingProposal>();
  #core: ReplicaCore | undefined;
  #timer: Timer | undefined;
  #appliedIndex = 0;
  #bytesSinceSnapshot = 0;
  #isSnapshotting = false;
  /** Mark of a stored snapshot up to which the log is yet to be compacted. */
  #pendingCompaction: SnapshotMark | undefined;
  readonly #snapshotAssembler = new SnapshotAssembler();
  /** Members to which a snapshot is being sent. */
  readonly #snapshotTransfers = new Set<string>();
  /** Received snapshot that the disk routine is yet to install. */
  #pendingInstall:
    | { image: DecodedSnapshot; from: string; round: bigint }
    | undefined;
  readonly #suspensionDetector: SuspensionDetector;
  #stopped = false;
  #reportedRole: Role = Role.follower;
  #hasCaughtUp = false;
  /** Bytes of log segments that were read on start. */
  recoveredBytes = 0;

  constructor(options: ReplicaOptions) {
    this.#options = options;
    this.#timing = options.timing ?? DEFAULT_TIMING;
    this.#store = new ReplicaStore(options.folder);
    this.#suspensionDetector = new SuspensionDetector(options.clock);
  }

  /** Recovers the durable state and joins the group. */
  async start(): Promise<void> {
    const recovered = await this.#store.recover();
    this.recoveredBytes = recovered.recoveredBytes;
    this.#options.machine.restore(recovered.snapshotParts);
    recovered.entries.forEach(({ payload }) => {
      if (payload.case !== "command") return;
      this.#options.machine.foreseeCommand(payload.value);
    });
    this.#appliedIndex = Number(recovered.mark.index);
    // A log that was not compacted before the last stop goes on growing.
    this.#bytesSinceSnapshot = recovered.entries.reduce(
      (sum, entry) => sum + getEntryBytes(entry),
      0,
    );
    this.#core = new ReplicaCore({
      id: this.#options.id,
      group: this.#options.group,
      recovered,
      initialMembership: this.#options.initialMembership,
      random: this.#options.random,
      nowMs: this.#options.clock.getMonotonicMs(),
      timing: this.#timing,
      commandVersion: this.#options.machine.commandVersion,
    });
    const tickMs = this.#timing.heartbeatMs / TICKS_PER_HEARTBEAT;
    this.#timer = this.#options.clock.startInterval(tickMs, () => this.#tick());
    const onError = (error: unknown) => this.#fail(error);
    spawnRoutine(() => this.#runDisk(), onError);
    spawnRoutine(() => this.#runApply(), onError);
    this.#wake();
  }

  /**
   * Stops the routines and closes the store. Pending proposals are rejected;
   * acknowledged ones are durable.
   */
  async stop(): Promise<void> {
    if (this.#stopped) return;
    this.#stopped = true;
    this.#timer?.cancel();
    this.#diskWake.close();
    this.#applyWake.close();
    this.#rejectPending("the replica stops");
    await this.#store.close();
  }

  get isLeader(): boolean {
    return this.#core?.role === Role.leader;
  }

  /** Approximate size of the entries in the log that are not committed, in bytes. */
  get uncommittedBytes(): number {
    const core = this.#core;
    return core === undefined ? 0 : core.getEntriesAfter(core.commitIndex)
      .reduce((sum, entry) => sum + getEntryBytes(entry), 0);
  }

  get id(): string {
    return this.#options.id;
  }

  /** Id of the known leader; empty when there is none. */
  get leader(): string {
    return this.#core?.leader ?? "";
  }

  get membership(): Membership {
    return this.#core?.membership ?? this.#options.initialMembership;
  }

  /** The membership; undefined while a change of it is not committed yet. */
  tryGetCommittedMembership(): Membership | undefined {
    const core = this.#core;
    return core !== undefined && core.membershipIndex <= core.commitIndex
      ? core.membership
      : undefined;
  }

  get term(): number {
    return this.#core?.term ?? 0;
  }

  /** Log index up to which the state machine has applied the entries. */
  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  /**
   * Whether the local state holds everything that was committed when the known
   * leader sent its last message.
   */
  isCaughtUp(): boolean {
    this.#checkSuspension();
    return !this.#stopped &&
      this.#core?.isCaughtUp(
          this.#appliedIndex,
          this.#options.clock.getMonotonicMs(),
        ) === true;
  }

  /** Whether the replica has been caught up since its start. */
  get hasCaughtUp(): boolean {
    return this.#hasCaughtUp;
  }

  /** Whether the local state may answer linearizable reads. */
  canRead(): boolean {
    this.#checkSuspension();
    const core = this.#core;
    return core !== undefined && !this.#stopped &&
      this.#appliedIndex >= core.commitIndex &&
      core.holdsLease(this.#options.clock.getMonotonicMs());
  }

  /**
   * Whether this replica holds the lease and has applied every entry that
   * earlier leaders committed. It replies to its own proposals only after
   * applying them, so its state is never behind a reply that it sent.
   */
  canServe(): boolean {
    this.#checkSuspension();
    const core = this.#core;
    return core !== undefined && !this.#stopped &&
      this.#appliedIndex >= core.termStartIndex &&
      core.holdsLease(this.#options.clock.getMonotonicMs());
  }

  /** Remaining time of the leader's lease in milliseconds; zero without one. */
  getLeaseLeftMs(): number {
    if (!this.canRead()) return 0;
    const nowMs = this.#options.clock.getMonotonicMs();
    return Math.max(0, this.#core?.getLeaseLeftMs(nowMs) ?? 0);
  }

  /** Handles a message from another replica. */
  receive(message: ReplicaMessage): void {
    const core = this.#core;
    if (core === undefined || this.#stopped) return;
    // A host that lost its disk comes back under a new id at its old address.
    // Messages for the old id still arrive there while it is a member.
    if (message.to !== this.#options.id) return;
    this.#failOnError(() => {
      this.#checkSuspension();
      core.receive(message, this.#options.clock.getMonotonicMs());
      if (message.body.case === "snapshotRequest") {
        this.#receiveSnapshot(core, message, message.body.value);
      }
    });
    this.#wake();
  }

  /**
   * Replicates a command and resolves with the state machine's reply. Rejects
   * with NOT_LEADER (verdict NOT_RUN) if this replica is not the leader, and
   * with MAY_HAVE_COMMITTED if it lost leadership before the command's outcome
   * was known.
   */
  propose(command: Uint8Array): Promise<Uint8Array> {
    const { clock } = this.#options;
    const proposed = this.#stopped
      ? undefined
      : this.#failOnError(() =>
        this.#core?.tryPropose(command, clock.getWallMs())
      );
    if (proposed === undefined) return Promise.reject(this.#createNotLeader());
    this.#options.metrics.count(MetricName.proposals);
    this.#wake();
    return this.#waitForCommit(proposed);
  }

  /**
   * Changes the membership and resolves once the change is committed. Rejects
   * with MEMBERSHIP_REFUSED (verdict NOT_RUN) if the change is not possible
   * now.
   */
  async changeMembership(change: MembershipChange): Promise<void> {
    const core = this.#core;
    const refusal: MembershipRefusal | undefined =
      core === undefined || this.#stopped
        ? "not the leader"
        : core.changeMembership(change, this.#options.clock.getWallMs());
    if (core === undefined || refusal !== undefined) {
      throw new ServingError(MessageCode.MEMBERSHIP_REFUSED, {
        verdict: Verdict.NOT_RUN,
        parameters: { reason: refusal ?? "" },
      });
    }
    this.#wake();
    await this.#waitForCommit({ index: core.lastIndex, term: core.term });
  }

  /**
   * Transfers leadership to another voter, if there is one. Resolves once this
   * replica is no longer the leader, or after about two election timeouts.
   */
  async transferLeadership(): Promise<void> {
    const started = this.#core?.transferLeadership() ?? false;
    this.#wake();
    const maxPolls = started
      ? Math.ceil(2 * this.#timing.electionTimeoutMs / this.#timing.heartbeatMs)
      : 0;
    for (let poll = 0; poll < maxPolls && this.isLeader; poll += 1) {
      await this.#options.clock.delay(this.#timing.heartbeatMs);
    }
  }

  /** Returns the health of all members; empty unless this is the leader. */
  getMemberHealth(): MemberStatus[] {
    const core = this.#core;
    if (core === undefined || core.role !== Role.leader) return [];
    const nowMs = this.#options.clock.getMonotonicMs();
    return core.membership.members.map((member) => ({
      member,
      silentMs: Math.max(0, nowMs - core.getLastContactMs(member.id)),
      isCurrent: core.getMatchIndex(member.id) >= core.commitIndex,
      commandVersion: core.getCommandVersion(member.id),
    }));
  }

  getDump(): ReplicaDump {
    const core = this.#core;
    return {
      group: this.#options.group,
      role: core?.role ?? Role.follower,
      term: this.term,
      leader: this.leader,
      commitIndex: core?.commitIndex ?? 0,
      lastIndex: core?.lastIndex ?? 0,
      appliedIndex: this.#appliedIndex,
      segmentBytes: this.#store.segmentBytes,
      members: this.membership.members.map((member) => ({
        id: member.id,
        learner: member.learner,
        matchIndex: core?.getMatchIndex(member.id) ?? 0,
      })),
    };
  }

  /** Resolves with the state machine's reply; empty unless it is a command. */
  #waitForCommit(proposed: ProposedEntry): Promise<Uint8Array> {
    return new Promise((resolve, reject) => {
      this.#pendingProposals.set(proposed.index, {
        term: proposed.term,
        startMs: this.#options.clock.getMonotonicMs(),
        resolve,
        reject,
      });
    });
  }

  #wake(): void {
    send(this.#applyWake, true);
    send(this.#diskWake, true);
  }

  /** Must precede each use of the core that depends on its clock. */
  #checkSuspension(): void {
    if (!this.#suspensionDetector.check()) return;
    this.#core?.recordSuspension(this.#options.clock.getMonotonicMs());
    this.#options.log.info("contact_checked", {
      group: this.#options.group,
      leader: this.leader,
      term: this.term,
      reason: "the wall clock and the monotonic clock disagree",
    });
  }

  #tick(): void {
    this.#failOnError(() => {
      this.#checkSuspension();
      this.#core?.tick(this.#options.clock.getMonotonicMs());
      this.#hasCaughtUp ||= this.isCaughtUp();
    });
    this.#wake();
  }

  /**
   * Runs a change of the core on behalf of a timer or a connection, which have no
   * caller to fail: after an error in between, the replica must not go on.
   */
  #failOnError<T>(change: () => T): T | undefined {
    try {
      return change();
    } catch (error) {
      this.#fail(error);
      return undefined;
    }
  }

  /** An error of a listener, which only reads, does not concern the replica. */
  #notifyApplied(): void {
    try {
      this.#options.onApplied?.();
    } catch (error) {
      this.#options.log.error("task_failed", {
        task: "applied entries",
        ...getErrorFields(error),
      });
    }
  }

  #fail(error: unknown): void {
    if (this.#stopped) return;
    this.#options.log.error("replica_failed", {
      group: this.#options.group,
      reason: getReason(error),
    });
    logRejection(this.stop(), this.#options.log, "replica stop");
    this.#options.onFailure(error);
  }

  *#runDisk(): Routine<void> {
    while ((yield* tryReceive(this.#diskWake)) !== undefined) {
      let hasOutput = true;
      while (hasOutput) {
        hasOutput = yield* this.#flushDurableOutput();
        // Between any two flushes: under a steady load there is always output.
        yield* this.#compactLog();
        yield* this.#installSnapshot();
      }
    }
  }

  /** Stores the next durable output; returns false if there is none. */
  *#flushDurableOutput(): Routine<boolean> {
    const core = this.#getCore();
    const output = core.tryTakeDurableOutput();
    if (output === undefined || this.#stopped) return false;
    if (output.records.length > 0) {
      yield* waitFor(this.#store.append(output.records));
      this.#options.metrics.count(MetricName.syncs);
      this.#bytesSinceSnapshot += getRecordBytes(output.records);
      core.confirmDurable(output.durableIndex);
      send(this.#applyWake, true);
    }
    output.messagesAfterSync.forEach((message) => this.#send(message));
    return true;
  }

  *#compactLog(): Routine<void> {
    const mark = this.#pendingCompaction;
    if (mark === undefined || this.#stopped) return;
    this.#pendingCompaction = undefined;
    const core = this.#getCore();
    const retainedAfter = core.getRetainedAfter(Number(mark.index), {
      entries: RETAINED_ENTRIES,
      bytes: RETAINED_BYTES,
    });
    yield* waitFor(this.#store.compact(mark, {
      hardState: core.hardState,
      entries: core.getEntriesAfter(retainedAfter),
    }));
    core.compactTo(retainedAfter);
    this.#bytesSinceSnapshot = 0;
    this.#isSnapshotting = false;
  }

  *#installSnapshot(): Routine<void> {
    const install = this.#pendingInstall;
    this.#pendingInstall = undefined;
    const core = this.#getCore();
    if (install === undefined || this.#stopped) return;
    if (!core.needsSnapshot(install.image.mark)) return;
    yield* waitFor(this.#store.writeSnapshot(install.image));
    yield* waitFor(this.#store.compact(install.image.mark, {
      hardState: core.hardState,
      entries: [],
    }));
    if (!core.needsSnapshot(install.image.mark)) return;
    this.#options.machine.restore(install.image.parts);
    this.#appliedIndex = Number(install.image.mark.index);
    core.installSnapshot(
      install.image.mark,
      install.from,
      install.round,
      this.#options.clock.getMonotonicMs(),
    );
    this.#notifyApplied();
    this.#wake();
  }

  *#runApply(): Routine<void> {
    while ((yield* tryReceive(this.#applyWake)) !== undefined) {
      const core = this.#getCore();
      const output = core.tryTakeImmediateOutput();
      this.#reportRoleChange(core);
      if (output === undefined) continue;
      output.heartbeats.forEach((message) => this.#sendHeartbeat(message));
      output.messages.forEach((message) => this.#send(message));
      this.#applyAll(output.committed);
      output.snapshotRecipients.forEach((id) =>
        this.#startSnapshotTransfer(id)
      );
      send(this.#diskWake, true);
    }
  }

  #getCore(): ReplicaCore {
    if (this.#core === undefined) throw new Error("the replica is not started");
    return this.#core;
  }

  #send(message: ReplicaMessage): void {
    if (this.#stopped) return;
    this.#options.metrics.count(MetricName.replicaMessages);
    this.#options.transport.send(message);
  }

  #sendHeartbeat(message: ReplicaMessage): void {
    if (this.#stopped) return;
    this.#options.metrics.count(MetricName.replicaMessages);
    this.#options.transport.sendHeartbeat(message);
  }

  #reportRoleChange(core: ReplicaCore): void {
    if (core.role === this.#reportedRole) return;
    const wasLeader = this.#reportedRole === Role.leader;
    this.#reportedRole = core.role;
    this.#options.log.info("role_changed", {
      group: this.#options.group,
      role: core.role,
      term: core.term,
    });
    if (core.role === Role.leader) {
      this.#options.metrics.count(MetricName.elections);
    }
    if (wasLeader) this.#rejectPending("leadership was lost");
  }

  #applyAll(entries: readonly LogEntry[]): void {
    if (entries.length === 0) return;
    entries.forEach((entry) => this.#apply(entry));
    this.#notifyApplied();
    this.#startSnapshotIfDue();
  }

  #apply(entry: LogEntry): void {
    const index = Number(entry.index);
    const reply = entry.payload.case === "command"
      ? this.#options.machine.apply(entry.payload.value, {
        index,
        term: Number(entry.term),
        timeMs: Number(entry.timeMs),
      })
      : new Uint8Array();
    this.#appliedIndex = index;
    const pending = this.#pendingProposals.get(index);
    if (pending === undefined) return;
    this.#pendingProposals.delete(index);
    if (pending.term !== Number(entry.term)) {
      pending.reject(this.#createNotLeader());
      return;
    }
    const commitMs = this.#options.clock.getMonotonicMs() - pending.startMs;
    this.#options.metrics.time(MetricName.commitMs, commitMs);
    pending.resolve(reply);
  }

  #rejectPending(reason: string): void {
    const error = new ServingError(MessageCode.MAY_HAVE_COMMITTED, {
      verdict: Verdict.MAY_HAVE_RUN,
      parameters: { reason },
    });
    this.#pendingProposals.forEach((pending) => pending.reject(error));
    this.#pendingProposals.clear();
  }

  #createNotLeader(): ServingError {
    return new ServingError(MessageCode.NOT_LEADER, {
      verdict: Verdict.NOT_RUN,
      parameters: { replica: this.#options.id, group: this.#options.group },
    });
  }

  #startSnapshotIfDue(): void {
    const limit = this.#options.snapshotBytes ?? DEFAULT_SNAPSHOT_BYTES;
    if (this.#isSnapshotting || this.#bytesSinceSnapshot < limit) return;
    this.#isSnapshotting = true;
    const core = this.#getCore();
    const mark = core.createSnapshotMark(this.#appliedIndex);
    const parts = this.#options.machine.capture();
    this.#store.writeSnapshot({ mark, parts }).then(() => {
      this.#pendingCompaction = mark;
      this.#wake();
    }, (error) => this.#fail(error));
  }

  #startSnapshotTransfer(to: string): void {
    // Chunks of two transfers would mix.
    if (this.#snapshotTransfers.has(to)) return;
    this.#snapshotTransfers.add(to);
    this.#sendSnapshot(to)
      .catch((error) => this.#fail(error))
      .finally(() => this.#snapshotTransfers.delete(to));
  }

  /** Sends the chunks of a snapshot, each once the link has sent the one before. */
  async #sendSnapshot(to: string): Promise<void> {
    const core = this.#getCore();
    const { term } = core;
    const isLeading = () =>
      !this.#stopped && core.role === Role.leader && core.term === term;
    const snapshot = await this.#store.tryOpenSnapshot();
    if (snapshot === undefined) return;
    try {
      for await (const chunk of readSnapshotChunks(snapshot)) {
        while (isLeading() && this.#options.transport.isCongested(to)) {
          await this.#options.clock.delay(CONGESTION_CHECK_MS);
        }
        if (!isLeading()) return;
        this.#send(core.createSnapshotMessage(to, chunk));
      }
    } finally {
      await snapshot.file.close();
    }
  }

  #receiveSnapshot(
    core: ReplicaCore,
    message: ReplicaMessage,
    request: SnapshotRequest,
  ): void {
    const mark = request.mark ?? create(SnapshotMarkSchema);
    if (Number(message.term) !== core.term) return;
    if (!core.needsSnapshot(mark)) {
      core.acknowledgeSnapshot(mark, message.from, request.round);
      return;
    }
    const image = this.#snapshotAssembler.tryAddChunk(message.from, request);
    if (image === undefined) return;
    this.#pendingInstall = { image, from: message.from, round: request.round };
  }
}

function getRecordBytes(
  records: readonly { record: { case?: string; value?: unknown } }[],
): number {
  return records.reduce(
    (sum, { record }) =>
      sum +
      (record.case === "entry" ? getEntryBytes(record.value as LogEntry) : 0),
    0,
  );
}
