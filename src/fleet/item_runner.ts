/**
 * Runs one member's share of the items of jobs, in the room that online
 * requests leave. What an item has produced is kept here while it waits, so
 * that giving way costs little, and recorded now and then, so that another
 * member goes on from there.
 */
import { create } from "@bufbuild/protobuf";
import { LoadKind } from "../membership/mod.ts";
import {
  BurstGate,
  getPath,
  getReserve,
  RunEstimate,
  selectTarget,
} from "../policy/mod.ts";
import {
  type JobItem,
  type RecordRuns,
  RecordRunsSchema,
} from "../schema/mod.ts";
import type { QueuedJob } from "../state/mod.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import type { Timer } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import { MetricName } from "../sys/metrics.ts";
import type { BackendCaller } from "./backend_call.ts";
import type { BackendDialect, CallerDialect } from "./dialects.ts";
import { createItemRequest, runItemAttempt } from "./item_attempt.ts";
import { type ItemCandidate, ItemQueue } from "./item_queue.ts";
import { type ItemRun, ItemRuns } from "./item_runs.ts";
import { ItemSettler } from "./item_settler.ts";
import { ProgressBook } from "./progress_book.ts";
import type { RoutingView } from "./routing_view.ts";
import { getItemKey, RunRecorder } from "./run_recorder.ts";
import type { RunShares } from "./run_shares.ts";
import type {
  PermitRequest,
  PoolServer,
  ServerPermit,
  ServerPool,
} from "./server_pool.ts";

/** How an {@linkcode ItemRunner} is made. */
export interface ItemRunnerOptions {
  /** Jobs with open items; empty while this process must run none. */
  readonly getOpenJobs: () => readonly QueuedJob[];
  readonly shares: RunShares;
  /** Whether this process may still record what its runs produce. */
  readonly mayRecord: () => boolean;
  readonly record: (runs: RecordRuns) => Promise<void>;
  readonly view: RoutingView;
  readonly pool: ServerPool;
  readonly caller: BackendCaller;
  readonly dialects: { caller: CallerDialect; backend: BackendDialect };
  readonly context: ProcessContext;
}

/**
 * Time between two recordings of what running items have produced: who goes
 * on repeats half of it on the mean, of runs that last 5 s.
 */
const PROGRESS_INTERVAL_MS = 1_000;

/**
 * Time after which a run is stopped and goes on in another one, in
 * milliseconds. When this host is lost, its servers go on unseen, and take the
 * slots of a burst, no longer than that.
 */
const SLICE_MS = 2_000;

/** What a server is given beyond that, in milliseconds: it stops by itself. */
const SLICE_MARGIN_MS = 200;

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

/** Runs the items of one process. */
export class ItemRunner {
  readonly #options: ItemRunnerOptions;
  readonly #runs = new ItemRuns();
  readonly #progress = new ProgressBook();
  readonly #queue = new ItemQueue();
  readonly #gate = new BurstGate();
  readonly #estimate = new RunEstimate();
  readonly #recorder: RunRecorder;
  readonly #settler: ItemSettler;
  #lookedMs = -Infinity;
  #timer: Timer | undefined;
  #nextLook: Timer | undefined;
  #progressTimer: Timer | undefined;
  #stopped = false;

