/**
 * State machine of the store group, which gateways and runners use: jobs of
 * opaque requests. Submitting a job is idempotent, results are append-only, and
 * an item has at most one result. The end of a job holds whether it comes before or
 * after the job. The state includes the list of runners, but not which runner runs an
 * item. What two runners record for one item is told apart by the chains that their
 * attempts belong to.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { mayUseJob } from "../../policy/mod.ts";
import {
  type EndJob,
  type FailedRun,
  FailedRunSchema,
  ItemEnd,
  type ItemResult,
  ItemResultSchema,
  JobCommandReplySchema,
  JobCommandSchema,
  type JobItem,
  MessageCode,
  type RecordedEnd,
  type RecordRuns,
  type RunnerList,
  RunnerListSchema,
  type RunProgress,
  type StoredJob,
  StoredJobSchema,
  type SubmitJob,
} from "../../schema/mod.ts";
import { JobEnds } from "./job_ends.ts";
import {
  type CommandContext,
  decodeProposedCommand,
  StateMachine,
} from "./state_machine.ts";

/** Output events recorded for an item that has no result yet. */
export interface ItemProgressRecord {
  /** Sequence number of the last recorded event. */
  readonly last: number;
  /** Data of the events up to `last`; line feeds separate the events. */
  readonly parts: readonly Uint8Array[];
  /** Chain of the last part; 0n if a build that knows no chains recorded it. */
  readonly chain: bigint;
  /** Software version of the servers that made it; empty if unknown. */
  readonly softwareVersion: string;
}

/** A submitted job and the state of its items. */
export interface QueuedJob {
  readonly job: SubmitJob;
  /** Time of submission by the wall clock of the leader, in milliseconds. */
  readonly submittedMs: number;
  /** Whether the caller has ended the job; no further items are started. */
  isEnded: boolean;
  readonly results: ItemResult[];
  /** Output of the open items so far, by item id. */
  readonly progress: Map<string, ItemProgressRecord>;
  /** Number of failed attempts of the open items, by item id. */
  readonly failures: Map<string, number>;
  /** Chains of these attempts, by item id. */
  readonly failedChains: Map<string, readonly bigint[]>;
  /** Items without a result by id, in submission order. */
  readonly open: Map<string, JobItem>;
}

/** Log position of a command and what it did to the job that it names. */
export interface JobChange {
  readonly job: string;
  readonly index: number;
  readonly term: number;
  readonly timeMs: number;
  /** Whether the job was known before. */
  readonly wasKnown: boolean;
  /** Whether the job was known and had ended before. */
  readonly wasEnded: boolean;
  /** Reason of a refusal, otherwise zero. */
  readonly code: MessageCode | 0;
}

/** Is told of changes of jobs; must not change the state. */
export interface JobObserver {
  onSubmitted(change: JobChange): void;
  onEnded(change: JobChange): void;
  /** Called with the numbers of all jobs and of those that may run. */
  onRestored(jobs: number, open: number): void;
}

/** Options of a {@linkcode JobMachine}. */
export interface JobMachineOptions {
  readonly observer?: JobObserver;
  /**
   * Time for which an ended or completed job stays readable after its retention
   * time, in milliseconds.
   */
  readonly endedJobTtlMs?: number;
}

/** Default of {@linkcode JobMachineOptions.endedJobTtlMs}. */
const DEFAULT_ENDED_JOB_TTL_MS = 120_000;

/**
 * Shortest time for which an end is recorded, in milliseconds. Attempts to submit a job
 * may be older than its end by the time for which a process was frozen.
 */
const MIN_END_TTL_MS = 120_000;

const EMPTY_BYTES = new Uint8Array();

/** Estimated memory of an item besides its body and its result, in bytes. */
const ITEM_OVERHEAD_BYTES = 512;

/** First version of the commands that tells runs apart by their chains. */
const CHAIN_COMMAND_VERSION = 1;

/**
 * First version that ends a job only for its organisation, and that limits the
 * waiting tokens of each organisation instead of those of all callers.
 */
const ORGANISATION_COMMAND_VERSION = 2;

/** First version in which the end of a job also holds for a job that comes after it. */
export const EARLY_END_COMMAND_VERSION = 3;

