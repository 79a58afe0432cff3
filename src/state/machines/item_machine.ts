/**
 * State machine of an item group, which entry hosts use: jobs with their items,
 * keyed requests and the sessions of entries. An item's state changes from
 * accepted to dispatched to finished, by one command for each change. An entry
 * claims (dispatches) items in its session, and only the same session can
 * finish or requeue them.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  type CancelJob,
  type ClaimedItem,
  ClaimedItemSchema,
  type ClaimItems,
  type FinishedItem,
  type FinishItems,
  type FinishRequest,
  type InFlightCounts,
  InFlightCountsSchema,
  type Item,
  ItemCommandSchema,
  type ItemRef,
  ItemReplySchema,
  ItemSnapshotSchema,
  ItemState,
  type Job,
  JobSchema,
  type KeyedRequest,
  MessageCode,
  type OpenSession,
  type Outcome,
  type PutChunk,
  type Share,
  ShareSchema,
  Verdict,
} from "../../schema/mod.ts";
import { type JobCandidate, trySelectJob } from "../../policy/batch_order.ts";
import {
  createAttemptsSpentOutcome,
  createEntryLostOutcome,
  createErrorReply,
  createStaleEpochReply,
  type ItemReplyInit,
} from "./item_replies.ts";
import { encodeSnapshotParts } from "./item_snapshot.ts";
import { JobItems } from "./job_items.ts";
import { KeyedRequests } from "./keyed_requests.ts";
import { Sessions } from "./sessions.ts";
import {
  type CommandContext,
  decodeProposedCommand,
  StateMachine,
} from "./state_machine.ts";

interface JobWithItems {
  readonly job: Job;
  readonly items: JobItems;
}

/** Chunks of items received for a job that is not committed yet, by index. */
interface StagedJob {
  readonly chunks: Map<number, readonly Item[]>;
}

/** Number of charged attempts after which an item fails for good. */
export const MAX_ITEM_ATTEMPTS = 4;

/** Cost of an item regardless of its body, charged to its caller's usage. */
const ITEM_BASE_COST = 64;

/** Bytes of an item's body that add one to its cost. */
const BODY_BYTES_PER_COST_UNIT = 4;

/** Replicated state of an item group. */
export class ItemMachine extends StateMachine {
  #jobs = new Map<string, JobWithItems>();
  #stagedJobs = new Map<string, StagedJob>();
  #sessions = new Sessions();
  #requests = new KeyedRequests();
  #usageByCaller = new Map<string, number>();
  /** Jobs with items that are waiting or dispatched, by id. */
  #activeJobs = new Map<string, JobWithItems>();

  override checkCommand(command: Uint8Array): void {
    decodeProposedCommand(ItemCommandSchema, command);
  }

  override apply(command: Uint8Array, context: CommandContext): Uint8Array {
    const { command: body } = fromBinary(ItemCommandSchema, command);
    const reply = this.#applyCommand(body, context);
    return toBinary(ItemReplySchema, create(ItemReplySchema, reply));
  }

  tryGetJob(id: string): Job | undefined {
    return this.#jobs.get(id)?.job;
  }

