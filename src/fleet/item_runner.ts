/**
 * Runs the items of jobs on the leader of the store's group, in the room that
 * online requests leave. What an item has produced is kept here while it
 * waits, so that giving way costs little; a new leader starts items afresh.
 */
import { create } from "@bufbuild/protobuf";
import { LoadKind } from "../membership/mod.ts";
import {
  type BatchRun,
  countToYield,
  getPath,
  getReserve,
  selectTarget,
  selectYielding,
} from "../policy/mod.ts";
import {
  ItemEnd,
  type JobItem,
  type RecordRuns,
  RecordRunsSchema,
} from "../schema/mod.ts";
import { createDeadLetter, type QueuedJob } from "../state/mod.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import type { Timer } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import { MetricName } from "../sys/metrics.ts";
import type { BackendCaller } from "./backend_call.ts";
import type { BackendDialect, CallerDialect } from "./dialects.ts";
import {
  createItemRequest,
  type ItemEnding,
  runItemAttempt,
} from "./item_attempt.ts";
import { type ItemCandidate, ItemQueue } from "./item_queue.ts";
import { ProgressBook } from "./progress_book.ts";
import type { RoutingView } from "./routing_view.ts";
import { type EndedItem, getItemKey, RunRecorder } from "./run_recorder.ts";
import type { Place, PoolServer, ServerPool } from "./server_pool.ts";

/** How an {@linkcode ItemRunner} is made. */
export interface ItemRunnerOptions {
  /** Jobs with open items; empty while this process must run none. */
  readonly getOpenJobs: () => readonly QueuedJob[];
  /** Term in which this process leads; undefined while it doesn't. */
  readonly getLeadTerm: () => number | undefined;
  readonly record: (runs: RecordRuns) => Promise<void>;
  readonly view: RoutingView;
  readonly pool: ServerPool;
  readonly caller: BackendCaller;
  readonly dialects: { caller: CallerDialect; backend: BackendDialect };
  readonly context: ProcessContext;
}

interface Run extends BatchRun {
  readonly server: string;
  readonly stop: AbortController;
}

/**
 * Time between two recordings of what running items have produced: a new
 * leader repeats half of it on the mean, of runs that last 5 s.
 */
const PROGRESS_INTERVAL_MS = 1_000;

/**
 * Time for which a new leader starts no item, in milliseconds: until it has
 * heard what gateways have under way, every server seems to be free.
 */
const WARM_UP_MS = 500;

/** Time between two looks at what waits and what must give way. */
const LOOK_INTERVAL_MS = 40;

/** Least time between two looks, in milliseconds. */
const LEAST_LOOK_MS = 15;

/**
 * Time by which the wall clocks of two leaders may differ, in milliseconds:
 * the platform steps them by up to 6 s. No item is given up too early by it.
 */
const CLOCK_MARGIN_MS = 7_000;

/** Items looked at in one turn; more than all slots of a large fleet. */
const MAX_CANDIDATES = 512;

/** Runs items while this process leads. */
export class ItemRunner {
  readonly #options: ItemRunnerOptions;
  readonly #runs = new Map<string, Run>();
  readonly #progress = new ProgressBook();
  readonly #queue = new ItemQueue();
  readonly #recorder: RunRecorder;
  #leadTerm: number | undefined;
  #ledSinceMs = 0;
  #lookedMs = -Infinity;
  #timer: Timer | undefined;
  #nextLook: Timer | undefined;
  #progressTimer: Timer | undefined;
  #stopped = false;