/** Replicated state of the store group. */
export class JobMachine extends StateMachine {
  readonly #endedJobTtlMs: number;
  readonly #observer: JobObserver | undefined;
  readonly #jobs = new Map<string, QueuedJob>();
  readonly #ends: JobEnds;
  /** By the key of a route, and by the key of a route and an organisation. */
  readonly #waitingTokens = new Map<string, bigint>();
  #runners: readonly string[] = [];
  #activeVersion = 0;
  #retainedBytes = 0;
  override readonly commandVersion = EARLY_END_COMMAND_VERSION;

  constructor(options: JobMachineOptions = {}) {
    super();
    this.#endedJobTtlMs = options.endedJobTtlMs ?? DEFAULT_ENDED_JOB_TTL_MS;
    this.#ends = new JobEnds(Math.max(MIN_END_TTL_MS, this.#endedJobTtlMs));
    this.#observer = options.observer;
  }

  /** The job with the given id; undefined if unknown or expired. */
  tryGetJob(id: string): QueuedJob | undefined {
    return this.#jobs.get(id);
  }

  /** Approximate memory of all jobs and recorded ends, in bytes. */
  get retainedBytes(): number {
    return this.#retainedBytes + this.#ends.retainedBytes;
  }

  /** Part of it that the next job frees, since its jobs and ends have expired. */
  getExpiredBytes(nowMs: number): number {
    return this.#getExpiredJobs(nowMs).reduce(
      (sum, queued) => sum + getRetainedBytes(queued),
      this.getExpiredEndBytes(nowMs),
    );
  }

  /** Approximate memory of the recorded ends, in bytes. */
  get endBytes(): number {
    return this.#ends.retainedBytes;
  }

  /** Part of it that the next end or job frees, since its ends have expired. */
  getExpiredEndBytes(nowMs: number): number {
    return this.#ends.getExpiredBytes(nowMs);
  }

  /** Approximate memory of the unexpired ends of the caller of `end`, in bytes. */
  getCallerEndBytes(end: EndJob, nowMs: number): number {
    return this.#ends.getCallerBytes(end, nowMs);
  }

  /** Whether this end is recorded already. */
  isEndRecorded(end: EndJob): boolean {
    return this.#ends.isRecorded(end);
  }

  /** Ids of the group members that run items. */
  get runners(): readonly string[] {
    return this.#runners;
  }

  /** Version of the rules by which commands are applied now. */
  get activeVersion(): number {
    return this.#activeVersion;
  }

  /** Whether recorded runs are told apart by their chains. */
  get identifiesChains(): boolean {
    return this.#activeVersion >= CHAIN_COMMAND_VERSION;
  }

  /** Whether ends of jobs are recorded. */
  get keepsEnds(): boolean {
    return this.#activeVersion >= EARLY_END_COMMAND_VERSION;
  }

  /** Jobs that have open items and were not ended, oldest first. */
  getOpenJobs(): QueuedJob[] {
    return [...this.#jobs.values()].filter((queued) =>
      !queued.isEnded && queued.open.size > 0
    );
  }

  get #separatesOrganisations(): boolean {
    return this.#activeVersion >= ORGANISATION_COMMAND_VERSION;
  }

  /**
   * Total tokens of a route's open items, or of those in jobs of one organisation;
   * those of ended jobs don't count.
   */
  getWaitingTokens(route: string, organisation?: string): bigint {
    return this.#waitingTokens.get(getTokensKey(route, organisation)) ?? 0n;
  }

  override checkCommand(command: Uint8Array): void {
    decodeProposedCommand(JobCommandSchema, command);
  }

  override apply(command: Uint8Array, context: CommandContext): Uint8Array {
    const { command: body } = fromBinary(JobCommandSchema, command);
    let code: MessageCode | 0 = 0;
    if (body.case === "submit") {
      const getChange = this.#observeChange(body.value.id, context);
      code = this.#submitJob(body.value, context.timeMs);
      this.#observer?.onSubmitted(getChange(code));
    }
    if (body.case === "recordRuns") this.#recordRuns(body.value);
    if (body.case === "end") {
      const getChange = this.#observeChange(body.value.id, context);
      code = this.#endJob(body.value, context.timeMs);
      this.#observer?.onEnded(getChange(code));
    }
    if (body.case === "setRunners") this.#setRunners(body.value);
    return toBinary(
      JobCommandReplySchema,
      create(JobCommandReplySchema, { code }),
    );
  }

  override capture(): Iterable<Uint8Array> {
    // Later commands append results, but don't change recorded ones.
    const jobs = [...this.#jobs.values()].map((queued) => ({
      ...queued,
      results: [...queued.results],
      failures: new Map(queued.failures),
      failedChains: new Map(queued.failedChains),
      progress: new Map(queued.progress),
    }));
    const runners = create(RunnerListSchema, {
      ids: [...this.#runners],
      commandVersion: this.#activeVersion,
    });
    const ends = [...this.#ends.capture()];
    return encodeSnapshotParts({ runners, ends }, jobs);
  }

  override restore(parts: readonly Uint8Array[]): void {
    this.#jobs.clear();
    this.#waitingTokens.clear();
    this.#retainedBytes = 0;
    this.#runners = [];
    this.#activeVersion = 0;
    this.#ends.restore([]);
    parts.map((part) => fromBinary(StoredJobSchema, part))
      .forEach((stored) => this.#restoreJob(stored));
    this.#observer?.onRestored(this.#jobs.size, this.getOpenJobs().length);
  }

  /** Notes the state of a job; the result describes a change by its reply code. */
  #observeChange(
    job: string,
    { index, term, timeMs }: CommandContext,
  ): (code: MessageCode | 0) => JobChange {
    const known = this.#jobs.get(job);
    const state = {
      wasKnown: known !== undefined,
      wasEnded: known?.isEnded === true,
    };
    return (code) => ({ job, index, term, timeMs, ...state, code });
  }

  #setRunners({ ids, commandVersion }: RunnerList): void {
    this.#runners = ids;
    this.#activeVersion = Math.max(this.#activeVersion, commandVersion);
  }

  #submitJob(job: SubmitJob, timeMs: number): MessageCode | 0 {
    const known = this.#jobs.get(job.id);
    if (known !== undefined) {
      const isRepeat = mayUseJob(known.job.organisation, job.organisation);
      return isRepeat ? 0 : MessageCode.UNKNOWN_JOB;
    }
    this.#removeExpiredJobs(timeMs);
    if (this.#ends.hasEnded(job.id, job.organisation)) {
      this.#addEndedJob(job, timeMs);
      return 0;
    }
    const tokens = job.items.reduce((sum, item) => sum + item.tokens, 0n);
    const owner = this.#separatesOrganisations ? job.organisation : undefined;
    const waiting = this.getWaitingTokens(job.route, owner) + tokens;
    const exceedsLimit = job.waitingTokens > 0n && waiting > job.waitingTokens;
    if (exceedsLimit) return MessageCode.QUOTA_SPENT;
    this.#addJob(createQueuedJob(job, timeMs));
    this.#releaseTokens(job, -tokens);
    return 0;
  }

  #recordRuns(runs: RecordRuns): void {
    runs.finished.forEach(({ job, result }) => {
      const queued = this.#jobs.get(job);
      if (queued === undefined || result === undefined) return;
      this.#finishItem(queued, result);
    });
    runs.progress.forEach((part) => this.#recordProgress(part));
    runs.failed.forEach((failed) => this.#recordFailure(failed));
  }

  #recordFailure(failed: FailedRun): void {
    const { item, chain } = failed;
    const queued = this.#jobs.get(failed.job);
    if (queued === undefined || !queued.open.has(item)) return;
    const failures = (queued.failures.get(item) ?? 0) + 1;
    const chains = queued.failedChains.get(item) ?? [];
    // A command may have been resent because its reply was lost.
    const isCounted = this.identifiesChains && chain !== 0n
      ? chains.includes(chain)
      : failed.count !== failures;
    if (isCounted) return;
    queued.failures.set(item, failures);
    queued.failedChains.set(item, [...chains, chain]);
    queued.progress.delete(item);
    const attemptsSpent = failures >= queued.job.maxAttempts;
    if (attemptsSpent) this.#finishItem(queued, createDeadLetterResult(item));
  }

  /**
   * Appends progress. A part that does not continue the recorded progress comes
   * from another run and is dropped.
   */
  #recordProgress(part: RunProgress): void {
    const queued = this.#jobs.get(part.job);
    if (queued === undefined || !queued.open.has(part.item)) return;
    const recorded = queued.progress.get(part.item);
    if (Number(part.after) !== (recorded?.last ?? 0)) return;
    const continuesChain = part.chain !== 0n &&
      (part.chain === recorded?.chain || part.chainAfter === part.after);
    if (this.identifiesChains && !continuesChain) return;
    queued.progress.set(part.item, {
      last: Number(part.last),
      parts: [...recorded?.parts ?? [], new Uint8Array(part.text)],
      chain: part.chain,
      softwareVersion: part.softwareVersion,
    });
  }

  /**
   * Records the result of an item. A second result is dropped, because the
   * first one may have been read already.
   */
  #finishItem(queued: QueuedJob, result: ItemResult): void {
    const item = queued.open.get(result.id);
    if (item === undefined) return;
    queued.open.delete(result.id);
    queued.failures.delete(result.id);
    queued.failedChains.delete(result.id);
    queued.progress.delete(result.id);
    // A copy, since the text is a part of the message that the command came with.
    queued.results.push({ ...result, text: new Uint8Array(result.text) });
    this.#retainedBytes += result.text.length;
    this.#dropBody(item);
    if (!queued.isEnded) this.#releaseTokens(queued.job, item.tokens);
  }

  #endJob(end: EndJob, timeMs: number): MessageCode | 0 {
    const { id, organisation } = end;
    const queued = this.#jobs.get(id);
    // An identified caller must not learn whether another organisation has the job.
    const unknownCode = organisation === undefined
      ? 0
      : MessageCode.UNKNOWN_JOB;
    const isForeign = queued !== undefined && this.#separatesOrganisations &&
      !mayUseJob(queued.job.organisation, organisation);
    if (isForeign) return MessageCode.UNKNOWN_JOB;
    if (this.keepsEnds) this.#ends.record(end, timeMs);
    if (queued === undefined) return unknownCode;
    if (queued.isEnded) return 0;
    queued.isEnded = true;
    queued.open.forEach((item) => {
      this.#releaseTokens(queued.job, item.tokens);
      this.#dropBody(item);
    });
    return 0;
  }

  /** Adds a job whose end came first: it can be read, and none of its items runs. */
  #addEndedJob(job: SubmitJob, timeMs: number): void {
    const queued = createQueuedJob(job, timeMs);
    queued.isEnded = true;
    this.#addJob(queued);
    queued.open.forEach((item) => this.#dropBody(item));
  }

  #addJob(queued: QueuedJob): void {
    this.#jobs.set(queued.job.id, queued);
    this.#retainedBytes += getRetainedBytes(queued);
  }

  /**
   * Frees the memory of a body. A snapshot that is still being encoded may contain
   * the empty body, but the log after that snapshot also contains the command that
   * finished the item or ended its job.
   */
  #dropBody(item: JobItem): void {
    this.#retainedBytes -= item.body.length;
    item.body = EMPTY_BYTES;
  }

  #releaseTokens({ route, organisation }: SubmitJob, tokens: bigint): void {
    const owners = organisation === undefined
      ? [undefined]
      : [undefined, organisation];
    owners.forEach((owner) => {
      const remaining = this.getWaitingTokens(route, owner) - tokens;
      const key = getTokensKey(route, owner);
      if (remaining === 0n) this.#waitingTokens.delete(key);
      else this.#waitingTokens.set(key, remaining);
    });
  }

  /** Ended and completed jobs whose time to live has passed. */
  #getExpiredJobs(nowMs: number): QueuedJob[] {
    return [...this.#jobs.values()].filter((queued) => {
      const isOpen = !queued.isEnded && queued.open.size > 0;
      const endMs = queued.submittedMs + queued.job.retentionMs;
      return !isOpen && nowMs > endMs + this.#endedJobTtlMs;
    });
  }

  #removeExpiredJobs(nowMs: number): void {
    this.#ends.removeExpired(nowMs);
    this.#getExpiredJobs(nowMs).forEach((queued) => {
      this.#jobs.delete(queued.job.id);
      this.#retainedBytes -= getRetainedBytes(queued);
    });
  }

  #restoreJob(stored: StoredJob): void {
    const { job } = stored;
    if (stored.runners !== undefined) {
      this.#setRunners(stored.runners);
      this.#ends.restore(stored.ends);
    }
    if (job === undefined) return;
    const queued = createQueuedJob(job, Number(stored.submittedMs));
    queued.isEnded = stored.ended;
    stored.results.forEach((result) => {
      queued.results.push({ ...result, text: new Uint8Array(result.text) });
      queued.open.delete(result.id);
    });
    job.items.forEach((item, position) => {
      const failures = stored.failures[position] ?? 0;
      if (failures > 0) queued.failures.set(item.id, failures);
    });
    stored.failedRuns.forEach(({ item, chain }) =>
      queued.failedChains.set(item, [
        ...queued.failedChains.get(item) ?? [],
        chain,
      ])
    );
    stored.progress.forEach((part) =>
      queued.progress.set(part.item, {
        last: Number(part.last),
        parts: [part.text],
        chain: part.chain,
        softwareVersion: part.softwareVersion,
      })
    );
    this.#addJob(queued);
    if (queued.isEnded) return;
    queued.open.forEach((item) => this.#releaseTokens(job, -item.tokens));
  }
}

