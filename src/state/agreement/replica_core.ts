/**
 * Raft consensus of one replica as a deterministic state machine. Its inputs
 * are messages, time and proposals; its outputs are records to persist,
 * messages to send and entries to apply. It does no I/O, so that tests can run
 * any order of events.
 *
 * The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote,
 * check-quorum, leader leases under bounded clock drift, learners,
 * single-member membership changes and leadership transfer.
 */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
  type AppendReply,
  type AppendRequest,
  type HardState,
  HardStateSchema,
  type LogEntry,
  LogEntrySchema,
  type LogRecord,
  type Membership,
  type ReplicaMessage,
  ReplicaMessageSchema,
  type SnapshotMark,
  SnapshotMarkSchema,
  type VoteReply,
  type VoteRequest,
} from "../../schema/mod.ts";
import { assert, assertNever } from "../../sys/errors.ts";
import type { Random } from "../../sys/random.ts";
import {
  createEntryRecord,
  createHardStateRecord,
  type RecoveredState,
} from "../log/replica_store.ts";
import { EntryLog, getEntryBytes } from "../log/entry_log.ts";
import {
  type AgreementTiming,
  CLOCK_DRIFT_BOUND,
  DEFAULT_TIMING,
  MAX_APPEND_BYTES,
  MAX_APPEND_ENTRIES,
  SNAPSHOT_RETRY_ELECTION_TIMEOUTS,
} from "./timing.ts";
import {
  type DurableOutput,
  type ImmediateOutput,
  type ProposedEntry,
  Role,
} from "./core_types.ts";
import { type Progress, ProgressTracker } from "./follower_progress.ts";
import {
  applyChange,
  type MembershipChange,
  type MembershipRefusal,
  validateChange,
} from "./membership_change.ts";
import { getQuorumSize, getQuorumValue, getVoters, isVoter } from "./quorum.ts";

type MessageBody = NonNullable<
  MessageInitShape<typeof ReplicaMessageSchema>["body"]
>;

/** Options of a {@linkcode ReplicaCore}. */
export interface ReplicaCoreOptions {
  readonly id: string;
  readonly group: number;
  readonly recovered: RecoveredState;
  /** Members of the group until the log holds a membership entry. */
  readonly initialMembership: Membership;
  readonly random: Random;
  readonly nowMs: number;
  readonly timing?: AgreementTiming;
  /** Newest version of the group's commands that this replica applies. */
  readonly commandVersion?: number;
}

/** Raft state of one replica. */
export class ReplicaCore {
  readonly #id: string;
  readonly #group: number;
  readonly #random: Random;
  readonly #timing: AgreementTiming;
  readonly #commandVersion: number;
  readonly #log: EntryLog;
  readonly #initialMembership: Membership;
  /** Membership at the base index of the log. */
  #baseMembership: Membership;
  #membership: Membership;
  #membershipIndex = 0;
  #hardState: HardState;
  #role: Role = Role.follower;
  #leader = "";
  #commitIndex: number;
  /** Highest commit index that a leader has sent; entries may be missing here. */
  #leaderCommitIndex = 0;
  /** Index of the last entry that was output to be applied. */
  #applyingIndex: number;
  /** Index up to which this replica's own log is durable. */
  #durableIndex: number;
  #votes = new Set<string>();
  readonly #progressTracker = new ProgressTracker();
  /** Index of the barrier entry, the first one that a leader appends. */
  #termStartIndex = 0;
  #termStartMs = 0;
  /** Target of the current leadership transfer; empty if there is none. */
  #transferTo = "";
  #transferDeadlineMs = 0;
  #lastLeaderContactMs: number;
  #electionDueMs = 0;
  #heartbeatDueMs = 0;
  #nowMs: number;
  /** Time of the last tick. */
  #tickedMs: number;
  /** Whether no contact counts as lost at the last tick because of a stall. */
  #defersElection = false;
  #immediateMessages: ReplicaMessage[] = [];
  #heartbeats: ReplicaMessage[] = [];
  #messagesAfterSync: ReplicaMessage[] = [];
  #records: LogRecord[] = [];
  /** Lowest entry index in `#records`; Infinity if it holds no entries. */
  #firstQueuedIndex = Infinity;
  #snapshotRecipients = new Set<string>();
  /** Whether the next immediate output must include append requests. */
  #broadcastDue = false;
  /** Whether this leader has sent TimeoutNow in its term. */
  #timeoutNowSent = false;
  /** Time of the last possible suspension, on the clock that it doesn't count. */
  #suspendedMs = -Infinity;
  /** Number of possible suspensions, which replies to the leader carry. */
  #contactCheck = 0n;
  /** Contact check that a leader sent back last. */
  #confirmedContactCheck = 0n;