  constructor(options: ItemRunnerOptions) {
    this.#options = options;
    this.#recorder = new RunRecorder({
      record: options.record,
      isLeading: () => options.getLeadTerm() !== undefined,
      clock: options.context.clock,
      log: options.context.log,
    });
  }

  get runCount(): number {
    return this.#runs.size;
  }

  start(): void {
    this.#timer = this.#options.context.clock.startInterval(
      LOOK_INTERVAL_MS,
      () => this.look(),
    );
    this.#progressTimer = this.#options.context.clock.startInterval(
      PROGRESS_INTERVAL_MS,
      () => {
        this.#recordProgress();
        this.#noteFill();
      },
    );
  }

  /** Stops all runs; they go on where the leader is. */
  close(): void {
    this.#stopped = true;
    this.#timer?.cancel();
    this.#nextLook?.cancel();
    this.#progressTimer?.cancel();
    this.#runs.forEach((run) => run.stop.abort());
  }

  /** Something changed; many changes make one look. */
  noteChange(): void {
    const { clock } = this.#options.context;
    const dueMs = this.#lookedMs + LEAST_LOOK_MS - clock.getMonotonicMs();
    if (dueMs <= 0) {
      this.look();
      return;
    }
    this.#nextLook ??= clock.startTimer(dueMs, () => this.look());
  }

  /** Starts what has room, and stops what has to give way or has ended. */
  look(): void {
    if (this.#stopped) return;
    this.#nextLook?.cancel();
    this.#nextLook = undefined;
    this.#lookedMs = this.#options.context.clock.getMonotonicMs();
    const jobs = this.#options.getOpenJobs();
    this.#stopEnded(jobs);
    this.#giveWay();
    this.#giveUp(jobs);
    if (this.#isWarm()) this.#startWaiting(jobs);
  }

  #isWarm(): boolean {
    const nowMs = this.#options.context.clock.getMonotonicMs();
    const term = this.#options.getLeadTerm();
    if (term !== this.#leadTerm) {
      this.#leadTerm = term;
      this.#ledSinceMs = nowMs;
    }
    return term !== undefined && nowMs - this.#ledSinceMs >= WARM_UP_MS;
  }

  /** Runs whose item is open no more, or whose leadership has gone. */
  #stopEnded(jobs: readonly QueuedJob[]): void {
    const open = new Set(
      jobs.flatMap((queued) =>
        [...queued.open.keys()].map((id) => getKey(queued, id))
      ),
    );
    this.#runs.forEach((run, key) => {
      if (!open.has(key)) run.stop.abort();
    });
    this.#progress.keepOnly(open);
    this.#queue.keepOnly(open);
  }

  #getServers(): PoolServer[] {
    const { view, pool } = this.#options;
    return (view.routes?.table.services ?? [])
      .flatMap((service) => pool.getServers(service.name));
  }

  #giveWay(): void {
    const nowMs = this.#options.context.clock.getWallMs();
    this.#getServers().forEach((server) => {
      const runs = [...this.#runs.values()].filter((run) =>
        run.server === server.id && !run.stop.signal.aborted
      );
      const urgent = runs.filter((run) => run.urgentFromMs <= nowMs).length;
      const patient = runs.length - urgent;
      selectYielding(runs, countToYield(server, { patient, urgent }))
        .forEach((run) => {
          this.#options.context.metrics.count(MetricName.batchGaveWay);
          run.stop.abort();
        });
    });
  }

  /** Items that were not done in time become dead letters. */
  #giveUp(jobs: readonly QueuedJob[]): void {
    const nowMs = this.#options.context.clock.getWallMs();
    const isOver = ({ submittedMs, job }: QueuedJob) =>
      nowMs > submittedMs + job.retentionMs + CLOCK_MARGIN_MS;
    jobs.filter(isOver)
      .forEach((queued) =>
        queued.open.forEach((item) => {
          if (this.#recorder.hasEnded(queued.job.id, item.id)) return;
          this.#runs.get(getKey(queued, item.id))?.stop.abort();
          this.#finish(queued, item, createDeadLetter(item.id), "too late");
        })
      );
  }

  /** A service without room is asked once a look. */
  #startWaiting(jobs: readonly QueuedJob[]): void {
    const nowMs = this.#options.context.clock.getWallMs();
    const full = new Set<string>();
    this.#getWaiting(jobs).slice(0, MAX_CANDIDATES).forEach((candidate) => {
      const service = this.#tryGetService(candidate);
      const isUrgent = candidate.urgentFromMs <= nowMs;
      if (service === undefined || full.has(`${service}/${isUrgent}`)) return;
      const isStarted = this.#tryStart(candidate, service, isUrgent);
      if (!isStarted) full.add(`${service}/${isUrgent}`);
    });
  }

  #tryGetService({ queued, item }: ItemCandidate): string | undefined {
    const { view, context } = this.#options;
    const route = view.routes?.tryMatch(queued.job.host, getPath(item.path));
    if (route === undefined) return undefined;
    return selectTarget(route, context.random.getFraction())?.service;
  }

  #getWaiting(jobs: readonly QueuedJob[]): ItemCandidate[] {
    return this.#queue.getWaiting(jobs, {
      nowMs: this.#options.context.clock.getMonotonicMs(),
      isTaken: ({ key, queued, item }) =>
        this.#runs.has(key) ||
        this.#recorder.hasEnded(queued.job.id, item.id),
    });
  }

  /** Starts an item; false when its service has no room. */
  #tryStart(
    candidate: ItemCandidate,
    service: string,
    isUrgent: boolean,
  ): boolean {
    const { queued, item, key } = candidate;
    const { pool, dialects, context } = this.#options;
    const headers = Object.fromEntries(
      item.headers.map(({ name, value }) => [name.toLowerCase(), value]),
    );
    const stop = new AbortController();
    const place = pool.tryTake({
      service,
      kind: LoadKind.batch,
      prefix: dialects.caller.readCall(headers).prefix,
      excluded: new Set(),
      reserve: getReserve(isUrgent),
      onSilent: () => stop.abort(),
    });
    if (place === undefined) return false;
    const run: Run = {
      item: item.id,
      server: place.server.id,
      stop,
      startedMs: context.clock.getMonotonicMs(),
      dueMs: candidate.dueMs,
      urgentFromMs: candidate.urgentFromMs,
    };
    this.#runs.set(key, run);
    this.#run(candidate, place, run).catch((error) =>
      context.log.error("item_run_failed", {
        job: queued.job.id,
        item: item.id,
        reason: getReason(error),
      })
    ).finally(() => {
      place.release();
      this.#runs.delete(key);
    });
    return true;
  }

  async #run(
    { queued, item }: ItemCandidate,
    place: Place,
    run: Run,
  ): Promise<void> {
    const progress = this.#progress.open(queued, item);
    const ending = await runItemAttempt({
      caller: this.#options.caller,
      request: createItemRequest(
        queued.job.host,
        item,
        this.#options.dialects.backend,
      ),
      place,
      leftMs: this.#getLeftMs(queued),
      progress,
      signal: run.stop.signal,
    });
    this.#settle(queued, item, ending, place.server.id);
  }

  #getLeftMs({ submittedMs, job }: QueuedJob): number {
    return submittedMs + job.retentionMs + CLOCK_MARGIN_MS -
      this.#options.context.clock.getWallMs();
  }

  #settle(
    queued: QueuedJob,
    item: JobItem,
    ending: ItemEnding,
    server: string,
  ): void {
    const key = getKey(queued, item.id);
    const { context, pool } = this.#options;
    switch (ending.kind) {
      case "done": {
        const text = this.#progress.tryGet(key)?.text ?? "";
        const result = { id: item.id, end: ItemEnd.DONE, text: encode(text) };
        this.#finish(queued, item, result, "done");
        return;
      }
      case "impossible":
        this.#finish(queued, item, createDeadLetter(item.id), ending.reason);
        return;
      case "stopped":
        return;
      case "failed":
        this.#progress.tryGet(key)?.reset();
        this.#recorder.fail(queued.job.id, item.id);
        break;
      case "broken":
        pool.avoid(server);
        break;
      case "notRun":
        break;
    }
    this.#queue.pause(key, context.clock.getMonotonicMs());
    context.log.info("item_attempt_ended", {
      job: queued.job.id,
      item: item.id,
      server,
      ending: ending.kind,
      reason: ending.reason,
      event: this.#progress.tryGet(key)?.last ?? -1,
    });
  }

  #finish(
    queued: QueuedJob,
    item: JobItem,
    result: EndedItem,
    reason: string,
  ): void {
    this.#options.context.metrics.count(MetricName.batchItems);
    if (result.end !== ItemEnd.DONE) {
      this.#options.context.log.info("item_given_up", {
        job: queued.job.id,
        item: item.id,
        reason,
      });
    }
    this.#recorder.finish(queued.job.id, result);
  }

  /** Says once an interval how full the servers are, while items are open. */
  #noteFill(): void {
    const jobs = this.#options.getOpenJobs();
    if (jobs.length === 0) return;
    const servers = this.#getServers();
    this.#options.context.log.info("items_under_way", {
      jobs: jobs.length,
      open: jobs.reduce((sum, { open }) => sum + open.size, 0),
      running: this.#runs.size,
      servers: servers.length,
      slots: servers.reduce((sum, { slots }) => sum + slots, 0),
      busy: servers.reduce((sum, { busy }) => sum + busy, 0),
    });
  }

  /**
   * Records what running items have produced since the last time. A part that
   * is lost leaves a gap, and later parts of that run are dropped; the result
   * itself is always recorded whole.
   */
  #recordProgress(): void {
    const progress = this.#progress.takeUnrecorded(
      this.#options.getOpenJobs(),
      (job, item) => this.#recorder.hasEnded(job, item),
    );
    if (progress.length === 0) return;
    this.#options.record(create(RecordRunsSchema, { progress })).catch(
      (error) =>
        this.#options.context.log.warn("progress_not_recorded", {
          items: progress.length,
          reason: getReason(error),
        }),
    );
  }
}

function getKey(queued: QueuedJob, item: string): string {
  return getItemKey(queued.job.id, item);
}

function encode(text: string): Uint8Array {
  return Buffer.from(text, "utf8");
}