  /** Jobs of a caller or operator, newest first; an empty name matches all. */
  getJobs(filter: { caller: string; operator: string }): Job[] {
    return [...this.#jobs.values()].map((stored) => stored.job)
      .filter((job) => filter.caller === "" || job.caller === filter.caller)
      .filter((job) =>
        filter.operator === "" || job.operator === filter.operator
      )
      .sort((a, b) => Number(b.createdMs - a.createdMs));
  }

  /** Up to `limit` items of a job in order, starting at index `after`. */
  getItems(jobId: string, after: number, limit: number): Item[] {
    const items = this.#jobs.get(jobId)?.items;
    if (items === undefined) return [];
    const count = Math.max(0, Math.min(limit, items.length - after));
    return Array.from({ length: count }, (_, i) => items.getItem(after + i));
  }

  tryGetRequest(caller: string, key: string): KeyedRequest | undefined {
    return this.#requests.tryGet(caller, key);
  }

  /** Up to `limit` requests of an operator, by `caller/key` above `after`. */
  getRequests(operator: string, after: string, limit: number): KeyedRequest[] {
    return this.#requests.getAll()
      .filter((request) => request.operator === operator)
      .filter((request) => `${request.caller}/${request.key}` > after)
      .sort((a, b) => `${a.caller}/${a.key}` < `${b.caller}/${b.key}` ? -1 : 1)
      .slice(0, limit);
  }

  getSessionEpochs(): number[] {
    return this.#sessions.getAll().map((session) => Number(session.epoch));
  }

  isSessionOpen(epoch: number): boolean {
    return this.#sessions.isOpen(epoch);
  }

  /**
   * Ids among `jobIds` whose dispatched items must be stopped: jobs that no
   * longer exist, and cancelled jobs, except non-idempotent ones.
   */
  getCancelledJobIds(jobIds: readonly string[]): string[] {
    return jobIds.filter((id) => {
      const job = this.#jobs.get(id)?.job;
      return job === undefined || (job.cancelled && !job.nonIdempotent);
    });
  }

  /** Number of waiting items of each deployment that has any. */
  getWaitingByDeployment(): Share[] {
    const sums = new Map<string, number>();
    this.#activeJobs.forEach(({ job, items }) => {
      const sum = sums.get(job.deployment) ?? 0;
      sums.set(job.deployment, sum + items.waitingCount);
    });
    return [...sums].filter(([, count]) => count > 0)
      .map(([deployment, maxItems]) =>
        create(ShareSchema, { deployment, maxItems })
      );
  }

  /** Whether an `expire` command with `beforeMs` would remove any record. */
  hasExpiredRecords(beforeMs: number): boolean {
    return this.#requests.hasExpired(beforeMs) ||
      [...this.#jobs.values()].some(({ job }) => isExpired(job, beforeMs));
  }

  /** Ids of jobs that have not ended and are not cancelled. */
  getCancellableJobIds(): string[] {
    return [...this.#activeJobs.values()].filter(({ job }) => !job.cancelled)
      .map(({ job }) => job.id);
  }

  /** Counts of active jobs, items by state and dispatched keyed requests. */
  getInFlightCounts(): InFlightCounts {
    const allJobs = [...this.#jobs.values()];
    const sum = (getCount: (stored: JobWithItems) => number) =>
      BigInt(allJobs.reduce((total, stored) => total + getCount(stored), 0));
    return create(InFlightCountsSchema, {
      jobs: BigInt(this.#activeJobs.size),
      accepted: sum((stored) => stored.items.waitingCount),
      dispatched: sum((stored) => stored.items.dispatchedCount),
      finished: sum((stored) => Number(stored.job.finishedCount)),
      requestsDispatched: BigInt(this.#requests.dispatchedCount),
    });
  }

  override capture(): Iterable<Uint8Array> {
    const header = create(ItemSnapshotSchema, {
      sessions: this.#sessions.getAll(),
      nextEpoch: BigInt(this.#sessions.nextEpoch),
      usage: [...this.#usageByCaller].map(([caller, cost]) => ({
        caller,
        cost: BigInt(cost),
      })),
    });
    const requests = this.#requests.getAll();
    const jobs = [...this.#jobs.values()].map(({ job, items }) => ({
      job,
      items: items.capture(),
    }));
    const staged = [...this.#stagedJobs].map(([jobId, { chunks }]) => ({
      jobId,
      chunks: [...chunks],
    }));
    return encodeSnapshotParts({ header, requests, jobs, staged });
  }

  override restore(parts: readonly Uint8Array[]): void {
    this.#jobs.clear();
    this.#stagedJobs.clear();
    this.#activeJobs.clear();
    this.#usageByCaller.clear();
    this.#sessions.restore([], 1);
    const requests: KeyedRequest[] = [];
    const jobs: Job[] = [];
    parts.forEach((bytes) => {
      const part = fromBinary(ItemSnapshotSchema, bytes);
      if (part.nextEpoch > 0n) {
        this.#sessions.restore(part.sessions, Number(part.nextEpoch));
      }
      part.usage.forEach((row) =>
        this.#usageByCaller.set(row.caller, Number(row.cost))
      );
      requests.push(...part.requests);
      jobs.push(...part.jobs);
      part.chunks.forEach((chunk) => this.#stageChunk(chunk));
    });
    this.#requests.restore(requests);
    jobs.forEach((job) => {
      const staged = this.#stagedJobs.get(job.id);
      this.#stagedJobs.delete(job.id);
      this.#addJob(job, new JobItems(getStagedItems(staged)));
    });
  }

  #applyCommand(
    body: ReturnType<typeof decodeCommand>,
    context: CommandContext,
  ): ItemReplyInit {
    switch (body.case) {
      case "openSession":
        return this.#openSession(body.value);
      case "endSession":
        this.#endSession(Number(body.value.epoch), context);
        return {};
      case "putChunk":
        return this.#putChunk(body.value);
      case "commitJob":
        return this.#commitJob(body.value, context);
      case "cancelJob":
        return this.#cancelJob(body.value, context);
      case "claimItems":
        return this.#claimItems(body.value, context);
      case "finishItems":
        return this.#finishItems(body.value, context);
      case "beginRequest":
        return this.#beginRequest(body.value, context);
      case "finishRequest":
        return this.#finishRequest(body.value);
      case "expire":
        this.#expire(Number(body.value.beforeMs));
        return {};
      default:
        return createErrorReply(MessageCode.INTERNAL, { reason: "no command" });
    }
  }

  #openSession(open: OpenSession): ItemReplyInit {
    const existing = this.#sessions.tryFindExisting(open);
    if (existing !== undefined) return { epoch: existing.epoch };
    const previous = this.#sessions.getPrevious(open);
    const epoch = this.#sessions.open(open);
    previous.forEach((session) =>
      this.#endSession(Number(session.epoch), { timeMs: 0 })
    );
    return { epoch: BigInt(epoch) };
  }

  #endSession(epoch: number, context: { timeMs: number }): void {
    if (!this.#sessions.end(epoch)) return;
    const lost = createEntryLostOutcome();
    this.#requests.endEpoch(epoch, lost);
    [...this.#activeJobs.values()].forEach((stored) => {
      const items = stored.items.getDispatchedIndexes()
        .filter((index) => stored.items.getEpoch(index) === epoch);
      if (items.length === 0) return;
      let { job } = stored;
      items.forEach((index) => {
        if (job.nonIdempotent) {
          job = this.#recordOutcome({ ...stored, job }, index, lost);
        } else {
          stored.items.requeue(index, {
            progress: new Uint8Array(),
            charged: false,
          });
        }
      });
      this.#updateJob({ ...stored, job }, context.timeMs);
    });
  }

  #putChunk(chunk: PutChunk): ItemReplyInit {
    if (!this.#jobs.has(chunk.jobId)) this.#stageChunk(chunk);
    return {};
  }

  #stageChunk(chunk: { jobId: string; index: number; items: Item[] }): void {
    const staged = this.#stagedJobs.get(chunk.jobId) ?? { chunks: new Map() };
    staged.chunks.set(chunk.index, chunk.items);
    this.#stagedJobs.set(chunk.jobId, staged);
  }

  #commitJob(job: Job, context: CommandContext): ItemReplyInit {
    const existing = this.#jobs.get(job.id)?.job;
    if (existing !== undefined) {
      return Buffer.compare(existing.digest, job.digest) === 0
        ? { job: existing }
        : createErrorReply(MessageCode.KEY_REUSED, {});
    }
    const items = getStagedItems(this.#stagedJobs.get(job.id));
    if (items.length !== Number(job.itemCount)) {
      return createErrorReply(MessageCode.BODY_MALFORMED, {
        reason: "chunks of the job are missing",
      });
    }
    this.#stagedJobs.delete(job.id);
    const committed = create(JobSchema, {
      ...job,
      committed: true,
      createdMs: BigInt(context.timeMs),
    });
    const stored = this.#addJob(committed, new JobItems(items));
    return { job: this.#updateJob(stored, context.timeMs) };
  }

  #addJob(job: Job, items: JobItems): JobWithItems {
    const stored = { job, items };
    this.#jobs.set(job.id, stored);
    if (job.endedMs !== 0n) return stored;
    this.#raiseUsageToFloor(job.caller);
    this.#activeJobs.set(job.id, stored);
    return stored;
  }

  /**
   * Raises the usage of a caller without active jobs to the lowest usage among
   * the active callers, so that time spent idle earns no priority.
   */
  #raiseUsageToFloor(caller: string): void {
    const others = [...this.#activeJobs.values()].map((stored) =>
      stored.job.caller
    );
    if (others.includes(caller)) return;
    const used = others.map((other) => this.#usageByCaller.get(other) ?? 0);
    const floor = used.length === 0 ? 0 : Math.min(...used);
    this.#usageByCaller.set(
      caller,
      Math.max(this.#usageByCaller.get(caller) ?? 0, floor),
    );
  }

  #cancelJob(cancel: CancelJob, context: CommandContext): ItemReplyInit {
    const stored = this.#jobs.get(cancel.jobId);
    const isOwner = cancel.caller === "" ||
      stored?.job.caller === cancel.caller;
    if (stored === undefined || !isOwner) {
      return createErrorReply(MessageCode.UNKNOWN_JOB, { job: cancel.jobId });
    }
    const { job, items } = stored;
    if (job.endedMs !== 0n || job.cancelled) return { job };
    const waiting = items.cancelWaiting();
    // A dispatched non-idempotent item may have run already, so it is not
    // cancelled and its outcome is still recorded.
    const stopped = job.nonIdempotent ? [] : items.getDispatchedIndexes();
    stopped.forEach((index) => items.cancelDispatched(index));
    const cancelled = create(JobSchema, {
      ...job,
      cancelled: true,
      cancelledCount: job.cancelledCount + BigInt(waiting + stopped.length),
    });
    return { job: this.#updateJob({ job: cancelled, items }, context.timeMs) };
  }

  #claimItems(claim: ClaimItems, context: CommandContext): ItemReplyInit {
    const epoch = Number(claim.epoch);
    if (!this.#sessions.isOpen(epoch)) return createStaleEpochReply(epoch);
    const resent = this.#sessions.tryGetRecordedClaim(epoch, claim.sequence);
    if (resent !== undefined) {
      return { claimed: this.#getStillClaimed(resent, epoch) };
    }
    const claimed = claim.shares.flatMap((share) =>
      this.#claimShare(share, epoch, context)
    );
    const refs = claimed.flatMap((item) => item.ref ?? []);
    this.#sessions.recordClaim(epoch, claim.sequence, refs);
    return { claimed };
  }

  /** The items of a resent claim whose dispatch is still the current one. */
  #getStillClaimed(refs: readonly ItemRef[], epoch: number): ClaimedItem[] {
    return refs.flatMap((ref) => {
      const stored = this.#activeJobs.get(ref.jobId);
      const isCurrent = stored !== undefined &&
        isDispatchCurrent(stored.items, ref, epoch);
      return isCurrent ? [createClaimedItem(stored, ref.index)] : [];
    });
  }

  #claimShare(
    share: Share,
    epoch: number,
    context: CommandContext,
  ): ClaimedItem[] {
    const candidates = [...this.#activeJobs.values()]
      .filter(({ job }) => job.deployment === share.deployment)
      .map((stored) => ({ stored, ...getSchedulingInput(stored) }));
    const claimed: ClaimedItem[] = [];
    while (claimed.length < share.maxItems) {
      const next = trySelectJob(
        candidates,
        this.#usageByCaller,
        context.timeMs,
      );
      if (next === undefined) break;
      const index = next.stored.items.tryDispatch(epoch, context.index);
      if (index === undefined) break;
      next.waiting -= 1;
      claimed.push(this.#chargeCaller(next.stored, index));
    }
    return claimed;
  }

  #chargeCaller({ job, items }: JobWithItems, index: number): ClaimedItem {
    const cost = ITEM_BASE_COST +
      Math.ceil(items.getBodyLength(index) / BODY_BYTES_PER_COST_UNIT);
    this.#usageByCaller.set(
      job.caller,
      (this.#usageByCaller.get(job.caller) ?? 0) + cost,
    );
    return createClaimedItem({ job, items }, index);
  }

  #finishItems(finish: FinishItems, context: CommandContext): ItemReplyInit {
    const epoch = Number(finish.epoch);
    if (!this.#sessions.isOpen(epoch)) return createStaleEpochReply(epoch);
    const jobIds = new Set(finish.items.map((item) => item.ref?.jobId ?? ""));
    [...jobIds].forEach((jobId) => {
      const stored = this.#activeJobs.get(jobId);
      if (stored === undefined) return;
      const jobItems = finish.items.filter((item) => item.ref?.jobId === jobId);
      let { job } = stored;
      jobItems.forEach((item) => {
        job = this.#finishItem({ ...stored, job }, item, epoch);
      });
      this.#updateJob({ ...stored, job }, context.timeMs);
    });
    return {};
  }

  /**
   * Finishes a dispatched item, or requeues it if there is no outcome. Repeated
   * results and those of earlier dispatches are dropped.
   */
  #finishItem(
    stored: JobWithItems,
    finished: FinishedItem,
    epoch: number,
  ): Job {
    const { job, items } = stored;
    const index = finished.ref?.index ?? 0;
    const isCurrent = finished.ref !== undefined &&
      isDispatchCurrent(items, finished.ref, epoch);
    if (!isCurrent) return job;
    if (finished.outcome !== undefined) {
      return this.#recordOutcome(stored, index, finished.outcome);
    }
    const attempts = items.getAttempts(index) + (finished.charged ? 1 : 0);
    if (attempts >= MAX_ITEM_ATTEMPTS) {
      const failedOutcome = createAttemptsSpentOutcome(attempts);
      return this.#recordOutcome(stored, index, failedOutcome);
    }
    items.requeue(index, finished);
    if (!job.cancelled) return job;
    const cancelled = items.cancelWaiting();
    return create(JobSchema, {
      ...job,
      cancelledCount: job.cancelledCount + BigInt(cancelled),
    });
  }

  #recordOutcome(stored: JobWithItems, index: number, outcome: Outcome): Job {
    stored.items.finish(index, outcome);
    const failed = outcome.code !== 0;
    const unknown = outcome.verdict === Verdict.MAY_HAVE_RUN;
    return create(JobSchema, {
      ...stored.job,
      finishedCount: stored.job.finishedCount + 1n,
      failedCount: stored.job.failedCount + (failed ? 1n : 0n),
      unknownCount: stored.job.unknownCount + (unknown ? 1n : 0n),
    });
  }

  /** Stores a job; sets its end time once no item is waiting or dispatched. */
  #updateJob({ job, items }: JobWithItems, timeMs: number): Job {
    const isComplete = items.waitingCount === 0 && items.dispatchedCount === 0;
    const current = isComplete && job.endedMs === 0n
      ? create(JobSchema, { ...job, endedMs: BigInt(Math.max(1, timeMs)) })
      : job;
    const stored = { job: current, items };
    this.#jobs.set(job.id, stored);
    if (isComplete) this.#activeJobs.delete(job.id);
    else this.#activeJobs.set(job.id, stored);
    return current;
  }

  #beginRequest(wanted: KeyedRequest, context: CommandContext): ItemReplyInit {
    const epoch = Number(wanted.epoch);
    if (!this.#sessions.isOpen(epoch)) return createStaleEpochReply(epoch);
    const result = this.#requests.begin(wanted, context.timeMs);
    if (result.kind === "key reused") {
      return createErrorReply(MessageCode.KEY_REUSED, {});
    }
    return { request: result.request, begun: result.kind === "begun" };
  }

  #finishRequest(finished: FinishRequest): ItemReplyInit {
    const epoch = Number(finished.epoch);
    if (!this.#sessions.isOpen(epoch)) return createStaleEpochReply(epoch);
    this.#requests.finish(finished);
    return {
      request: this.#requests.tryGet(finished.caller, finished.key),
    };
  }

  #expire(beforeMs: number): void {
    this.#requests.expire(beforeMs);
    [...this.#jobs.values()].map((stored) => stored.job)
      .filter((job) => isExpired(job, beforeMs))
      .forEach((job) => this.#jobs.delete(job.id));
  }
}

