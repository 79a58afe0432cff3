/**
 * Runs the job items that one member of the store group owns, on the slots that
 * online requests leave free. The partial output of an item is kept while the
 * item waits, so that a preempted item resumes where it stopped. It is also
 * recorded periodically, so that another member can resume the item.
 */
import { create } from "@bufbuild/protobuf";
import { LoadKind } from "../membership/mod.ts";
import {
  getReservedSlots,
  getSlack,
  getUrgentFromMs,
  isItemShortOfTime,
  PreemptionCooldown,
  type RouteIndex,
  RunTimeEstimator,
  selectTarget,
} from "../policy/mod.ts";
import {
  type JobItem,
  type RecordRuns,
  RecordRunsSchema,
  type Route,
  type SubmitJob,
} from "../schema/mod.ts";
import type { QueuedJob } from "../state/mod.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import type { PromptPartGuard } from "../services/common/prompt_part_guard.ts";
import type { Timer } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import { MetricName } from "../sys/metrics.ts";
import { logRejection } from "../sys/unexpected_errors.ts";
import { describeSpeed } from "./pool_speeds.ts";
import type { BackendClient } from "./backend_client.ts";
import type { CrashDetector } from "./crash_detector.ts";
import type { BackendDialect, CallerDialect } from "./dialects.ts";
import {
  type AttemptOutcome,
  createItemRequest,
  type ItemIdentity,
  runItemAttempt,
} from "./item_attempt.ts";
import { ItemQueue } from "./item_queue.ts";
import { type ActiveRun, ActiveRuns, StopReason } from "./active_runs.ts";
import { AttemptOutcomeHandler } from "./attempt_outcome_handler.ts";
import type { ItemProgress } from "./item_progress.ts";
import { ProgressTracker } from "./progress_tracker.ts";
import { createItemNeed, getItemLateAfterMs } from "./item_flow_need.ts";
import type { RoutingView } from "./routing_view.ts";
import { RunRecorder } from "./run_recorder.ts";
import type { ItemOwnership } from "./item_ownership.ts";
import type {
  PermitRequest,
  PoolServer,
  ServerPermit,
  ServerPool,
} from "./server_pool.ts";
import {
  type ItemCandidate,
  type ItemSlots,
  WaitingItems,
} from "./waiting_items.ts";

/** Options of an {@linkcode ItemRunner}. */
export interface ItemRunnerOptions {
  /** Jobs with open items, by the applied state. */
  readonly getOpenJobs: () => readonly QueuedJob[];
  /** Whether this process may start items and record their outcomes now. */
  readonly canStart: () => boolean;
  /** Whether it may continue the runs that it has in progress. */
  readonly canContinue: () => boolean;
  /** Whether the replicated state tells recorded runs apart by their chains. */
  readonly identifiesChains: () => boolean;
  /** Log index up to which the state of the jobs has been applied. */
  readonly getAppliedIndex: () => number;
  readonly ownership: ItemOwnership;
  readonly record: (runs: RecordRuns) => Promise<void>;
  readonly view: RoutingView;
  readonly pool: ServerPool;
  readonly backendClient: Pick<BackendClient, "send">;
  readonly crashDetector: Pick<CrashDetector, "recordConnectionLoss">;
  readonly promptPartGuard: PromptPartGuard;
  readonly dialects: { caller: CallerDialect; backend: BackendDialect };
  readonly context: ProcessContext;
}

/**
 * Interval at which the partial output of running items is recorded, in
 * milliseconds. A runner that takes over an item repeats half an interval of work
 * on average; a complete run takes about 5 s.
 */
const PROGRESS_INTERVAL_MS = 1_000;

/**
 * Maximum duration of one attempt, in milliseconds; the item continues in
 * another attempt. If this host fails, backend servers keep running its attempts
 * for at most this time. No process can preempt them then, so they hold slots
 * that a burst of online requests needs.
 */
const TIME_SLICE_MS = 2_000;

/**
 * The same at a server with a limit, in milliseconds: each attempt is one of the
 * few requests that it takes, so an item of usual length runs in one.
 */
const LIMITED_TIME_SLICE_MS = 6_000;

/**
 * Added to the time slice to get the timeout that is sent to the server, in
 * milliseconds. The server stops the run itself after that timeout.
 */