/** The result of an item that can't run or has used up its attempts. */
export function createDeadLetterResult(id: string): ItemResult {
  return create(ItemResultSchema, { id, end: ItemEnd.DEAD_LETTER });
}

/** JSON keeps names with any characters apart. */
function getTokensKey(route: string, organisation: string | undefined): string {
  return JSON.stringify([route, organisation]);
}

const LINE_FEED = Buffer.from("\n");

/** Joins the parts of an item's progress, separated by line feeds. */
export function joinProgressParts(parts: readonly Uint8Array[]): Uint8Array {
  return Buffer.concat(
    parts.flatMap((part, index) => index === 0 ? [part] : [LINE_FEED, part]),
  );
}

/** Approximate memory of a job, in bytes. */
function getRetainedBytes({ job, results }: QueuedJob): number {
  const textBytes = results.reduce((sum, { text }) => sum + text.length, 0);
  return job.items.reduce(
    (sum, { body }) => sum + body.length + ITEM_OVERHEAD_BYTES,
    textBytes,
  );
}

function createQueuedJob(job: SubmitJob, submittedMs: number): QueuedJob {
  // A part of the message that the job came with would keep all of it in memory.
  job.items.forEach((item) => {
    item.body = new Uint8Array(item.body);
  });
  return {
    job,
    submittedMs,
    isEnded: false,
    results: [],
    failures: new Map(),
    failedChains: new Map(),
    progress: new Map(),
    open: new Map(job.items.map((item) => [item.id, item])),
  };
}

function* encodeSnapshotParts(
  header: { runners: RunnerList; ends: RecordedEnd[] },
  jobs: readonly QueuedJob[],
): Iterable<Uint8Array> {
  yield toBinary(StoredJobSchema, create(StoredJobSchema, header));
  for (const job of jobs) yield toBinary(StoredJobSchema, createStoredJob(job));
}

function createStoredJob(queued: QueuedJob): StoredJob {
  const { job } = queued;
  return create(StoredJobSchema, {
    job,
    submittedMs: BigInt(queued.submittedMs),
    ended: queued.isEnded,
    results: queued.results,
    failures: job.items.map((item) => queued.failures.get(item.id) ?? 0),
    progress: [...queued.progress].map(([item, record]) => ({
      job: job.id,
      item,
      last: BigInt(record.last),
      text: joinProgressParts(record.parts),
      chain: record.chain,
      softwareVersion: record.softwareVersion,
    })),
    failedRuns: [...queued.failedChains].flatMap(([item, chains]) =>
      chains.map((chain) => create(FailedRunSchema, { item, chain }))
    ),
  });
}
