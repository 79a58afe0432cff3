/**
 * State of an item group: jobs with their items, keyed requests and the
 * sessions of entries. Every item goes accepted, dispatched, finished; each
 * step is one command, refused when the step before it was not the caller's.
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
import { type JobStanding, trySelectJob } from "../../policy/batch_order.ts";
import {
  createFailedOutcome,
  createLostOutcome,
  createRefusal,
  createStaleReply,
  type ReplyInit,
} from "./item_replies.ts";
import { encodeCaptured } from "./item_snapshot.ts";
import { JobItems } from "./job_items.ts";
import { KeyedRequests } from "./keyed_requests.ts";
import { Sessions } from "./sessions.ts";
import { type CommandContext, StateMachine } from "./state_machine.ts";

interface StoredJob {
  readonly job: Job;
  readonly items: JobItems;
}

interface Staged {
  readonly chunks: Map<number, readonly Item[]>;
}

/** Charged attempts after which an item ends as failed. */
export const MAX_ITEM_ATTEMPTS = 4;

const ITEM_BASE_COST = 64;
const BYTES_PER_COST = 4;

/** An item group's state. */
export class ItemMachine extends StateMachine {
  #jobs = new Map<string, StoredJob>();
  #staged = new Map<string, Staged>();
  #sessions = new Sessions();
  #requests = new KeyedRequests();
  #usage = new Map<string, number>();
  /** Committed jobs that have not ended. */
  #active = new Map<string, StoredJob>();

  override apply(command: Uint8Array, context: CommandContext): Uint8Array {
    const { command: body } = fromBinary(ItemCommandSchema, command);
    const reply = this.#dispatchCommand(body, context);
    return toBinary(ItemReplySchema, create(ItemReplySchema, reply));
  }

  /** A job's record, or undefined. */
  tryGetJob(id: string): Job | undefined {
    return this.#jobs.get(id)?.job;
  }