  constructor(options: ItemRunnerOptions) {
    this.#options = options;
    this.#recorder = new RunRecorder({
      record: options.record,
      mayRecord: options.mayRecord,
      clock: options.context.clock,
      log: options.context.log,
    });
    this.#settler = new ItemSettler({
      recorder: this.#recorder,
      progress: this.#progress,
      queue: this.#queue,
      pool: options.pool,
      context: options.context,
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
    this.#runs.stopAll();
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
    this.#options.shares.update();
    this.#stopEnded(jobs);
    this.#giveWay();
    this.#giveUp(jobs);
    this.#startWaiting(jobs);
  }

  /** Runs whose item is open no more, or not this process's any more. */
  #stopEnded(jobs: readonly QueuedJob[]): void {
    const { shares } = this.#options;
    const open = new Set(
      jobs.flatMap((queued) =>
        [...queued.open.keys()].map((id) => getKey(queued, id))
      ),
    );
    const mine = new Set([...open].filter((key) => shares.isMine(key)));
    shares.keepOnly(open);
    this.#recorder.keepOnly(open);
    this.#runs.keepOnly(mine);
    this.#progress.keepOnly(mine);
    this.#queue.keepOnly(mine);
  }

  #getServers(): PoolServer[] {
    const { view, pool } = this.#options;
    return (view.routes?.table.services ?? [])
      .flatMap((service) => pool.getServers(service.name));
  }

  #giveWay(): void {
    const { metrics, log, clock } = this.#options.context;
    const nowMs = clock.getMonotonicMs();
    const leaving = this.#runs.giveWay(this.#getServers(), clock.getWallMs());
    leaving.forEach(({ run, server }) => {
      this.#gate.noteGaveWay(run.server, nowMs - run.startedMs, nowMs);
      metrics.count(MetricName.batchGaveWay);
      log.info("item_gave_way", {
        job: run.job,
        item: run.item,
        server: server.id,
        busy: server.busy,
        slots: server.slots,
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
          const isMine = this.#options.shares.isMine(getKey(queued, item.id));
          if (!isMine || this.#recorder.hasEnded(queued.job.id, item.id)) {
            return;
          }
          this.#runs.stop(getKey(queued, item.id));
          this.#settler.giveUp(queued, item, "too late");
        })
      );
  }

  /** A service without room is asked once a look. */
  #startWaiting(jobs: readonly QueuedJob[]): void {
    const { pool, shares, context } = this.#options;
    const nowMs = context.clock.getWallMs();
    const full = new Set<string>();
    const allowed = new Map<string, ReadonlySet<string>>();
    this.#getWaiting(jobs).slice(0, MAX_CANDIDATES).forEach((candidate) => {
      const service = this.#tryGetService(candidate);
      if (service === undefined) return;
      const reserve = getReserve(candidate, nowMs);
      if (full.has(`${service}/${reserve}`)) return;
      const servers = allowed.get(service) ??
        this.#getOpenServers(shares.getServers(pool.getServers(service)));
      allowed.set(service, servers);
      const isStarted = this.#tryStart(candidate, {
        service,
        allowed: servers,
        reserve,
      });
      if (!isStarted) full.add(`${service}/${reserve}`);
    });
  }

  /** Servers where no burst runs. */
  #getOpenServers(servers: ReadonlySet<string>): ReadonlySet<string> {
    const nowMs = this.#options.context.clock.getMonotonicMs();
    return new Set(
      [...servers].filter((server) => this.#gate.isOpen(server, nowMs)),
    );
  }

  #getRemainingMs({ job, progress }: QueuedJob, item: JobItem): number {
    const last = this.#progress.tryGet(getItemKey(job.id, item.id))?.last ??
      progress.get(item.id)?.last ?? 0;
    return this.#estimate.getRemainingMs(job.route, last);
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
      wallMs: this.#options.context.clock.getWallMs(),
      getRemainingMs: (queued, item) => this.#getRemainingMs(queued, item),
      isTaken: ({ key, queued, item }) =>
        this.#runs.has(key) || !this.#options.shares.mayStart(key) ||
        this.#recorder.hasEnded(queued.job.id, item.id),
    });
  }

  /** Starts an item; false when its service has no room. */
  #tryStart(
    candidate: ItemCandidate,
    where: Pick<PermitRequest, "service" | "allowed" | "reserve">,
  ): boolean {
    const { queued, item, key } = candidate;
    const { pool, dialects, context } = this.#options;
    const headers = Object.fromEntries(
      item.headers.map(({ name, value }) => [name.toLowerCase(), value]),
    );
    const stop = new AbortController();
    const place = pool.tryAcquire({
      ...where,
      kind: LoadKind.batch,
      prefix: dialects.caller.readRequestMetadata(headers).prefix,
      excluded: new Set(),
      onSilent: () => stop.abort(),
    });
    if (place === undefined) return false;
    const getRemainingMs = () => this.#getRemainingMs(queued, item);
    const run: ItemRun = {
      job: queued.job.id,
      item: item.id,
      server: place.server.id,
      stop,
      startedMs: context.clock.getMonotonicMs(),
      dueMs: candidate.dueMs,
      urgentFromMs: candidate.urgentFromMs,
      // It needs less and less while it runs.
      get remainingMs() {
        return getRemainingMs();
      },
    };
    this.#runs.add(key, run);
    const sliceTimer = context.clock.startTimer(SLICE_MS, () => stop.abort());
    this.#run(candidate, place, run).catch((error) =>
      context.log.error("item_run_failed", {
        job: queued.job.id,
        item: item.id,
        reason: getReason(error),
      })
    ).finally(() => {
      sliceTimer.cancel();
      place.release();
      this.#runs.delete(key);
    });
    return true;
  }

  async #run(
    { queued, item }: ItemCandidate,
    place: ServerPermit,
    run: ItemRun,
  ): Promise<void> {
    const progress = this.#progress.open(queued, item);
    this.#options.context.log.info("item_started", {
      job: run.job,
      item: run.item,
      server: run.server,
      after_event: progress.last ?? 0,
      busy: place.server.busy,
      slots: place.server.slots,
      due_in_ms: Math.round(
        run.dueMs - this.#options.context.clock.getWallMs(),
      ),
    });
    const before = progress.last ?? 0;
    const ending = await runItemAttempt({
      caller: this.#options.caller,
      request: createItemRequest(
        queued.job.host,
        item,
        this.#options.dialects.backend,
      ),
      place,
      leftMs: Math.min(
        this.#getLeftMs(queued),
        SLICE_MS + SLICE_MARGIN_MS,
      ),
      progress,
      signal: run.stop.signal,
    });
    const last = progress.last ?? 0;
    const ranMs = this.#options.context.clock.getMonotonicMs() - run.startedMs;
    this.#estimate.noteRun(queued.job.route, last - before, ranMs);
    if (ending.kind === "done") {
      this.#estimate.noteWhole(queued.job.route, last);
    }
    this.#settler.settle(queued, item, ending, place.server.id);
  }

  #getLeftMs({ submittedMs, job }: QueuedJob): number {
    return submittedMs + job.retentionMs + CLOCK_MARGIN_MS -
      this.#options.context.clock.getWallMs();
  }

  /** Says once an interval how full the servers are, while items are open. */
  #noteFill(): void {
    const jobs = this.#options.getOpenJobs();
    if (jobs.length === 0 || !this.#options.shares.isRunner) return;
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