  constructor(options: ReplicaCoreOptions) {
    const { recovered } = options;
    this.#id = options.id;
    this.#group = options.group;
    this.#random = options.random;
    this.#timing = options.timing ?? DEFAULT_TIMING;
    this.#commandVersion = options.commandVersion ?? 0;
    this.#log = new EntryLog(recovered.mark, recovered.entries);
    this.#hardState = recovered.hardState;
    this.#initialMembership = options.initialMembership;
    this.#baseMembership = recovered.mark.membership ??
      options.initialMembership;
    this.#membership = this.#baseMembership;
    this.#commitIndex = this.#log.baseIndex;
    this.#applyingIndex = this.#log.baseIndex;
    this.#durableIndex = this.#log.lastIndex;
    this.#nowMs = options.nowMs;
    this.#tickedMs = options.nowMs;
    // This replica may have acknowledged a leader before a restart, and its
    // lease may not have ended. Until an election timeout has passed, it must
    // not grant votes.
    this.#lastLeaderContactMs = options.nowMs;
    this.#reloadMembership();
    this.#resetElectionTimer();
  }

  get role(): Role {
    return this.#role;
  }

  get term(): number {
    return Number(this.#hardState.term);
  }

  /** Id of the known leader; empty when there is none. */
  get leader(): string {
    return this.#leader;
  }

  get commitIndex(): number {
    return this.#commitIndex;
  }

  /**
   * Whether a state with the entries up to `appliedIndex` holds everything that
   * was committed when the known leader sent its last message. A leader alone
   * proves nothing about that state: a member that was cut off, suspended or
   * removed may hear of a leader long before it has the entries. After a
   * suspension or a stall, the messages that waited meanwhile prove nothing either.
   */
  isCaughtUp(appliedIndex: number, nowMs: number): boolean {
    this.#advanceTo(nowMs);
    return this.#leader !== "" && this.#isContactConfirmed() &&
      appliedIndex >= Math.max(this.#commitIndex, this.#leaderCommitIndex) &&
      this.#log.tryGetTerm(appliedIndex) === this.term;
  }

  get lastIndex(): number {
    return this.#log.lastIndex;
  }

  get membership(): Membership {
    return this.#membership;
  }

  /** Index of the first entry of the current term; valid on the leader only. */
  get termStartIndex(): number {
    return this.#termStartIndex;
  }

  get hardState(): HardState {
    return this.#hardState;
  }

  /** Index of the newest membership entry; zero when the log holds none. */
  get membershipIndex(): number {
    return this.#membershipIndex;
  }

  /** Last index known to be replicated to `id`; valid on the leader only. */
  getMatchIndex(id: string): number {
    return id === this.#id
      ? this.#durableIndex
      : this.#progressTracker.tryGet(id)?.matchIndex ?? 0;
  }

  /** Version of commands that `id` applies; valid on the leader only. */
  getCommandVersion(id: string): number {
    return id === this.#id
      ? this.#commandVersion
      : this.#progressTracker.tryGet(id)?.commandVersion ?? 0;
  }

  /** Time at which `id` was last in contact; valid on the leader only. */
  getLastContactMs(id: string): number {
    return id === this.#id
      ? this.#nowMs
      : this.#progressTracker.tryGet(id)?.lastContactMs ?? -Infinity;
  }

  /**
   * Whether this replica may answer reads from its local state: it leads, its
   * lease holds under the clock drift bound, and it has committed an entry of
   * its term.
   */
  holdsLease(nowMs: number): boolean {
    return this.getLeaseLeftMs(nowMs) > 0;
  }

  /** Remaining time of the lease in milliseconds; at most zero without one. */
  getLeaseLeftMs(nowMs: number): number {
    const canHoldLease = this.#role === Role.leader &&
      this.#transferTo === "" &&
      this.#commitIndex >= this.#termStartIndex;
    const contactMs = this.#getQuorumContactMs(nowMs);
    if (!canHoldLease || contactMs <= this.#suspendedMs) return 0;
    const leaseMs = this.#timing.electionTimeoutMs * (1 - CLOCK_DRIFT_BOUND);
    return contactMs + leaseMs - nowMs;
  }

  /**
   * Records that this replica may have been suspended, which its clock did not
   * count. Until an exchange of messages that begins now is complete, a leader
   * holds no lease, and no replica counts as caught up.
   */
  recordSuspension(nowMs: number): void {
    this.#suspendedMs = nowMs;
    this.#contactCheck += 1n;
  }

  /**
   * Sets the time. A process that stood still for an election timeout, as one that is
   * stopped by a signal, has missed what was committed meanwhile, and reads first what
   * was sent before: as after a suspension, contact must be confirmed anew.
   */
  #advanceTo(nowMs: number): void {
    const elapsedMs = nowMs - this.#nowMs;
    this.#nowMs = nowMs;
    if (elapsedMs > this.#timing.electionTimeoutMs) {
      this.recordSuspension(nowMs);
    }
  }

  #isContactConfirmed(): boolean {
    return this.#role === Role.leader
      ? this.#getQuorumContactMs() > this.#suspendedMs
      : this.#confirmedContactCheck === this.#contactCheck;
  }

  /**
   * Advances the clock; fires the election and heartbeat timers. After a stall of
   * the process no contact counts as lost before the next tick, since messages that
   * arrived meanwhile are read only after this one. This holds for one tick only: on
   * a slow host each may come late.
   */
  tick(nowMs: number): void {
    const hasStalled = nowMs - this.#tickedMs > this.#timing.heartbeatMs;
    this.#advanceTo(nowMs);
    this.#tickedMs = nowMs;
    this.#defersElection = hasStalled && !this.#defersElection;
    if (this.#role === Role.leader) {
      this.#tickLeader();
      return;
    }
    const isDue = nowMs >= this.#electionDueMs && !this.#defersElection;
    if (isDue) this.#startPreVote();
  }

  /** Appends a command; undefined unless leader without a pending transfer. */
  tryPropose(command: Uint8Array, wallMs: number): ProposedEntry | undefined {
    if (this.#role !== Role.leader || this.#transferTo !== "") return undefined;
    return this.#appendAsLeader({ case: "command", value: command }, wallMs);
  }

  /** Appends a membership change, or returns why it is refused. */
  changeMembership(
    change: MembershipChange,
    wallMs: number,
  ): MembershipRefusal | undefined {
    const refusal = validateChange(this.#membership, change, {
      isLeader: this.#role === Role.leader,
      isChangePending: this.#membershipIndex > this.#commitIndex,
      hasCommittedInTerm: this.#commitIndex >= this.#termStartIndex,
      commitIndex: this.#commitIndex,
      getMatchIndex: (id) => this.getMatchIndex(id),
    });
    if (refusal !== undefined) return refusal;
    const value = applyChange(this.#membership, change);
    this.#appendAsLeader({ case: "membership", value }, wallMs);
    return undefined;
  }

  /**
   * Starts a leadership transfer to the voter with the longest matching log.
   * Returns false if this replica is not the leader or is the only voter.
   */
  transferLeadership(): boolean {
    if (this.#role !== Role.leader) return false;
    const target = getVoters(this.#membership)
      .filter((member) => member.id !== this.#id)
      .sort((a, b) => this.getMatchIndex(b.id) - this.getMatchIndex(a.id))[0];
    if (target === undefined) return false;
    this.#transferTo = target.id;
    this.#transferDeadlineMs = this.#nowMs + this.#timing.electionTimeoutMs;
    this.#continueTransfer();
    return true;
  }

  /** Handles a message from another replica. */
  receive(message: ReplicaMessage, nowMs: number): void {
    this.#advanceTo(nowMs);
    const { body } = message;
    if (body.case === undefined) return;
    if (body.case === "voteRequest") {
      this.#receiveVoteRequest(message, body.value);
      return;
    }
    if (body.case === "voteReply" && body.value.preVote) {
      this.#receivePreVoteReply(message, body.value);
      return;
    }
    const term = Number(message.term);
    if (term > this.term) this.#becomeFollower(term, "");
    if (term < this.term) {
      this.#rejectStaleTerm(message);
      return;
    }
    switch (body.case) {
      case "voteReply":
        this.#receiveVoteReply(message, body.value);
        return;
      case "appendRequest":
        this.#receiveAppend(message, body.value);
        return;
      case "appendReply":
        this.#receiveAppendReply(message, body.value);
        return;
      case "snapshotRequest":
        this.#recordLeaderContact(message.from);
        return;
      case "timeoutNow":
        if (isVoter(this.#membership, this.#id)) this.#startElection(true);
        return;
      default:
        assertNever(body);
    }
  }

  /** Whether a snapshot at `mark` holds entries that this log lacks. */
  needsSnapshot(mark: SnapshotMark): boolean {
    const index = Number(mark.index);
    return index > this.#commitIndex &&
      this.#log.tryGetTerm(index) !== Number(mark.term);
  }

  /** Acknowledges a snapshot that the log already covers. */
  acknowledgeSnapshot(mark: SnapshotMark, from: string, round: bigint): void {
    this.#replyAppend(from, true, Number(mark.index), round);
  }

  /** Creates the message to `to` that carries one chunk of a snapshot. */
  createSnapshotMessage(
    to: string,
    chunk: {
      mark: SnapshotMark;
      state: Uint8Array;
      offset: number;
      last: boolean;
    },
  ): ReplicaMessage {
    return this.#createMessage(to, {
      case: "snapshotRequest",
      value: {
        ...chunk,
        offset: BigInt(chunk.offset),
        round: BigInt(this.#progressTracker.round),
      },
    }, this.term);
  }

  /**
   * Replaces the log by a snapshot from the leader, which is durable already.
   */
  installSnapshot(
    mark: SnapshotMark,
    from: string,
    round: bigint,
    nowMs: number,
  ): void {
    this.#nowMs = nowMs;
    const index = Number(mark.index);
    assert(this.needsSnapshot(mark), "a snapshot must be ahead of the log");
    this.#log.reset(index, Number(mark.term));
    this.#baseMembership = mark.membership ?? this.#initialMembership;
    this.#reloadMembership();
    this.#commitIndex = index;
    this.#applyingIndex = index;
    this.#durableIndex = index;
    this.#records = this.#records.filter((record) =>
      record.record.case === "hardState"
    );
    this.#firstQueuedIndex = Infinity;
    // These replies acknowledge entries that the snapshot has replaced.
    this.#messagesAfterSync = this.#messagesAfterSync.filter((message) =>
      message.body.case !== "appendReply"
    );
    this.#replyAppend(from, true, index, round);
  }

  /** Drops the entries up to `index`, which a stored snapshot covers. */
  compactTo(index: number): void {
    const term = this.#log.tryGetTerm(index);
    if (index <= this.#log.baseIndex || term === undefined) return;
    this.#baseMembership = this.#getMembershipAt(index);
    this.#log.compactTo(index, term);
  }

  /** Creates the mark (the metadata) of a snapshot of the state at `index`. */
  createSnapshotMark(index: number): SnapshotMark {
    const term = this.#log.tryGetTerm(index) ?? 0;
    return create(SnapshotMarkSchema, {
      index: BigInt(index),
      term: BigInt(term),
      membership: this.#getMembershipAt(index),
    });
  }

  /**
   * Returns the lowest index after which the entries up to `index` are within the
   * limits.
   */
  getRetainedAfter(
    index: number,
    limits: { entries: number; bytes: number },
  ): number {
    return this.#log.getRetainedAfter(index, limits);
  }

  /** Returns the entries after `index`. */
  getEntriesAfter(index: number): LogEntry[] {
    return this.#log.getAfter(index);
  }

  /** Takes the output that must not wait for the disk; undefined when empty. */
  tryTakeImmediateOutput(): ImmediateOutput | undefined {
    if (this.#broadcastDue && this.#role === Role.leader) this.#broadcast();
    this.#broadcastDue = false;
    const committed = this.#takeCommitted();
    const messages = this.#immediateMessages;
    const heartbeats = this.#heartbeats;
    const snapshotRecipients = [...this.#snapshotRecipients];
    const count = messages.length + heartbeats.length + committed.length +
      snapshotRecipients.length;
    if (count === 0) return undefined;
    this.#immediateMessages = [];
    this.#heartbeats = [];
    this.#snapshotRecipients.clear();
    return { messages, heartbeats, committed, snapshotRecipients };
  }

  /** Takes the records to persist next; undefined when there is no output. */
  tryTakeDurableOutput(): DurableOutput | undefined {
    const records = this.#records;
    const messagesAfterSync = this.#messagesAfterSync;
    if (records.length + messagesAfterSync.length === 0) return undefined;
    this.#records = [];
    this.#firstQueuedIndex = Infinity;
    this.#messagesAfterSync = [];
    return { records, durableIndex: this.#log.lastIndex, messagesAfterSync };
  }

  /** Reports that the records of an output are durable, up to `index`. */
  confirmDurable(index: number): void {
    // Entries that were replaced since the output was taken are not durable.
    this.#durableIndex = Math.min(index, this.#firstQueuedIndex - 1);
    if (this.#role === Role.leader) this.#advanceCommitIndex();
  }

  #takeCommitted(): LogEntry[] {
    const count = this.#commitIndex - this.#applyingIndex;
    if (count <= 0) return [];
    const entries = this.#log.getAfter(this.#applyingIndex).slice(0, count);
    this.#applyingIndex = this.#commitIndex;
    return entries;
  }

  #tickLeader(): void {
    const sinceQuorumMs = this.#nowMs - this.#getQuorumContactMs();
    const hasLostQuorum = !this.#defersElection &&
      sinceQuorumMs > this.#timing.electionTimeoutMs;
    if (hasLostQuorum) {
      this.#becomeFollower(this.term, "");
      return;
    }
    if (this.#transferTo !== "" && this.#nowMs >= this.#transferDeadlineMs) {
      this.#abortTransfer();
      if (this.#role !== Role.leader) return;
    }
    if (this.#nowMs < this.#heartbeatDueMs) return;
    this.#heartbeatDueMs = this.#nowMs + this.#timing.heartbeatMs;
    this.#broadcast();
    this.#progressTracker.forEach((progress, id) => {
      if (progress.sent.length > 0) this.#sendMatchedAppend(id, progress);
    });
  }

  /**
   * Ends a transfer that missed its deadline. Once TimeoutNow was sent, the
   * target may still start an election that disregards the lease, so this
   * replica steps down rather than rely on its lease in this term.
   */
  #abortTransfer(): void {
    this.#transferTo = "";
    if (this.#timeoutNowSent) this.#becomeFollower(this.term, "");
  }

  #resetElectionTimer(): void {
    const base = this.#timing.electionTimeoutMs;
    this.#electionDueMs = this.#nowMs + base +
      this.#random.getFraction() * base;
  }

  #startPreVote(): void {
    this.#resetElectionTimer();
    // Learners and removed members lose contact with the leader too.
    this.#leader = "";
    if (!isVoter(this.#membership, this.#id)) return;
    this.#role = Role.preCandidate;
    this.#votes = new Set([this.#id]);
    if (this.#hasMajority()) {
      this.#startElection(false);
      return;
    }
    this.#requestVotes({ preVote: true, transfer: false });
  }

  #startElection(transfer: boolean): void {
    this.#resetElectionTimer();
    this.#setHardState(this.term + 1, this.#id);
    this.#role = Role.candidate;
    this.#leader = "";
    this.#votes = new Set([this.#id]);
    if (this.#hasMajority()) {
      this.#becomeLeader();
      return;
    }
    this.#requestVotes({ preVote: false, transfer });
  }

  #requestVotes(options: { preVote: boolean; transfer: boolean }): void {
    const term = options.preVote ? this.term + 1 : this.term;
    const value = {
      ...options,
      lastIndex: BigInt(this.#log.lastIndex),
      lastTerm: BigInt(this.#log.lastTerm),
    };
    getVoters(this.#membership)
      .filter((member) => member.id !== this.#id)
      .forEach((member) =>
        this.#sendAfterSync(member.id, { case: "voteRequest", value }, term)
      );
  }

  /**
   * Handles a vote or pre-vote request. While a leader is in contact, requests
   * that could start a new term are ignored, because the leader's lease may
   * hold. Requests of a leadership transfer are exempt: a leader that transfers
   * does not use its lease.
   */
  #receiveVoteRequest(message: ReplicaMessage, request: VoteRequest): void {
    const term = Number(message.term);
    const hasLiveLeader = this.#role === Role.leader
      ? this.#nowMs <
        this.#getQuorumContactMs() + this.#timing.electionTimeoutMs
      : this.#nowMs <
        this.#lastLeaderContactMs + this.#timing.electionTimeoutMs;
    if (hasLiveLeader && !request.transfer) {
      if (term >= this.term && request.preVote) return;
      if (term > this.term) return;
    }
    if (request.preVote) {
      const granted = term > this.term && this.#isUpToDate(request);
      this.#replyVote(message.from, granted ? term : this.term, {
        preVote: true,
        granted,
      });
      return;
    }
    if (term > this.term) this.#becomeFollower(term, "");
    const canVote = this.#hardState.votedFor === "" ||
      this.#hardState.votedFor === message.from;
    const granted = term === this.term && canVote &&
      this.#role === Role.follower && this.#isUpToDate(request);
    if (granted) {
      this.#setHardState(this.term, message.from);
      this.#resetElectionTimer();
    }
    this.#replyVote(message.from, this.term, { preVote: false, granted });
  }

  #isUpToDate(request: VoteRequest): boolean {
    const lastTerm = Number(request.lastTerm);
    if (lastTerm !== this.#log.lastTerm) return lastTerm > this.#log.lastTerm;
    return Number(request.lastIndex) >= this.#log.lastIndex;
  }

  #replyVote(
    to: string,
    term: number,
    value: { preVote: boolean; granted: boolean },
  ): void {
    this.#sendAfterSync(to, { case: "voteReply", value }, term);
  }

  #receivePreVoteReply(message: ReplicaMessage, reply: VoteReply): void {
    const term = Number(message.term);
    if (!reply.granted) {
      if (term > this.term) this.#becomeFollower(term, "");
      return;
    }
    if (this.#role !== Role.preCandidate || term !== this.term + 1) return;
    this.#votes.add(message.from);
    if (this.#hasMajority()) this.#startElection(false);
  }

  #receiveVoteReply(message: ReplicaMessage, reply: VoteReply): void {
    if (this.#role !== Role.candidate || !reply.granted) return;
    this.#votes.add(message.from);
    if (this.#hasMajority()) this.#becomeLeader();
  }

  #hasMajority(): boolean {
    const votes = getVoters(this.#membership)
      .filter((member) => this.#votes.has(member.id)).length;
    return votes >= getQuorumSize(this.#membership);
  }

  #becomeFollower(term: number, leader: string): void {
    if (term > this.term) this.#setHardState(term, "");
    const changed = this.#role !== Role.follower;
    this.#role = Role.follower;
    this.#leader = leader;
    this.#transferTo = "";
    this.#progressTracker.clear();
    if (changed) this.#resetElectionTimer();
  }

  #becomeLeader(): void {
    this.#role = Role.leader;
    this.#leader = this.#id;
    this.#transferTo = "";
    this.#timeoutNowSent = false;
    this.#progressTracker.clear();
    this.#termStartMs = this.#nowMs;
    this.#updateTrackedMembers();
    const barrier = this.#appendAsLeader({ case: "barrier", value: true }, 0);
    this.#termStartIndex = barrier.index;
    this.#heartbeatDueMs = this.#nowMs + this.#timing.heartbeatMs;
  }

  #updateTrackedMembers(): void {
    const others = this.#membership.members.map((member) => member.id)
      .filter((id) => id !== this.#id);
    this.#progressTracker.setMembers(others, {
      nextIndex: this.#log.lastIndex + 1,
      lastContactMs: this.#termStartMs,
    });
  }

  #appendAsLeader(payload: LogEntry["payload"], wallMs: number): ProposedEntry {
    const entry = create(LogEntrySchema, {
      index: BigInt(this.#log.lastIndex + 1),
      term: BigInt(this.term),
      timeMs: BigInt(wallMs),
      payload,
    });
    this.#appendEntry(entry);
    this.#broadcastDue = true;
    return { index: Number(entry.index), term: this.term };
  }

  #appendEntry(entry: LogEntry): void {
    this.#log.append(entry);
    this.#records.push(createEntryRecord(entry));
    this.#firstQueuedIndex = Math.min(
      this.#firstQueuedIndex,
      Number(entry.index),
    );
    if (entry.payload.case === "membership") this.#reloadMembership();
  }

  #broadcast(): void {
    this.#progressTracker.startRound(this.#nowMs);
    const probeDueMs = this.#nowMs - this.#timing.heartbeatMs / 2;
    this.#progressTracker.forEach((progress, id) => {
      if (!progress.isProbing) this.#sendAppend(id, progress);
      else if (progress.probeSentMs <= probeDueMs) {
        this.#sendProbe(id, progress);
      }
    });
  }

