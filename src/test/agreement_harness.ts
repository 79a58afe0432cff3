/**
 * Replica cores on a simulated network, clock and disk, driven by one seed.
 * Only synced records survive a crash, and messages that depend on them are
 * sent only after the sync.
 */
import { create } from "@bufbuild/protobuf";
import {
  HardStateSchema,
  type LogEntry,
  type LogRecord,
  type Membership,
  MembershipSchema,
  type ReplicaMessage,
  SnapshotMarkSchema,
} from "../schema/mod.ts";
import { type DurableOutput, ReplicaCore, Role } from "../state/mod.ts";
import { SeededRandom } from "../sys/random.ts";
import { SuspensionDetector } from "../sys/suspension_detector.ts";

/** Interval between the heartbeats of a leader, in milliseconds. */
export const HEARTBEAT_MS = 50;

const TIMING = { heartbeatMs: HEARTBEAT_MS, electionTimeoutMs: 300 };

/** Maximum relative deviation of a host's clock rate from real time. */
const MAX_CLOCK_DRIFT = 0.02;

interface SimulatedHost {
  readonly id: string;
  readonly clockRate: number;
  core: ReplicaCore;
  durable: LogRecord[];
  pending: DurableOutput | undefined;
  applied: LogEntry[];
  isUp: boolean;
  /** While a host is frozen, its clock stands still and messages to it wait. */
  isFrozen: boolean;
  /** While a host's process stalls, its clock runs on and messages to it wait. */
  isStalled: boolean;
  /** Total time for which it has been frozen, in milliseconds. */
  frozenMs: number;
  /** Messages that wait for the end of the freeze or stall. */
  waiting: ReplicaMessage[];
}

/** Probabilities with which the network loses and duplicates a message. */
export interface NetworkFaults {
  readonly loss: number;
  readonly duplication: number;
}

/** Group of replicas whose events are chosen by a seeded generator. */
export class SimulatedGroup {
  readonly hosts: SimulatedHost[];
  readonly random: SeededRandom;
  readonly #membership: Membership;
  readonly #leaderByTerm = new Map<number, string>();
  /** Directed links that drop all messages, as `from>to`. */
  readonly blockedLinks = new Set<string>();
  readonly #suspensionDetectors = new Map<string, SuspensionDetector>();
  #messages: ReplicaMessage[] = [];
  /** Messages that wait until `delaysEntries` is cleared. */
  #delayed: ReplicaMessage[] = [];
  #nowMs = 1_000;
  #proposalCount = 0;
  /** Newest index that any host has applied. */
  #newestIndex = 0;
  /** Bytes of commands sent to each host, whether delivered or not. */
  readonly sentBytes = new Map<string, number>();
  /** Number of requests for votes and pre-votes that were sent. */
  voteRequestCount = 0;
  faults: NetworkFaults = { loss: 0, duplication: 0 };
  /** Whether heartbeats and replies overtake all other messages. */
  delaysEntries = false;
  /** Whether a lease holder that lacks committed entries ends the run. */
  checksLease = true;
  /** Whether a lease holder has lacked committed entries at any time. */
  hasStaleLease = false;
  /** Maximum time that one event advances the clock by, in milliseconds. */
  maxStepMs = 10;
  /** Committed entries as `term:content`, by index. */
  readonly committed = new Map<number, string>();
  /** Time at which each index was first committed, in milliseconds. */
  readonly committedMs = new Map<number, number>();