const TIME_SLICE_MARGIN_MS = 200;

/** Interval between regular scheduling passes, in milliseconds. */
const SCHEDULING_INTERVAL_MS = 40;

/** Time without a regular pass after which the process was frozen, in milliseconds. */
const FROZEN_MS = 1_000;

/** Minimum interval between scheduling passes, in milliseconds. */
const MIN_SCHEDULING_INTERVAL_MS = 15;

/**
 * Maximum difference between the wall clocks of two leaders, in milliseconds:
 * the platform steps clocks by up to 6 s. Expiry is delayed by this margin so
 * that no item expires early.
 */
const CLOCK_SKEW_MARGIN_MS = 7_000;

/**
 * Time for which an item waits for a slot at servers of its software version
 * while those of another have free ones, in milliseconds: less than the time in
 * which an item of usual length runs anew.
 */
const VERSION_WAIT_MS = 3_000;

/**
 * Time after which a wait for a software version begins anew, in milliseconds, if no
 * pass in between has found the item waiting.
 */
const VERSION_WAIT_GAP_MS = 500;

const NO_DATA_CENTRES: ReadonlySet<string> = new Set();

/** Servers of a service that items may use. */
interface UsableServers {
  /** Ids of the servers. */
  readonly allowed: ReadonlySet<string>;
  /** Data centres of servers that are assigned to this process. */
  readonly assigned: ReadonlySet<string>;
}

/** Servers of a service that one item may use. */
type ItemPlacement = UsableServers & Pick<ItemSlots, "service" | "reserve">;

/** Wait of an item for a slot at servers of its software version. */
interface VersionWait {
  /** Monotonic times, in milliseconds. */
  readonly sinceMs: number;
  readonly seenMs: number;
}

/** Schedules and runs the items that one process owns. */
export class ItemRunner {
  readonly #options: ItemRunnerOptions;
  readonly #activeRuns = new ActiveRuns();
  readonly #progress: ProgressTracker;
  readonly #queue: ItemQueue;
  readonly #preemptionCooldown = new PreemptionCooldown();
  readonly #runTimeEstimator = new RunTimeEstimator();
  readonly #recorder: RunRecorder;
  readonly #outcomeHandler: AttemptOutcomeHandler;
  /** Start of the wait for a slot at a software version, by item key. */
  readonly #versionWaits = new Map<string, VersionWait>();
  /** Number of the run that was started last. */
  #lastRun = 0;
  #lastPassMs = -Infinity;
  /** Applied index of the open items seen last; undefined if none might run. */
  #openItemsIndex: number | undefined;
  #isRecordingProgress = false;
  #schedulingTimer: Timer | undefined;
  #pendingPass: Timer | undefined;
  #progressTimer: Timer | undefined;
  #stopped = false;