  /** Jobs of a caller or an operator, newest first; empty names match all. */
  getJobs(filter: { caller: string; operator: string }): Job[] {
    return [...this.#jobs.values()].map((stored) => stored.job)
      .filter((job) => filter.caller === "" || job.caller === filter.caller)
      .filter((job) =>
        filter.operator === "" || job.operator === filter.operator
      )
      .sort((a, b) => Number(b.createdMs - a.createdMs));
  }

  /** Items of a job from `after` on, in order, at most `limit`. */
  getItems(jobId: string, after: number, limit: number): Item[] {
    const items = this.#jobs.get(jobId)?.items;
    if (items === undefined) return [];
    const count = Math.max(0, Math.min(limit, items.length - after));
    return Array.from({ length: count }, (_, i) => items.getItem(after + i));
  }

  tryGetRequest(caller: string, key: string): KeyedRequest | undefined {
    return this.#requests.tryGet(caller, key);
  }

  /** Keyed requests of an operator in the order of their keys. */
  getRequests(operator: string, after: string, limit: number): KeyedRequest[] {
    return this.#requests.getAll()
      .filter((request) => request.operator === operator)
      .filter((request) => `${request.caller}/${request.key}` > after)
      .sort((a, b) => `${a.caller}/${a.key}` < `${b.caller}/${b.key}` ? -1 : 1)
      .slice(0, limit);
  }

  /** Epochs of the open sessions. */
  getSessionEpochs(): number[] {
    return this.#sessions.getAll().map((session) => Number(session.epoch));
  }

  isSessionOpen(epoch: number): boolean {
    return this.#sessions.isOpen(epoch);
  }

  /** Those of the jobs that run no more, or whose items must not go on. */
  getCancelledJobIds(jobIds: readonly string[]): string[] {
    return jobIds.filter((id) => {
      const job = this.#jobs.get(id)?.job;
      return job === undefined || (job.cancelled && !job.nonIdempotent);
    });
  }

  /** Waiting items by deployment. */
  getWaitingByDeployment(): Share[] {
    const sums = new Map<string, number>();
    this.#active.forEach(({ job, items }) => {
      const sum = sums.get(job.deployment) ?? 0;
      sums.set(job.deployment, sum + items.waitingCount);
    });
    return [...sums].filter(([, count]) => count > 0)
      .map(([deployment, maxItems]) =>
        create(ShareSchema, { deployment, maxItems })
      );
  }

  /** Whether anything ended before a time. */
  hasExpiredRecords(beforeMs: number): boolean {
    return this.#requests.hasExpired(beforeMs) ||
      [...this.#jobs.values()].some(({ job }) => isExpired(job, beforeMs));
  }

  /** Jobs that have not ended and may still be cancelled. */
  getCancellableJobIds(): string[] {
    return [...this.#active.values()].filter(({ job }) => !job.cancelled)
      .map(({ job }) => job.id);
  }

  /** What has not ended. */
  getInFlightCounts(): InFlightCounts {
    const stored = [...this.#jobs.values()];
    const sum = (get: (one: StoredJob) => number) =>
      BigInt(stored.reduce((total, one) => total + get(one), 0));
    return create(InFlightCountsSchema, {
      jobs: BigInt(this.#active.size),
      accepted: sum((one) => one.items.waitingCount),
      dispatched: sum((one) => one.items.dispatchedCount),
      finished: sum((one) => Number(one.job.finishedCount)),
      requestsDispatched: BigInt(this.#requests.dispatchedCount),
    });
  }

  override capture(): Iterable<Uint8Array> {
    const head = create(ItemSnapshotSchema, {
      sessions: this.#sessions.getAll(),
      nextEpoch: BigInt(this.#sessions.nextEpoch),
      usage: [...this.#usage].map(([caller, cost]) => ({
        caller,
        cost: BigInt(cost),
      })),
    });
    const requests = this.#requests.getAll();
    const jobs = [...this.#jobs.values()].map(({ job, items }) => ({
      job,
      items: items.capture(),
    }));
    const staged = [...this.#staged].map(([jobId, { chunks }]) => ({
      jobId,
      chunks: [...chunks],
    }));
    return encodeCaptured({ head, requests, jobs, staged });
  }

  override restore(parts: readonly Uint8Array[]): void {
    this.#jobs.clear();
    this.#staged.clear();
    this.#active.clear();
    this.#usage.clear();
    this.#sessions.restore([], 1);
    const requests: KeyedRequest[] = [];
    const jobs: Job[] = [];
    parts.forEach((bytes) => {
      const part = fromBinary(ItemSnapshotSchema, bytes);
      if (part.nextEpoch > 0n) {
        this.#sessions.restore(part.sessions, Number(part.nextEpoch));
      }
      part.usage.forEach((row) =>
        this.#usage.set(row.caller, Number(row.cost))
      );
      requests.push(...part.requests);
      jobs.push(...part.jobs);
      part.chunks.forEach((chunk) => this.#stage(chunk));
    });
    this.#requests.restore(requests);
    jobs.forEach((job) => {
      const staged = this.#staged.get(job.id);
      this.#staged.delete(job.id);
      this.#addJob(job, new JobItems(getStagedItems(staged)));
    });
  }

  #dispatchCommand(
    body: ReturnType<typeof decodeCommand>,
    context: CommandContext,
  ): ReplyInit {
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
        return createRefusal(MessageCode.INTERNAL, { reason: "no command" });
    }
  }

  #openSession(open: OpenSession): ReplyInit {
    const known = this.#sessions.tryFind(open);
    if (known !== undefined) return { epoch: known.epoch };
    const older = this.#sessions.getOlder(open);
    const epoch = this.#sessions.open(open);
    older.forEach((session) =>
      this.#endSession(Number(session.epoch), { timeMs: 0 })
    );
    return { epoch: BigInt(epoch) };
  }

  #endSession(epoch: number, context: { timeMs: number }): void {
    if (!this.#sessions.end(epoch)) return;
    const lost = createLostOutcome();
    this.#requests.endEpoch(epoch, lost);
    [...this.#active.values()].forEach((stored) => {
      const items = stored.items.getDispatched()
        .filter((index) => stored.items.getEpoch(index) === epoch);
      if (items.length === 0) return;
      let { job } = stored;
      items.forEach((index) => {
        if (job.nonIdempotent) {
          job = this.#recordOutcome({ ...stored, job }, index, lost);
        } else {
          stored.items.putBack(index, {
            progress: new Uint8Array(),
            charged: false,
          });
        }
      });
      this.#updateJob({ ...stored, job }, context.timeMs);
    });
  }

  #putChunk(chunk: PutChunk): ReplyInit {
    if (!this.#jobs.has(chunk.jobId)) this.#stage(chunk);
    return {};
  }

  #stage(chunk: { jobId: string; index: number; items: Item[] }): void {
    const staged = this.#staged.get(chunk.jobId) ?? { chunks: new Map() };
    staged.chunks.set(chunk.index, chunk.items);
    this.#staged.set(chunk.jobId, staged);
  }

  #commitJob(job: Job, context: CommandContext): ReplyInit {
    const known = this.#jobs.get(job.id)?.job;
    if (known !== undefined) {
      return Buffer.compare(known.digest, job.digest) === 0
        ? { job: known }
        : createRefusal(MessageCode.KEY_REUSED, {});
    }
    const items = getStagedItems(this.#staged.get(job.id));
    if (items.length !== Number(job.itemCount)) {
      return createRefusal(MessageCode.BODY_MALFORMED, {
        reason: "chunks of the job are missing",
      });
    }
    this.#staged.delete(job.id);
    const committed = create(JobSchema, {
      ...job,
      committed: true,
      createdMs: BigInt(context.timeMs),
    });
    const stored = this.#addJob(committed, new JobItems(items));
    return { job: this.#updateJob(stored, context.timeMs) };
  }

  #addJob(job: Job, items: JobItems): StoredJob {
    const stored = { job, items };
    this.#jobs.set(job.id, stored);
    if (job.endedMs !== 0n) return stored;
    this.#raiseUsage(job.caller);
    this.#active.set(job.id, stored);
    return stored;
  }

  /** A caller that comes back starts level with those that are active. */
  #raiseUsage(caller: string): void {
    const others = [...this.#active.values()].map((stored) =>
      stored.job.caller
    );
    if (others.includes(caller)) return;
    const used = others.map((other) => this.#usage.get(other) ?? 0);
    const floor = used.length === 0 ? 0 : Math.min(...used);
    this.#usage.set(caller, Math.max(this.#usage.get(caller) ?? 0, floor));
  }

  #cancelJob(cancel: CancelJob, context: CommandContext): ReplyInit {
    const stored = this.#jobs.get(cancel.jobId);
    const owned = cancel.caller === "" || stored?.job.caller === cancel.caller;
    if (stored === undefined || !owned) {
      return createRefusal(MessageCode.UNKNOWN_JOB, { job: cancel.jobId });
    }
    const { job, items } = stored;
    if (job.endedMs !== 0n || job.cancelled) return { job };
    const waiting = items.cancelWaiting();
    // A non-idempotent item that is under way can't be taken back; its
    // outcome is awaited.
    const stopped = job.nonIdempotent ? [] : items.getDispatched();
    stopped.forEach((index) => items.cancelDispatched(index));
    const cancelled = create(JobSchema, {
      ...job,
      cancelled: true,
      cancelledCount: job.cancelledCount + BigInt(waiting + stopped.length),
    });
    return { job: this.#updateJob({ job: cancelled, items }, context.timeMs) };
  }

  #claimItems(claim: ClaimItems, context: CommandContext): ReplyInit {
    const epoch = Number(claim.epoch);
    if (!this.#sessions.isOpen(epoch)) return createStaleReply(epoch);
    const resent = this.#sessions.tryGetClaimed(epoch, claim.sequence);
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

  #getStillClaimed(refs: readonly ItemRef[], epoch: number): ClaimedItem[] {
    return refs.flatMap((ref) => {
      const stored = this.#active.get(ref.jobId);
      const held = stored !== undefined &&
        isCurrent(stored.items, ref, epoch);
      return held ? [createClaimed(stored, ref.index)] : [];
    });
  }

  #claimShare(
    share: Share,
    epoch: number,
    context: CommandContext,
  ): ClaimedItem[] {
    const standings = [...this.#active.values()]
      .filter(({ job }) => job.deployment === share.deployment)
      .map((stored) => ({ stored, ...getStanding(stored) }));
    const claimed: ClaimedItem[] = [];
    while (claimed.length < share.maxItems) {
      const next = trySelectJob(standings, this.#usage, context.timeMs);
      if (next === undefined) break;
      const index = next.stored.items.tryDispatch(epoch, context.index);
      if (index === undefined) break;
      next.waiting -= 1;
      claimed.push(this.#charge(next.stored, index));
    }
    return claimed;
  }

  #charge({ job, items }: StoredJob, index: number): ClaimedItem {
    const cost = ITEM_BASE_COST +
      Math.ceil(items.getBodyBytes(index) / BYTES_PER_COST);
    this.#usage.set(job.caller, (this.#usage.get(job.caller) ?? 0) + cost);
    return createClaimed({ job, items }, index);
  }

  #finishItems(finish: FinishItems, context: CommandContext): ReplyInit {
    const epoch = Number(finish.epoch);
    if (!this.#sessions.isOpen(epoch)) return createStaleReply(epoch);
    const jobIds = new Set(finish.items.map((item) => item.ref?.jobId ?? ""));
    [...jobIds].forEach((jobId) => {
      const stored = this.#active.get(jobId);
      if (stored === undefined) return;
      const own = finish.items.filter((item) => item.ref?.jobId === jobId);
      let { job } = stored;
      own.forEach((item) => {
        job = this.#finishItem({ ...stored, job }, item, epoch);
      });
      this.#updateJob({ ...stored, job }, context.timeMs);
    });
    return {};
  }

  /** Takes the first result of a dispatched item; others are dropped. */
  #finishItem(stored: StoredJob, finished: FinishedItem, epoch: number): Job {
    const { job, items } = stored;
    const index = finished.ref?.index ?? 0;
    const isOwn = finished.ref !== undefined &&
      isCurrent(items, finished.ref, epoch);
    if (!isOwn) return job;
    if (finished.outcome !== undefined) {
      return this.#recordOutcome(stored, index, finished.outcome);
    }
    const attempts = items.getAttempts(index) + (finished.charged ? 1 : 0);
    if (attempts >= MAX_ITEM_ATTEMPTS) {
      const spent = createFailedOutcome(attempts);
      return this.#recordOutcome(stored, index, spent);
    }
    items.putBack(index, finished);
    if (!job.cancelled) return job;
    const cancelled = items.cancelWaiting();
    return create(JobSchema, {
      ...job,
      cancelledCount: job.cancelledCount + BigInt(cancelled),
    });
  }

  #recordOutcome(stored: StoredJob, index: number, outcome: Outcome): Job {
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

  /** Stores a job's record, ended when nothing of it is left to do. */
  #updateJob({ job, items }: StoredJob, timeMs: number): Job {
    const over = items.waitingCount === 0 && items.dispatchedCount === 0;
    const current = over && job.endedMs === 0n
      ? create(JobSchema, { ...job, endedMs: BigInt(Math.max(1, timeMs)) })
      : job;
    const stored = { job: current, items };
    this.#jobs.set(job.id, stored);
    if (over) this.#active.delete(job.id);
    else this.#active.set(job.id, stored);
    return current;
  }

  #beginRequest(wanted: KeyedRequest, context: CommandContext): ReplyInit {
    const epoch = Number(wanted.epoch);
    if (!this.#sessions.isOpen(epoch)) return createStaleReply(epoch);
    const result = this.#requests.begin(wanted, context.timeMs);
    if (result.kind === "key reused") {
      return createRefusal(MessageCode.KEY_REUSED, {});
    }
    return { request: result.request, begun: result.kind === "begun" };
  }

  #finishRequest(finished: FinishRequest): ReplyInit {
    const epoch = Number(finished.epoch);
    if (!this.#sessions.isOpen(epoch)) return createStaleReply(epoch);
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

/** Whether an item is still dispatched as the reference names it. */
function isCurrent(items: JobItems, ref: ItemRef, epoch: number): boolean {
  return items.getState(ref.index) === ItemState.DISPATCHED &&
    items.getEpoch(ref.index) === epoch &&
    items.getDispatch(ref.index) === Number(ref.dispatch);
}

function createClaimed({ job, items }: StoredJob, index: number): ClaimedItem {
  const dispatch = BigInt(items.getDispatch(index));
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

function getStagedItems(staged: Staged | undefined): Item[] {
  if (staged === undefined) return [];
  return [...staged.chunks].sort(([a], [b]) => a - b)
    .flatMap(([, items]) => items);
}

function getStanding({ job, items }: StoredJob): JobStanding & {
  waiting: number;
} {
  return {
    jobId: job.id,
    caller: job.caller,
    deadlineMs: Number(job.deadlineMs),
    waiting: items.waitingCount,
  };
}