  constructor(seed: number, size: number) {
    this.random = new SeededRandom(seed);
    const ids = Array.from({ length: size }, (_, index) => `r${index + 1}`);
    this.#membership = create(MembershipSchema, {
      members: ids.map((id) => ({ id })),
    });
    this.hosts = ids.map((id) => this.#createHost(id));
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  tryGetLeader(): SimulatedHost | undefined {
    return this.hosts.filter((host) =>
      host.isUp && host.core.role === Role.leader
    ).sort((a, b) => b.core.term - a.core.term)[0];
  }

  /** Adds a host with an empty membership, which waits to be added. */
  addHost(id: string): SimulatedHost {
    const host = this.#createHost(id, create(MembershipSchema));
    this.hosts.push(host);
    return host;
  }

  crash(host: SimulatedHost): void {
    host.isUp = false;
    host.pending = undefined;
  }

  freeze(host: SimulatedHost): void {
    host.isFrozen = true;
  }

  stall(host: SimulatedHost): void {
    host.isStalled = true;
  }

  /**
   * Continues a stalled host, whose timers fire before it reads messages. Of these it
   * reads the first `readCount` at once.
   */
  endStall(host: SimulatedHost, { readCount = Infinity } = {}): void {
    host.isStalled = false;
    host.core.tick(this.getHostMs(host));
    this.drainOutputs();
    host.waiting.splice(0, readCount).forEach((message) =>
      host.core.receive(message, this.getHostMs(host))
    );
    this.#messages.push(...host.waiting.splice(0));
    this.drainOutputs();
  }

  /** Continues a frozen host; the messages that waited for it may be lost. */
  thaw(
    host: SimulatedHost,
    { losesMessages }: { losesMessages: boolean },
  ): void {
    host.isFrozen = false;
    if (!losesMessages) this.#messages.push(...host.waiting);
    host.waiting = [];
  }

  /** Time on a host's own clock, in milliseconds. */
  getHostMs(host: SimulatedHost): number {
    return (this.#nowMs - host.frozenMs) * host.clockRate;
  }

  restart(host: SimulatedHost): void {
    this.#suspensionDetectors.delete(host.id);
    const isMember = this.#membership.members.some((one) => one.id === host.id);
    const restarted = this.#createHost(
      host.id,
      isMember ? this.#membership : create(MembershipSchema),
      host.durable,
    );
    Object.assign(host, { ...restarted, durable: host.durable });
  }

  /** Proposes a command of `bytes` or more; false unless the host leads. */
  propose(host: SimulatedHost, bytes = 0): boolean {
    this.#proposalCount += 1;
    const text = `c${this.#proposalCount}`.padEnd(bytes, ".");
    const command = new TextEncoder().encode(text);
    return host.core.tryPropose(command, 0) !== undefined;
  }

  /** Runs one random event: a delivery, a sync or the passing of time. */
  step(): void {
    const roll = this.random.getFraction();
    if (roll < 0.5 && this.#messages.length > 0) this.#deliverOne();
    else if (roll < 0.75) this.#syncOne();
    else this.#passTime(1 + this.random.getIntegerBelow(this.maxStepMs));
    this.drainOutputs();
  }

  /** Removes all faults, restarts crashed hosts and runs for `ms`. */
  heal(ms: number): void {
    this.faults = { loss: 0, duplication: 0 };
    this.blockedLinks.clear();
    this.delaysEntries = false;
    this.hosts.filter((host) => !host.isUp).forEach((host) =>
      this.restart(host)
    );
    this.run(ms);
  }

  /**
   * Runs for `ms`, delivering messages at once except on blocked links. The clock
   * advances by `stepMs` at a time.
   */
  run(ms: number, stepMs = 5): void {
    const endMs = this.#nowMs + ms;
    while (this.#nowMs < endMs) {
      this.#passTime(stepMs);
      this.drainOutputs();
      while (
        this.#messages.length > 0 ||
        this.#getRunning().some((host) => host.pending !== undefined)
      ) {
        this.hosts.forEach((host) => this.#sync(host));
        if (this.#messages.length > 0) this.#deliverOne();
        this.drainOutputs();
      }
    }
  }

  /** Takes the outputs of all cores and checks the invariants. */
  drainOutputs(): void {
    this.#getRunning().forEach((host) => {
      this.#checkSuspension(host);
      const prompt = host.core.tryTakeImmediateOutput();
      this.#enqueue(prompt?.heartbeats ?? []);
      if (this.delaysEntries) this.#delayed.push(...prompt?.messages ?? []);
      else {this.#enqueue([
          ...this.#delayed.splice(0),
          ...prompt?.messages ?? [],
        ]);}
      (prompt?.committed ?? []).forEach((entry) => this.#apply(host, entry));
      if (host.pending === undefined) {
        host.pending = host.core.tryTakeDurableOutput();
      }
    });
    this.#checkLeaders();
    this.#checkLease();
  }

  #createHost(
    id: string,
    membership = this.#membership,
    durable: LogRecord[] = [],
  ): SimulatedHost {
    const clockRate = 1 + (this.random.getFraction() * 2 - 1) * MAX_CLOCK_DRIFT;
    const host = {
      id,
      clockRate,
      durable,
      applied: [],
      isUp: true,
      isFrozen: false,
      isStalled: false,
      frozenMs: 0,
      waiting: [],
    };
    const core = new ReplicaCore({
      id,
      group: 1,
      recovered: replay(durable),
      initialMembership: membership,
      random: this.random,
      nowMs: this.#nowMs * clockRate,
      timing: TIMING,
    });
    return { ...host, core, pending: undefined };
  }

  #passTime(ms: number): void {
    this.#nowMs += ms;
    this.hosts.filter((host) => host.isFrozen).forEach((host) => {
      host.frozenMs += ms;
    });
    this.#getRunning().forEach((host) => {
      this.#checkSuspension(host);
      host.core.tick(this.getHostMs(host));
    });
  }

  #checkSuspension(host: SimulatedHost): void {
    const detector = this.#suspensionDetectors.get(host.id) ??
      new SuspensionDetector({
        getWallMs: () => this.#nowMs,
        getMonotonicMs: () => this.getHostMs(host),
      });
    this.#suspensionDetectors.set(host.id, detector);
    if (detector.check()) host.core.recordSuspension(this.getHostMs(host));
  }

  #getRunning(): SimulatedHost[] {
    return this.hosts.filter((host) =>
      host.isUp && !host.isFrozen && !host.isStalled
    );
  }

  #enqueue(messages: readonly ReplicaMessage[]): void {
    messages.forEach((message) => {
      this.#countSentBytes(message);
      if (message.body.case === "voteRequest") this.voteRequestCount += 1;
      if (this.random.getFraction() < this.faults.loss) return;
      this.#messages.push(message);
      const isDuplicated = this.random.getFraction() < this.faults.duplication;
      if (isDuplicated) this.#messages.push(message);
    });
  }

  #countSentBytes({ to, body }: ReplicaMessage): void {
    if (body.case !== "appendRequest") return;
    const bytes = body.value.entries.reduce(
      (sum, { payload }) =>
        sum + (payload.case === "command" ? payload.value.length : 0),
      this.sentBytes.get(to) ?? 0,
    );
    this.sentBytes.set(to, bytes);
  }

  #deliverOne(): void {
    const position = this.random.getIntegerBelow(this.#messages.length);
    const [message] = this.#messages.splice(position, 1);
    if (message === undefined) return;
    if (this.blockedLinks.has(`${message.from}>${message.to}`)) return;
    const host = this.hosts.find((one) => one.id === message.to);
    if (host?.isUp !== true) return;
    if (host.isFrozen || host.isStalled) {
      host.waiting.push(message);
      return;
    }
    this.#checkSuspension(host);
    host.core.receive(message, this.getHostMs(host));
  }

  #syncOne(): void {
    const unsynced = this.#getRunning().filter((host) =>
      host.pending !== undefined
    );
    const host =
      unsynced[this.random.getIntegerBelow(Math.max(1, unsynced.length))];
    if (host !== undefined) this.#sync(host);
  }

  #sync(host: SimulatedHost): void {
    const output = host.pending;
    const isRunning = host.isUp && !host.isFrozen && !host.isStalled;
    if (output === undefined || !isRunning) return;
    host.pending = undefined;
    host.durable.push(...output.records);
    if (output.records.length > 0) {
      host.core.confirmDurable(output.durableIndex);
    }
    this.#enqueue(output.messagesAfterSync);
  }

  #apply(host: SimulatedHost, entry: LogEntry): void {
    const index = Number(entry.index);
    const text = `${entry.term}:${describe(entry)}`;
    const expected = this.committed.get(index);
    if (expected !== undefined && expected !== text) {
      throw new Error(
        `${host.id} applied ${text} at ${index}, not ${expected}`,
      );
    }
    this.committed.set(index, text);
    this.#newestIndex = Math.max(this.#newestIndex, index);
    if (!this.committedMs.has(index)) this.committedMs.set(index, this.#nowMs);
    host.applied.push(entry);
  }

  #checkLeaders(): void {
    this.hosts.filter((host) => host.isUp && host.core.role === Role.leader)
      .forEach((host) => {
        const known = this.#leaderByTerm.get(host.core.term) ?? host.id;
        if (known !== host.id) throw new Error("two leaders in one term");
        this.#leaderByTerm.set(host.core.term, host.id);
      });
  }

  /** Checks that a lease holder knows all committed entries. */
  #checkLease(): void {
    const newest = this.#newestIndex;
    this.#getRunning().forEach((host) => {
      const isStale = host.core.holdsLease(this.getHostMs(host)) &&
        host.core.commitIndex < newest;
      if (isStale && this.checksLease) {
        throw new Error(`${host.id} would answer a stale read`);
      }
      this.hasStaleLease ||= isStale;
    });
  }
}

function describe(entry: LogEntry): string {
  return entry.payload.case === "command"
    ? new TextDecoder().decode(entry.payload.value)
    : String(entry.payload.case);
}

function replay(records: readonly LogRecord[]) {
  let hardState = create(HardStateSchema);
  let entries: LogEntry[] = [];
  records.forEach(({ record }) => {
    if (record.case === "hardState") hardState = record.value;
    if (record.case === "entry") {
      entries = entries.slice(0, Number(record.value.index) - 1);
      entries.push(record.value);
    }
  });
  return {
    hardState,
    entries,
    mark: create(SnapshotMarkSchema),
    snapshotParts: [],
    recoveredBytes: 0,
  };
}