  constructor(options: ItemRunnerOptions) {
    this.#options = options;
    this.#progress = new ProgressTracker(options.context);
    this.#queue = new ItemQueue((headers) =>
      options.dialects.caller.readRequestMetadata(headers).prefix
    );
    this.#recorder = new RunRecorder({
      record: options.record,
      canRecord: options.canStart,
      clock: options.context.clock,
      log: options.context.log,
      metrics: options.context.metrics,
    });
    this.#outcomeHandler = new AttemptOutcomeHandler({
      recorder: this.#recorder,
      queue: this.#queue,
      pool: options.pool,
      context: options.context,
    });
  }

  get runCount(): number {
    return this.#activeRuns.size;
  }

  start(): void {
    this.#startRegularPasses();
    this.#progressTimer = this.#options.context.clock.startInterval(
      PROGRESS_INTERVAL_MS,
      () => {
        if (!this.#isRecordingProgress) this.#startRecordingProgress();
        this.#logUtilization();
        this.#startRegularPasses();
      },
    );
  }

  /** Starts regular scheduling passes, which end when there is nothing to do. */
  #startRegularPasses(): void {
    if (this.#stopped || this.#isIdle) return;
    const { clock } = this.#options.context;
    // The passes before were left out because there was nothing to do.
    if (this.#schedulingTimer === undefined) {
      this.#lastPassMs = clock.getMonotonicMs() - MIN_SCHEDULING_INTERVAL_MS;
    }
    this.#schedulingTimer ??= clock.startInterval(
      SCHEDULING_INTERVAL_MS,
      () => {
        if (!this.#isIdle) this.schedule();
        else {
          this.#schedulingTimer?.cancel();
          this.#schedulingTimer = undefined;
        }
      },
    );
  }

  /**
   * Whether a scheduling pass has nothing to do: no item is open or runs, no outcome
   * waits, and the last pass has seen the current state. Entries that are applied
   * change that state.
   */
  get #isIdle(): boolean {
    const { getAppliedIndex, getOpenJobs } = this.#options;
    return this.#openItemsIndex !== undefined &&
      this.#openItemsIndex === getAppliedIndex() &&
      this.#activeRuns.size === 0 && !this.#recorder.hasOutcomes &&
      getOpenJobs().length === 0;
  }

  /**
   * Stops all runs and records their output and outcomes, within `limitMs`. The
   * other runners of the group resume the items.
   */
  async stop(limitMs: number): Promise<void> {
    this.#stopped = true;
    this.#schedulingTimer?.cancel();
    this.#pendingPass?.cancel();
    this.#progressTimer?.cancel();
    this.#activeRuns.stopAll(StopReason.hostStops);
    const { clock } = this.#options.context;
    await Promise.all([
      Promise.race([this.#recordProgress(), clock.delay(limitMs)]),
      this.#recorder.close(limitMs),
    ]);
  }

  /** Requests a scheduling pass after a change; requests are coalesced. */
  requestScheduling(): void {
    if (this.#isIdle) return;
    this.#startRegularPasses();
    const { clock } = this.#options.context;
    const dueMs = this.#lastPassMs + MIN_SCHEDULING_INTERVAL_MS -
      clock.getMonotonicMs();
    if (dueMs <= 0) {
      this.schedule();
      return;
    }
    this.#pendingPass ??= clock.startTimer(dueMs, () => this.schedule());
  }

  /**
   * Runs one scheduling pass: stops runs whose item is closed or expired or
   * that online requests preempt, then starts waiting items on free slots.
   */
  schedule(): void {
    if (this.#stopped) return;
    this.#pendingPass?.cancel();
    this.#pendingPass = undefined;
    const nowMs = this.#options.context.clock.getMonotonicMs();
    const wasFrozen = this.#schedulingTimer !== undefined &&
      nowMs - this.#lastPassMs > FROZEN_MS;
    this.#lastPassMs = nowMs;
    // The routes, servers and ends of that time have arrived and are read first; the
    // next regular pass follows.
    if (wasFrozen) return;
    // Outcomes are kept while no items may run, so that the items don't start
    // again on a state without them.
    this.#recorder.removeApplied(this.#options.getOpenJobs(), {
      identifiesChains: this.#options.identifiesChains(),
    });
    const jobs = this.#getRunnableJobs();
    this.#applyOwnership(jobs);
    this.#preemptRuns();
    this.#expireItems(jobs);
    if (this.#options.canStart()) this.#startWaitingItems(jobs);
  }

  #getRunnableJobs(): readonly QueuedJob[] {
    return this.#options.canContinue() ? this.#options.getOpenJobs() : [];
  }

  /** Applies changes of the runners and of the open items. */
  #applyOwnership(jobs: readonly QueuedJob[]): void {
    const { ownership, getAppliedIndex, canContinue, context } = this.#options;
    const appliedIndex = getAppliedIndex();
    const haveRunnersChanged = ownership.updateRunners();
    if (haveRunnersChanged) {
      context.log.info("runners_applied", {
        runners: ownership.runners.join(),
        is_runner: ownership.isRunner,
        applied: appliedIndex,
      });
      // The next owners of items continue after their recorded output.
      this.#startRecordingProgress();
    }
    const openItemsIndex = canContinue() ? appliedIndex : undefined;
    const isUnchanged = openItemsIndex !== undefined &&
      openItemsIndex === this.#openItemsIndex;
    if (isUnchanged && !haveRunnersChanged) return;
    this.#openItemsIndex = openItemsIndex;
    this.#stopClosedRuns(jobs);
  }

  /** Stops runs whose item is closed or no longer owned by this process. */
  #stopClosedRuns(jobs: readonly QueuedJob[]): void {
    const { ownership } = this.#options;
    const open = new Set(
      jobs.flatMap((queued) =>
        [...queued.open.values()].map((item) =>
          this.#queue.getKey(queued, item)
        )
      ),
    );
    const owned = new Set([...open].filter((key) => ownership.isOwned(key)));
    ownership.retainOnly(open);
    this.#activeRuns.stopAllExcept(owned);
    this.#progress.retainOnly(owned);
    this.#queue.retainOnly(owned);
    [...this.#versionWaits.keys()].filter((key) => !owned.has(key))
      .forEach((key) => this.#versionWaits.delete(key));
  }

  #getServers(): PoolServer[] {
    const { view, pool } = this.#options;
    return (view.routes?.table.services ?? [])
      .flatMap((service) => pool.getServers(service.name));
  }

  #preemptRuns(): void {
    const { metrics, log, clock } = this.#options.context;
    const nowMs = clock.getMonotonicMs();
    const preempted = this.#activeRuns.preempt(
      this.#getServers(),
      clock.getWallMs(),
      nowMs,
    );
    preempted.forEach(({ run, server }) => {
      this.#preemptionCooldown.recordPreemption(
        run.server,
        nowMs - run.startedMs,
        nowMs,
        { grows: server.slowdown !== undefined },
      );
      metrics.count(MetricName.batchGaveWay);
      log.info("item_gave_way", {
        job: run.job,
        item: run.item,
        server: server.id,
        busy: server.busy,
        slots: server.slots,
        ...describeSpeed(server),
        ran_ms: Math.round(nowMs - run.startedMs),
      });
    });
  }

  /** Moves items that exceeded their retention time to the dead letters. */
  #expireItems(jobs: readonly QueuedJob[]): void {
    const nowMs = this.#options.context.clock.getWallMs();
    const isExpired = ({ submittedMs, job }: QueuedJob) =>
      nowMs > submittedMs + job.retentionMs + CLOCK_SKEW_MARGIN_MS;
    jobs.filter(isExpired)
      .forEach((queued) =>
        queued.open.forEach((item) => {
          const key = this.#queue.getKey(queued, item);
          if (!this.#mayGiveUp(key)) return;
          this.#activeRuns.stop(key, StopReason.expired);
          this.#outcomeHandler.moveToDeadLetters(
            queued,
            item,
            "the retention time has passed",
          );
        })
      );
  }

  /** Whether this process may record that an item has ended without a result. */
  #mayGiveUp(key: string): boolean {
    return this.#options.ownership.isOwned(key) &&
      !this.#recorder.hasOutcome(key);
  }

  /**
   * Starts waiting items in order. Once the slots that an item needs are taken, others
   * that need the same ones are left out of this pass.
   */
  #startWaitingItems(jobs: readonly QueuedJob[]): void {
    const waiting = this.#findWaitingItems(jobs);
    const usableByService = new Map<string, UsableServers>();
    let next = waiting.tryTake();
    while (next !== undefined) {
      const { item, slots } = next;
      const { service, mayLeave, softwareVersion } = slots;
      const serviceKey = `${service}/${mayLeave}`;
      const usable = usableByService.get(serviceKey) ??
        this.#getUsableServers(service, { mayLeave });
      usableByService.set(serviceKey, usable);
      const placement = { ...slots, ...usable };
      // An item that was started in this pass may try the same part of a prompt.
      const isHeld = this.#isHeld(item.queued, item.item, service);
      if (!isHeld && !this.#tryStart(item, placement)) {
        const others = waiting.removeAll(slots);
        if (softwareVersion !== undefined) {
          this.#leaveSoftwareVersion([item, ...others], placement);
        }
      }
      next = waiting.tryTake();
    }
  }

  /** Finds the items that may start, unless the slots they need are all taken. */
  #findWaitingItems(jobs: readonly QueuedJob[]): WaitingItems {
    const { view, pool, context } = this.#options;
    const { routes } = view;
    const nowMs = context.clock.getMonotonicMs();
    const wallMs = context.clock.getWallMs();
    const waiting = new WaitingItems(wallMs);
    if (routes === undefined) return waiting;
    const freeSlots = new Map<string, number>();
    const getFreeSlots = (service: string) => {
      const slots = freeSlots.get(service) ?? pool.getMostFreeSlots(service);
      freeSlots.set(service, slots);
      return slots;
    };
    jobs.forEach((queued) => {
      const order = this.#getJobOrder(queued, nowMs);
      const { dueMs, urgentFromMs, openJobItems, isOverShare } = order;
      // No item of the job may leave fewer slots free than one that is nearly done.
      const leastReserve = getReservedSlots(
        { dueMs, urgentFromMs, remainingMs: 0 },
        wallMs,
      );
      queued.open.forEach((item) => {
        const route = this.#queue.tryGetRoute(queued, item, routes);
        if (route === undefined) {
          this.#giveUpWithoutRoute(queued, item, routes);
          return;
        }
        const service = this.#trySelectService(route);
        if (service === undefined) return;
        const slots = getFreeSlots(service);
        if (slots <= leastReserve) return;
        const key = this.#queue.getKey(queued, item);
        if (!this.#mayStart(key, nowMs)) return;
        const remainingMs = this.#getRemainingMs(queued, item);
        const timing = { dueMs, urgentFromMs, remainingMs };
        const reserve = getReservedSlots(timing, wallMs);
        if (slots <= reserve || this.#isHeld(queued, item, service)) return;
        const candidate: ItemCandidate = {
          queued,
          item,
          key,
          dueMs,
          urgentFromMs,
          remainingMs,
          openJobItems,
          isOverShare,
          priority: order.hasPriorities ? item.priority : undefined,
        };
        waiting.add(candidate, {
          service,
          softwareVersion: this.#getRequiredVersion(candidate, service),
          mayLeave: this.#mayLeaveDataCentre(candidate, wallMs),
          reserve,
        });
      });
    });
    return waiting;
  }

  /**
   * Whether a part of an item's prompt may not be tried now. The item stays owed and
   * waits until it may.
   */
  #isHeld(queued: QueuedJob, item: JobItem, service: string): boolean {
    const parts = this.#queue.getPromptParts(queued, item, service);
    return this.#options.promptPartGuard.getRejectionMs(parts) > 0;
  }

  /** What the order of the waiting items of a job has in common. */
  #getJobOrder({ job, submittedMs, open }: QueuedJob, nowMs: number) {
    const shares = this.#options.pool.shares[LoadKind.batch];
    const { organisation } = job;
    const dueMs = submittedMs + job.dueMs;
    return {
      dueMs,
      urgentFromMs: getUrgentFromMs(submittedMs, dueMs),
      openJobItems: open.size,
      hasPriorities: organisation !== undefined,
      isOverShare: organisation !== undefined &&
        shares.isOverShare(organisation, nowMs),
    };
  }

  /** Whether an item of this process neither runs, nor has an outcome, nor is delayed. */
  #mayStart(key: string, nowMs: number): boolean {
    return this.#queue.mayRetry(key, nowMs) && !this.#activeRuns.has(key) &&
      this.#options.ownership.canStart(key) && this.#recorder.mayStart(key);
  }

  #trySelectService(route: Route): string | undefined {
    const { random } = this.#options.context;
    return route.targets.length === 1
      ? route.targets[0]?.service
      : selectTarget(route, random.getFraction())?.service;
  }

  /**
   * Ends an item whose route has been removed since its job was accepted. A job of an
   * older build doesn't say by which routes it was.
   */
  #giveUpWithoutRoute(
    queued: QueuedJob,
    item: JobItem,
    routes: RouteIndex,
  ): void {
    const { routesVersion, route } = queued.job;
    const isRouteRemoved = routesVersion > 0n &&
      routes.table.version > routesVersion &&
      routes.tryGetRoute(route) === undefined;
    const key = this.#queue.getKey(queued, item);
    const mayGiveUp = isRouteRemoved && !this.#activeRuns.has(key) &&
      this.#mayGiveUp(key);
    if (!mayGiveUp) return;
    this.#outcomeHandler.moveToDeadLetters(
      queued,
      item,
      `route "${route}" has been removed`,
    );
  }

  /**
   * Starts items anew that have waited too long for servers of their software version
   * while others have free slots.
   */
  #leaveSoftwareVersion(
    items: readonly ItemCandidate[],
    { service, reserve, allowed, assigned }: ItemPlacement,
  ): void {
    const placement = { service, reserve, allowed, assigned };
    const isFreeElsewhere = this.#hasFreeSlot(placement);
    items.filter(({ key }) => this.#hasWaitedTooLong(key, isFreeElsewhere))
      .forEach((item) => {
        this.#discardOutput(item);
        this.#tryStart(item, placement);
      });
  }

  /**
   * Software version that servers must have to continue an item; undefined if any
   * may run it. Output that no server can continue any more is discarded.
   */
  #getRequiredVersion(
    candidate: ItemCandidate,
    service: string,
  ): string | undefined {
    const { queued, item, key } = candidate;
    const hasOutput = this.#progress.tryGet(key)?.hasEvents ??
      queued.progress.has(item.id);
    if (!hasOutput) return undefined;
    const progress = this.#progress.getOrCreate(queued, item);
    const { view, pool } = this.#options;
    const { softwareVersion } = progress;
    if (view.servers.hasReadyVersion(service, softwareVersion)) {
      return softwareVersion;
    }
    if (pool.getServers(service).length === 0) return softwareVersion;
    this.#discardOutput(candidate);
    return undefined;
  }

  #hasFreeSlot({ service, allowed, reserve }: ItemPlacement): boolean {
    return this.#options.pool.getServers(service).some((server) =>
      !server.isLimited && allowed.has(server.id) &&
      server.busy + reserve < server.slots
    );
  }

  /**
   * Whether an item has waited too long for its software version while servers of
   * another version have free slots.
   */
  #hasWaitedTooLong(key: string, isFreeElsewhere: boolean): boolean {
    if (!isFreeElsewhere) {
      this.#versionWaits.delete(key);
      return false;
    }
    const nowMs = this.#options.context.clock.getMonotonicMs();
    const wait = this.#versionWaits.get(key);
    const isWaiting = wait !== undefined &&
      nowMs - wait.seenMs < VERSION_WAIT_GAP_MS;
    const sinceMs = isWaiting ? wait.sinceMs : nowMs;
    this.#versionWaits.set(key, { sinceMs, seenMs: nowMs });
    return nowMs - sinceMs >= VERSION_WAIT_MS;
  }

  /** Discards the output of an item, so that any server may run it anew. */
  #discardOutput({ queued, item, key }: ItemCandidate): void {
    const progress = this.#progress.getOrCreate(queued, item);
    this.#options.context.log.info("item_output_discarded", {
      job: queued.job.id,
      item: item.id,
      events: progress.last ?? 0,
      version: progress.softwareVersion,
    });
    progress.reset();
    this.#versionWaits.delete(key);
  }

  /**
   * Whether an item may use servers of other runners, as far as the flow between data
   * centres has slots for it.
   */
  #mayLeaveDataCentre(candidate: ItemCandidate, wallMs: number): boolean {
    return this.#options.pool.hasRemoteFlow &&
      isItemShortOfTime(getItemLateAfterMs(candidate, wallMs));
  }

  #getUsableServers(
    service: string,
    { mayLeave }: { readonly mayLeave: boolean },
  ): UsableServers {
    const { pool, ownership } = this.#options;
    const servers = pool.getServers(service);
    return {
      allowed: this.#excludeBurstingServers(
        mayLeave
          ? new Set(servers.map(({ id }) => id))
          : ownership.getAllowedServers(servers),
      ),
      assigned: pool.hasRemoteFlow
        ? ownership.getAssignedDataCentres(servers)
        : NO_DATA_CENTRES,
    };
  }

  /** Filters out servers on which a burst of online requests preempted items. */
  #excludeBurstingServers(servers: ReadonlySet<string>): ReadonlySet<string> {
    const nowMs = this.#options.context.clock.getMonotonicMs();
    return new Set(
      [...servers].filter((server) =>
        this.#preemptionCooldown.mayStart(server, nowMs)
      ),
    );
  }

  #getRemainingMs(queued: QueuedJob, item: JobItem): number {
    const { job, progress } = queued;
    const lastEvent =
      this.#progress.tryGet(this.#queue.getKey(queued, item))?.last ??
        progress.get(item.id)?.last ?? 0;
    return this.#runTimeEstimator.getRemainingMs(job.route, lastEvent);
  }

  /** Starts an item; returns false if its service has no free slot. */
  #tryStart(
    candidate: ItemCandidate,
    placement: ItemPlacement & Pick<PermitRequest, "softwareVersion">,
  ): boolean {
    const { queued, item, key } = candidate;
    const { pool, context, promptPartGuard } = this.#options;
    const { clock } = context;
    const abortController = new AbortController();
    const requestAbort = new AbortController();
    // The request is aborted one turn of the event loop later, so that an answer
    // which has already arrived is read and counted.
    abortController.signal.addEventListener(
      "abort",
      () => clock.startTimer(0, () => requestAbort.abort()),
    );
    const permit = pool.tryAcquire({
      ...placement,
      kind: LoadKind.batch,
      prefix: this.#queue.getPrefix(queued, item),
      slack: getSlack(candidate, clock.getWallMs()),
      excluded: new Set(),
      organisation: queued.job.organisation,
      cost: Math.max(1, Number(item.tokens)),
      need: createItemNeed(candidate, clock.getWallMs(), placement.assigned),
      onSilent: () => abortController.abort(StopReason.silent),
    });
    if (permit === undefined) return false;
    this.#versionWaits.delete(key);
    const promptParts = this.#queue.getPromptParts(
      queued,
      item,
      placement.service,
    );
    promptPartGuard.recordStart(promptParts);
    const getRemainingMs = () => this.#getRemainingMs(queued, item);
    this.#lastRun += 1;
    const run: ActiveRun = {
      job: queued.job.id,
      item: item.id,
      server: permit.server.id,
      number: this.#lastRun,
      abortController,
      startedMs: clock.getMonotonicMs(),
      priority: candidate.priority,
      dueMs: candidate.dueMs,
      urgentFromMs: candidate.urgentFromMs,
      // A getter, because the remaining time decreases while the item runs.
      get remainingMs() {
        return getRemainingMs();
      },
    };
    this.#activeRuns.add(key, run);
    const sliceTimer = clock.startTimer(
      getTimeSliceMs(permit.server),
      () => abortController.abort(StopReason.sliceOver),
    );
    this.#run(candidate, {
      permit,
      run,
      promptParts,
      signal: requestAbort.signal,
    }).catch((error) =>
      context.log.error("item_run_failed", {
        job: queued.job.id,
        item: item.id,
        reason: getReason(error),
      })
    ).finally(() => {
      sliceTimer.cancel();
      permit.release();
      this.#activeRuns.delete(key);
    });
    return true;
  }

  async #run(
    { queued, item }: ItemCandidate,
    { permit, run, promptParts, signal }: {
      permit: ServerPermit;
      run: ActiveRun;
      promptParts: readonly string[];
      signal: AbortSignal;
    },
  ): Promise<void> {
    const { crashDetector, promptPartGuard } = this.#options;
    const progress = this.#progress.getOrCreate(queued, item);
    progress.startAt(permit.server.softwareVersion);
    progress.startRun(run.number);
    this.#options.context.log.info("item_started", {
      job: run.job,
      item: run.item,
      run: run.number,
      server: run.server,
      version: permit.server.softwareVersion,
      chain: String(progress.chain),
      after_event: progress.last ?? 0,
      failures: queued.failures.get(run.item) ?? 0,
      applied: this.#options.getAppliedIndex(),
      busy: permit.server.busy,
      slots: permit.server.slots,
      ...describeSpeed(permit.server),
      due_in_ms: Math.round(
        run.dueMs - this.#options.context.clock.getWallMs(),
      ),
    });
    const startEvent = progress.last ?? 0;
    const request = createItemRequest(
      queued.job.host,
      item,
      this.#options.dialects.backend,
      this.#getIdentity(queued.job, item),
    );
    let hasBegun = false;
    const outcome = await runItemAttempt({
      backendClient: this.#options.backendClient,
      request,
      permit,
      timeoutMs: Math.min(
        this.#getTimeToExpiryMs(queued),
        getTimeSliceMs(permit.server) + TIME_SLICE_MARGIN_MS,
      ),
      progress,
      signal,
      isReplaced: () => {
        const { servers } = this.#options.view;
        return servers.tryGetOtherVersion(permit.server) !== undefined;
      },
      onBegin: () => {
        hasBegun = true;
        promptPartGuard.recordAnswerBegun(promptParts);
      },
    });
    if (outcome.kind === "broken" && !hasBegun) {
      await crashDetector.recordConnectionLoss({
        req: request,
        server: permit.server,
        unprovenParts: promptParts,
        isOwed: true,
      });
    }
    const lastEvent = progress.last ?? 0;
    const ranMs = this.#options.context.clock.getMonotonicMs() - run.startedMs;
    this.#runTimeEstimator.recordRun(
      queued.job.route,
      lastEvent - startEvent,
      ranMs,
    );
    if (outcome.kind === "done") {
      this.#runTimeEstimator.recordItemEvents(queued.job.route, lastEvent);
    }
    this.#logEndOfRun({ run, outcome, progress, startEvent, ranMs });
    this.#outcomeHandler.handle({
      queued,
      item,
      outcome,
      server: permit.server.id,
      progress,
    });
  }

  /** Logs what a run brought, who ended it, and which run each event is from. */
  #logEndOfRun(
    { run, outcome, progress, startEvent, ranMs }: {
      readonly run: ActiveRun;
      readonly outcome: AttemptOutcome;
      readonly progress: ItemProgress;
      readonly startEvent: number;
      readonly ranMs: number;
    },
  ): void {
    const { signal } = run.abortController;
    this.#options.context.log.info("item_run_ended", {
      job: run.job,
      item: run.item,
      run: run.number,
      server: run.server,
      chain: String(progress.chain),
      ending: outcome.kind,
      ended_by: outcome.kind === "stopped" ? "host" : "server",
      // A run may be stopped while its server ends it.
      stopped_for: signal.aborted ? String(signal.reason) : "",
      reason: "reason" in outcome ? outcome.reason : "",
      asked_after: startEvent,
      last_event: progress.last ?? 0,
      lines: progress.describeEvents(),
      ran_ms: Math.round(ranMs),
    });
  }

  #getIdentity(
    { organisation, route }: SubmitJob,
    item: JobItem,
  ): ItemIdentity {
    const { routes } = this.#options.view;
    return {
      owner: organisation,
      areCallersIdentified: routes?.organisations.isEmpty === false,
      priority: item.priority ?? routes?.tryGetRoute(route)?.priority ?? 0,
    };
  }

  #getTimeToExpiryMs({ submittedMs, job }: QueuedJob): number {
    return submittedMs + job.retentionMs + CLOCK_SKEW_MARGIN_MS -
      this.#options.context.clock.getWallMs();
  }

  /** Logs the utilization of the backend servers while items are open. */
  #logUtilization(): void {
    const jobs = this.#getRunnableJobs();
    if (jobs.length === 0 || !this.#options.ownership.isRunner) return;
    const servers = this.#getServers();
    this.#options.context.log.info("items_under_way", {
      jobs: jobs.length,
      open: jobs.reduce((sum, { open }) => sum + open.size, 0),
      running: this.#activeRuns.size,
      servers: servers.length,
      slots: servers.reduce((sum, { slots }) => sum + slots, 0),
      busy: servers.reduce((sum, { busy }) => sum + busy, 0),
    });
  }

  #startRecordingProgress(): void {
    const { log } = this.#options.context;
    logRejection(this.#recordProgress(), log, "record of progress");
  }

  /** Records the output of running items that the applied state lacks. */
  async #recordProgress(): Promise<void> {
    const progress = this.#progress.getUnrecorded(
      this.#getRunnableJobs(),
      (key) => this.#recorder.hasOutcome(key),
    );
    if (progress.length === 0) return;
    this.#isRecordingProgress = true;
    try {
      await this.#options.record(create(RecordRunsSchema, { progress }));
    } catch (error) {
      this.#options.context.log.warn("progress_not_recorded", {
        items: progress.length,
        reason: getReason(error),
      });
    } finally {
      this.#isRecordingProgress = false;
    }
  }
}

function getTimeSliceMs(server: PoolServer): number {
  return server.isLimited ? LIMITED_TIME_SLICE_MS : TIME_SLICE_MS;
}