  #sendAppend(id: string, progress: Progress): void {
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = this.#log.tryGetTerm(previousIndex);
    if (previousTerm === undefined) {
      this.#scheduleSnapshot(id, progress);
      return;
    }
    // Entries are pipelined: a lost message is detected when the next one is
    // rejected.
    const canSendEntries = !progress.isProbing &&
      this.#progressTracker.hasInflightCapacity(progress);
    const entries = canSendEntries
      ? this.#getEntriesFrom(progress.nextIndex)
      : [];
    const bytes = entries.reduce((sum, entry) => sum + getEntryBytes(entry), 0);
    this.#progressTracker.recordSent(progress, entries.length, bytes);
    const message = this.#createAppend(id, progress, {
      previousIndex,
      previousTerm,
      entries,
    });
    // A request after entries in flight reveals their loss, so it must not
    // overtake them.
    if (progress.sent.length > 0) this.#immediateMessages.push(message);
    else this.#heartbeats.push(message);
  }

  /**
   * Sends a heartbeat after the last entry that the member is known to have. It
   * is accepted even if it overtakes entries in flight.
   */
  #sendMatchedAppend(id: string, progress: Progress): void {
    const previousIndex = progress.matchIndex;
    const previousTerm = this.#log.tryGetTerm(previousIndex);
    if (previousTerm === undefined) {
      this.#sendEmptyAppend(id, progress);
      return;
    }
    this.#heartbeats.push(
      this.#createAppend(id, progress, {
        previousIndex,
        previousTerm,
        entries: [],
      }),
    );
  }

  #createAppend(
    id: string,
    progress: Progress,
    options: {
      previousIndex: number;
      previousTerm: number;
      entries: LogEntry[];
    },
  ): ReplicaMessage {
    return this.#createMessage(id, {
      case: "appendRequest",
      value: {
        previousIndex: BigInt(options.previousIndex),
        previousTerm: BigInt(options.previousTerm),
        commitIndex: BigInt(this.#commitIndex),
        entries: options.entries,
        round: BigInt(this.#progressTracker.round),
        contactCheck: progress.contactCheck,
      },
    }, this.term);
  }

  #getEntriesFrom(index: number): LogEntry[] {
    return this.#log.slice(index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES);
  }

  #sendProbe(id: string, progress: Progress): void {
    this.#progressTracker.startProbe(progress, this.#nowMs);
    this.#sendAppend(id, progress);
  }

  #scheduleSnapshot(id: string, progress: Progress): void {
    const waitMs = this.#timing.electionTimeoutMs *
      SNAPSHOT_RETRY_ELECTION_TIMEOUTS;
    if (this.#nowMs < progress.snapshotSentMs + waitMs) {
      this.#sendEmptyAppend(id, progress);
      return;
    }
    progress.snapshotSentMs = this.#nowMs;
    this.#snapshotRecipients.add(id);
  }

  /** Sends a heartbeat to a member whose log cannot be matched yet. */
  #sendEmptyAppend(id: string, progress: Progress): void {
    this.#heartbeats.push(
      this.#createAppend(id, progress, {
        previousIndex: 0,
        previousTerm: 0,
        entries: [],
      }),
    );
  }

  #recordLeaderContact(from: string): void {
    if (this.#role !== Role.follower) this.#becomeFollower(this.term, from);
    this.#leader = from;
    this.#lastLeaderContactMs = this.#nowMs;
    this.#resetElectionTimer();
  }

  #receiveAppend(message: ReplicaMessage, request: AppendRequest): void {
    assert(this.#role !== Role.leader, "a term must have a single leader");
    this.#recordLeaderContact(message.from);
    this.#confirmedContactCheck = request.contactCheck ?? this.#contactCheck;
    this.#leaderCommitIndex = Math.max(
      this.#leaderCommitIndex,
      Number(request.commitIndex),
    );
    const previousIndex = Number(request.previousIndex);
    const localTerm = this.#log.tryGetTerm(previousIndex);
    const isBeforeBase = previousIndex < this.#log.baseIndex;
    if (!isBeforeBase && localTerm !== Number(request.previousTerm)) {
      const hint = this.#getMatchHint(previousIndex);
      this.#replyAppend(message.from, false, hint, request.round);
      return;
    }
    request.entries.forEach((entry) => this.#acceptEntry(entry));
    const matched = previousIndex + request.entries.length;
    this.#commitIndex = Math.max(
      this.#commitIndex,
      Math.min(Number(request.commitIndex), matched),
    );
    this.#replyAppend(message.from, true, matched, request.round);
  }

  /**
   * Returns the last index that may match the leader's log. It skips the
   * uncommitted entries of the conflicting term in one step: a leader that
   * lacks one of them usually lacks the others as well.
   */
  #getMatchHint(previousIndex: number): number {
    const conflictingTerm = this.#log.tryGetTerm(previousIndex);
    let hint = Math.min(this.#log.lastIndex, previousIndex - 1);
    while (
      conflictingTerm !== undefined && hint > this.#commitIndex &&
      this.#log.tryGetTerm(hint) === conflictingTerm
    ) hint -= 1;
    return hint;
  }

  #acceptEntry(entry: LogEntry): void {
    const index = Number(entry.index);
    if (index <= this.#log.baseIndex) return;
    const localTerm = this.#log.tryGetTerm(index);
    if (localTerm === Number(entry.term)) return;
    if (localTerm !== undefined) {
      assert(index > this.#commitIndex, "a committed entry must not change");
      this.#log.truncateFrom(index);
      this.#durableIndex = Math.min(this.#durableIndex, index - 1);
      this.#reloadMembership();
    }
    this.#appendEntry(entry);
  }

  #replyAppend(
    to: string,
    accepted: boolean,
    matchIndex: number,
    round: bigint,
  ): void {
    this.#sendAfterSync(to, {
      case: "appendReply",
      value: {
        accepted,
        matchIndex: BigInt(matchIndex),
        round,
        contactCheck: this.#contactCheck,
        commandVersion: this.#commandVersion,
      },
    }, this.term);
  }

  #receiveAppendReply(message: ReplicaMessage, reply: AppendReply): void {
    const progress = this.#progressTracker.tryGet(message.from);
    if (this.#role !== Role.leader || progress === undefined) return;
    this.#progressTracker.recordReply(progress, reply);
    const matchIndex = Number(reply.matchIndex);
    if (!reply.accepted) {
      const { round } = reply;
      const isLatestProbe = this.#progressTracker
        .recordRejection(progress, Number(round), matchIndex);
      if (isLatestProbe) this.#sendProbe(message.from, progress);
      return;
    }
    // The member is waiting for a snapshot and replied to an empty append.
    if (matchIndex < this.#log.baseIndex) return;
    this.#progressTracker.recordMatch(progress, matchIndex);
    if (progress.matchIndex > this.#log.baseIndex) {
      progress.snapshotSentMs = -Infinity;
    }
    this.#sendMissingEntries(message.from, progress);
    this.#advanceCommitIndex();
    this.#continueTransfer();
  }

  /** Sends the missing entries, up to the limit on unacknowledged bytes. */
  #sendMissingEntries(id: string, progress: Progress): void {
    const isBehind = () =>
      progress.nextIndex <= this.#log.lastIndex &&
      this.#progressTracker.hasInflightCapacity(progress);
    while (isBehind()) this.#sendAppend(id, progress);
  }

  #advanceCommitIndex(): void {
    const index = getQuorumValue(
      this.#membership,
      (id) => this.getMatchIndex(id),
    );
    if (index <= this.#commitIndex) return;
    // Only entries of the current term are committed by counting replicas;
    // earlier ones are committed along with them (Raft, section 5.4.2).
    if (this.#log.tryGetTerm(index) !== this.term) return;
    this.#commitIndex = index;
    const isRemoved = this.#membershipIndex <= index &&
      !isVoter(this.#membership, this.#id);
    this.#broadcastDue = true;
    if (isRemoved) this.#becomeFollower(this.term, "");
  }

  #continueTransfer(): void {
    if (this.#role !== Role.leader || this.#transferTo === "") return;
    if (this.getMatchIndex(this.#transferTo) !== this.#log.lastIndex) return;
    this.#timeoutNowSent = true;
    this.#sendImmediately(this.#transferTo, { case: "timeoutNow", value: {} });
  }

  #getQuorumContactMs(nowMs = this.#nowMs): number {
    return getQuorumValue(
      this.#membership,
      (id) =>
        id === this.#id
          ? nowMs
          : this.#progressTracker.tryGet(id)?.lastContactMs ?? -Infinity,
    );
  }

  #getMembershipAt(index: number): Membership {
    const entry = this.#log.tryFindLast((candidate) =>
      candidate.payload.case === "membership" &&
      Number(candidate.index) <= index
    );
    return entry?.payload.case === "membership"
      ? entry.payload.value
      : this.#baseMembership;
  }

  #reloadMembership(): void {
    const entry = this.#log.tryFindLast((candidate) =>
      candidate.payload.case === "membership"
    );
    this.#membership = entry?.payload.case === "membership"
      ? entry.payload.value
      : this.#baseMembership;
    this.#membershipIndex = Number(entry?.index ?? 0n);
    if (this.#role === Role.leader) this.#updateTrackedMembers();
  }

  #setHardState(term: number, votedFor: string): void {
    this.#hardState = create(HardStateSchema, {
      term: BigInt(term),
      votedFor,
    });
    this.#records.push(createHardStateRecord(this.#hardState));
  }

  /**
   * Rejects a request of an old term; the reply tells its sender the new one.
   */
  #rejectStaleTerm(message: ReplicaMessage): void {
    const { body } = message;
    if (body.case === "appendRequest" || body.case === "snapshotRequest") {
      this.#replyAppend(message.from, false, 0, body.value.round);
    }
  }

  #sendImmediately(to: string, body: MessageBody): void {
    this.#immediateMessages.push(this.#createMessage(to, body, this.term));
  }

  #sendAfterSync(to: string, body: MessageBody, term: number): void {
    this.#messagesAfterSync.push(this.#createMessage(to, body, term));
  }

  #createMessage(to: string, body: MessageBody, term: number): ReplicaMessage {
    return create(ReplicaMessageSchema, {
      group: this.#group,
      from: this.#id,
      to,
      term: BigInt(term),
      body,
    });
  }
}