/** Whether the referenced dispatch is still the item's current one. */
function isDispatchCurrent(
  items: JobItems,
  ref: ItemRef,
  epoch: number,
): boolean {
  return items.getState(ref.index) === ItemState.DISPATCHED &&
    items.getEpoch(ref.index) === epoch &&
    items.getClaimIndex(ref.index) === Number(ref.dispatch);
}

function createClaimedItem(
  { job, items }: JobWithItems,
  index: number,
): ClaimedItem {
  const dispatch = BigInt(items.getClaimIndex(index));
  return create(ClaimedItemSchema, {
    ref: { jobId: job.id, index, dispatch },
    item: items.getItem(index),
    workload: job.workload,
    caller: job.caller,
    nonIdempotent: job.nonIdempotent,
    deadlineMs: job.deadlineMs,
  });
}

function isExpired(job: Job, beforeMs: number): boolean {
  return job.endedMs > 0n && Number(job.endedMs) < beforeMs;
}

function decodeCommand(bytes: Uint8Array) {
  return fromBinary(ItemCommandSchema, bytes).command;
}

function getStagedItems(staged: StagedJob | undefined): Item[] {
  if (staged === undefined) return [];
  return [...staged.chunks].sort(([a], [b]) => a - b)
    .flatMap(([, items]) => items);
}

function getSchedulingInput({ job, items }: JobWithItems): JobCandidate & {
  waiting: number;
} {
  return {
    jobId: job.id,
    caller: job.caller,
    deadlineMs: Number(job.deadlineMs),
    waiting: items.waitingCount,
  };
}
