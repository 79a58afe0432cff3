/**
 * Places requests on backend servers: applies the routing policy, counts the
 * load that this entry causes, queues online requests fairly per caller and
 * preempts batch sequences for them.
 */
import {
  adaptSequenceTarget,
  chooseServer,
  FairQueue,
  getBatchCapacity,
} from "../../policy/mod.ts";
import type { BackendServer, FleetView } from "../../membership/mod.ts";
import { Emphasis, MessageCode, Verdict } from "../../schema/mod.ts";
import type { Clock, Timer } from "../../sys/clock.ts";
import { createAbortError, ServingError } from "../../sys/errors.ts";
import { MetricName, type Metrics } from "../../sys/metrics.ts";
import type { EntryFlow } from "./entry_flow.ts";
import {
  ActivePlacement,
  type Placement,
  type PlacementResult,
} from "./placement.ts";
import {
  canServeModel,
  getSequenceLimit,
  getServerStatus,
} from "./server_status.ts";
import type { SuspectLeases } from "./suspect_leases.ts";

/** A request that needs a backend server. */
export interface PlacementRequest {
  readonly deployment: string;
  readonly model: string;
  readonly adapter: string;
  /** Prefix of the prompt; requests that share it prefer the same server. */
  readonly affinity: string;
  readonly caller: string;
  /** Monotonic milliseconds. */
  readonly deadlineMs: number;
  /** Names of servers that are not chosen, because an attempt failed there. */
  readonly excluded: ReadonlySet<string>;
  /**
   * Whether the request was in flight when a server crashed. At most one such
   * request runs on a server at a time.
   */
  readonly isSuspect: boolean;
  readonly signal: AbortSignal;
}

interface QueuedRequest {
  readonly req: PlacementRequest;
  readonly resolve: (placement: Placement) => void;
  readonly reject: (error: ServingError) => void;
}

/** Options of a {@linkcode BackendPool}. */
export interface BackendPoolOptions {
  readonly entryId: string;
  readonly dataCentre: string;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly suspectLeases: SuspectLeases;
  /** Decides about other data centres; without it, all may be used. */
  readonly flow?: EntryFlow;
  /** Asks the owner of a server to preempt batch sequences there. */
  readonly requestPreemption: (
    owner: string,
    server: string,
    count: number,
  ) => void;
}

const TICK_MS = 100;

/** Run time that is assumed until online requests have ended, in milliseconds. */
const UNKNOWN_SERVICE_MS = 200;

const SUSPECT_RETRY_INTERVAL_MS = 50;
const MIN_SEQUENCE_TARGET = 2;

/** Ticks between two removals of expired servers and suspicions. */
const TICKS_PER_SWEEP = 10;

/** Ticks between two updates of the sequence targets. */
const TICKS_PER_ADAPTATION = 5;

/** Fraction by which the recorded peak approaches the online load per tick. */
const PEAK_DECAY_PER_TICK = 0.005;

/** Weight of earlier ticks in the smoothed completion rate. */
const RATE_DECAY = 0.9;

/**
 * Queue length below which requests are queued without an estimate of their
 * waiting time.
 */
const MIN_ESTIMATED_QUEUE_LENGTH = 8;

/** Places the requests of one entry host. */
export class BackendPool {
  readonly #options: BackendPoolOptions;
  readonly #activePlacements = new Map<string, Set<ActivePlacement>>();
  readonly #queues = new Map<string, FairQueue<QueuedRequest>>();
  /**
   * Smoothed number of online requests that end per tick while others wait, by
   * deployment. Ticks without waiting requests show the demand, which the capacity
   * is not below.
   */
  readonly #completionRates = new Map<string, number>();
  readonly #completedThisTick = new Map<string, number>();
  readonly #timer: Timer;
  #ticks = 0;

  constructor(options: BackendPoolOptions) {
    this.#options = options;
    this.#timer = options.clock.startInterval(TICK_MS, () => this.#tick());
  }

  /** Number of online and batch sequences that this entry runs. */
  get activeCount(): number {
    return [...this.#activePlacements.values()].reduce(
      (sum, set) => sum + set.size,
      0,
    );
  }

  /** Number of online requests in the queues. */
  get waitingCount(): number {
    return [...this.#queues.values()].reduce((sum, q) => sum + q.length, 0);
  }

  /**
   * Places an online request; queues it until capacity is free or its deadline
   * passes. Rejects it at once, with verdict NOT_RUN, if no server exists or
   * the estimated waiting time exceeds the deadline.
   */
  place(req: PlacementRequest): Promise<Placement> {
    if (req.isSuspect) return this.#placeSuspect(req);
    const queue = this.#getQueue(req.deployment);
    if (queue.length === 0) {
      const placed = this.#tryPlaceOnline(req);
      if (placed === "none") return Promise.reject(this.#createNoServer(req));
      if (placed !== undefined) return Promise.resolve(placed);
    }
    const rejection = this.#tryReject(req, queue.length);
    if (rejection !== undefined) return Promise.reject(rejection);
    return new Promise((resolve, reject) => {
      const queued: QueuedRequest = { req, resolve, reject };
      queue.push(req.caller, queued);
      req.signal.addEventListener("abort", () => {
        if (queue.remove(req.caller, queued)) {
          reject(createAbortError(req.signal, Verdict.NOT_RUN));
        }
      }, { once: true });
    });
  }

  /** Returns how many batch sequences this entry may add in a deployment now. */
  getBatchCapacity(deployment: string): number {
    return this.#getOwnedServers(deployment).reduce(
      (sum, server) => sum + Math.max(0, this.#getServerBatchCapacity(server)),
      0,
    );
  }

  /**
   * Places a batch item on the owned server with the most batch capacity;
   * undefined if no server has any.
   */
  tryPlaceBatch(
    req: Pick<
      PlacementRequest,
      "deployment" | "model" | "excluded" | "isSuspect"
    >,
  ): Placement | undefined {
    const nowMs = this.#options.clock.getMonotonicMs();
    const server = this.#getOwnedServers(req.deployment)
      .filter((candidate) => !req.excluded.has(candidate.name))
      .filter((candidate) =>
        nowMs >= candidate.backoffUntilMs && !candidate.isProbed
      )
      .filter((candidate) => canServeModel(candidate, req.model))
      .map((candidate) => ({
        candidate,
        capacity: this.#getServerBatchCapacity(candidate),
      }))
      .filter(({ capacity }) => capacity > 0)
      .sort((a, b) => b.capacity - a.capacity)[0]?.candidate;
    if (server === undefined) return undefined;
    if (!req.isSuspect) return this.#startPlacement(server, { isBatch: true });
    const releaseLease = this.#options.suspectLeases.tryAcquireOwned(
      server.name,
    );
    return releaseLease &&
      this.#startPlacement(server, { isBatch: true, onEnd: releaseLease });
  }

  /**
   * Preempts the most recently started batch sequences on a server; returns how
   * many.
   */
  preemptBatch(server: string, count: number): number {
    const known = this.#options.view.backends.tryGet(server);
    const rule = this.#options.view.tryGetSeparationRule(
      known?.announcement.deployment ?? "",
    );
    if (rule?.batchStays === true) return 0;
    const candidates = [...this.#activePlacements.get(server) ?? []]
      .filter((placement) => placement.isBatch && !placement.isPreempted);
    const preempted = candidates.slice(Math.max(0, candidates.length - count));
    preempted.forEach((placement) => placement.abort(true));
    this.#options.metrics.count(MetricName.batchGaveWay, preempted.length);
    return preempted.length;
  }

  /** Aborts all placements on a server that restarted or was lost. */
  abortPlacements(server: string): void {
    [...this.#activePlacements.get(server) ?? []].forEach((placement) =>
      placement.abort(false)
    );
  }

  /** Returns this entry's batch sequences by server, to report to its peers. */
  getBatchLoads(): { backendServer: string; sequences: number }[] {
    return this.#options.view.backends.getAll()
      .filter((server) => server.own.batch > 0)
      .map((server) => ({
        backendServer: server.name,
        sequences: server.own.batch,
      }));
  }

  /** Places queued requests; called when capacity may have become free. */
  serveQueues(): void {
    [...this.#queues.keys()].forEach((deployment) =>
      this.#serveQueue(deployment)
    );
  }

  /** Rejects all queued requests; running ones continue. */
  close(): void {
    this.#timer.cancel();
    this.#queues.forEach((queue) =>
      queue.getAll().forEach((queued) =>
        queued.reject(new ServingError(MessageCode.HOST_STOPPING))
      )
    );
  }

  #getQueue(deployment: string): FairQueue<QueuedRequest> {
    const known = this.#queues.get(deployment);
    if (known !== undefined) return known;
    const queue = new FairQueue<QueuedRequest>();
    this.#queues.set(deployment, queue);
    return queue;
  }

  #getServingServers(deployment: string): BackendServer[] {
    const { view, clock } = this.#options;
    return view.backends.getServing(deployment, clock.getMonotonicMs())
      .filter((server) =>
        !view.isDrained(server.name, server.announcement.host)
      );
  }

  /** Whether this entry runs the batch items on a server, or no entry does. */
  #isOwner(server: BackendServer): boolean {
    const { view, entryId } = this.#options;
    const owner = view.tryGetOwner(server.announcement);
    return owner === undefined || owner.id === entryId;
  }

  #getOwnedServers(deployment: string): BackendServer[] {
    return this.#getServingServers(deployment).filter((server) =>
      this.#isOwner(server)
    );
  }

  /** Negative if more batch sequences run on the server than are allowed. */
  #getServerBatchCapacity(server: BackendServer): number {
    const { view } = this.#options;
    const { deployment } = server.announcement;
    const rule = view.tryGetSeparationRule(deployment);
    if (rule?.batchPaused === true) return 0;
    return getBatchCapacity({
      online: server.own.online + server.others,
      onlinePeak: server.onlinePeak,
      ownBatch: server.own.batch,
      sequenceTarget: server.sequenceTarget,
    }, {
      emphasis: view.tryGetDeployment(deployment)?.emphasis ??
        Emphasis.EMPHASIS_UNSPECIFIED,
      reserve: rule?.batchReserve ?? 0,
    });
  }

  /**
   * Places a request that was in flight when a server crashed. At most one such
   * request runs on a server at any time, so that a second crash can be
   * attributed to it.
   */
  async #placeSuspect(req: PlacementRequest): Promise<Placement> {
    const { clock, suspectLeases } = this.#options;
    while (!req.signal.aborted && clock.getMonotonicMs() < req.deadlineMs) {
      const nowMs = clock.getMonotonicMs();
      const serving = this.#getServingServers(req.deployment);
      if (serving.length === 0) throw this.#createNoServer(req);
      const healthy = serving
        .filter((server) => nowMs >= server.backoffUntilMs && !server.isProbed)
        .filter((server) => canServeModel(server, req.model))
        .sort((a, b) => a.own.online + a.others - b.own.online - b.others);
      const leaseMs = req.deadlineMs - nowMs;
      for (const server of healthy) {
        const releaseLease = await suspectLeases.tryAcquire(server, leaseMs);
        if (releaseLease !== undefined) {
          return this.#startPlacement(server, {
            isBatch: false,
            onEnd: releaseLease,
          });
        }
      }
      await clock.delay(SUSPECT_RETRY_INTERVAL_MS);
    }
    throw createAbortError(req.signal, Verdict.NOT_RUN);
  }

  #tryPlaceOnline(req: PlacementRequest): Placement | "none" | undefined {
    const { clock, dataCentre, entryId, view, requestPreemption } =
      this.#options;
    const servers = this.#getServingServers(req.deployment);
    const statuses = servers.map((server) => getServerStatus(server));
    const decision = this.#options.flow?.choose(statuses, {
      ...req,
      dataCentre,
      ...this.#getOwnLoad(req.deployment, servers),
    }) ?? chooseServer(
      statuses,
      { ...req, dataCentre },
      clock.getMonotonicMs(),
    );
    if (decision.kind !== "server") {
      return decision.kind === "none" ? "none" : undefined;
    }
    const server = view.backends.tryGet(decision.name);
    if (server === undefined) return undefined;
    const preempted = this.preemptBatch(server.name, decision.preemptCount);
    const remaining = Math.min(
      decision.preemptCount - preempted,
      server.othersBatch,
    );
    const owner = view.tryGetOwner(server.announcement);
    if (remaining > 0 && owner !== undefined && owner.id !== entryId) {
      server.othersBatch -= remaining;
      requestPreemption(owner.id, server.name, remaining);
    }
    return this.#startPlacement(server, { isBatch: false });
  }

  /** Own online sequences, and how long they run by the rate at which they end. */
  #getOwnLoad(
    deployment: string,
    servers: readonly BackendServer[],
  ): { own: number; serviceMs: number } {
    const own = servers.reduce((sum, server) => sum + server.own.online, 0);
    const rate = this.#completionRates.get(deployment) ?? 0;
    const serviceMs = rate > 0 ? own / rate * TICK_MS : UNKNOWN_SERVICE_MS;
    return { own, serviceMs };
  }

  /** Online requests that end per tick; assumed until it has been measured. */
  #getCompletionRate(deployment: string): number {
    const measured = this.#completionRates.get(deployment);
    if (measured !== undefined) return measured;
    const servers = this.#getServingServers(deployment);
    const { own, serviceMs } = this.#getOwnLoad(deployment, servers);
    return own / serviceMs * TICK_MS;
  }

  #observeFlow(): void {
    const { flow } = this.#options;
    flow?.deployments.forEach((deployment) =>
      flow.observe(
        deployment,
        this.#getServingServers(deployment)
          .map((server) => getServerStatus(server)),
      )
    );
  }

  #startPlacement(
    server: BackendServer,
    options: { isBatch: boolean; onEnd?: () => void },
  ): Placement {
    const isProbe = server.failures > 0;
    if (isProbe) server.isProbed = true;
    if (options.isBatch) server.own.batch += 1;
    else server.own.online += 1;
    const placement = new ActivePlacement({
      server,
      isBatch: options.isBatch,
      isProbe,
      onRelease: (released, result) => {
        options.onEnd?.();
        this.#finishPlacement(released, result);
      },
    });
    const active = this.#activePlacements.get(server.name) ?? new Set();
    active.add(placement);
    this.#activePlacements.set(server.name, active);
    return placement;
  }

  #finishPlacement(placement: ActivePlacement, result: PlacementResult): void {
    const { server } = placement;
    const { backends } = this.#options.view;
    const { deployment } = server.announcement;
    this.#activePlacements.get(server.name)?.delete(placement);
    if (placement.isBatch) server.own.batch -= 1;
    else {
      server.own.online -= 1;
      this.#completedThisTick.set(
        deployment,
        (this.#completedThisTick.get(deployment) ?? 0) + 1,
      );
    }
    const isCurrent = server.announcement.incarnation === placement.incarnation;
    if (result.isServerFailure && isCurrent) {
      backends.recordFailure(server.name, this.#options.clock.getMonotonicMs());
    } else if (!result.isServerFailure) backends.recordSuccess(server.name);
    else if (placement.isProbe) server.isProbed = false;
    this.#serveQueue(deployment);
  }

  #serveQueue(deployment: string): void {
    const queue = this.#getQueue(deployment);
    let queued = queue.tryPeek();
    while (queued !== undefined) {
      const placed = this.#tryPlaceOnline(queued.req);
      if (placed === undefined) return;
      queue.tryShift();
      if (placed === "none") queued.reject(this.#createNoServer(queued.req));
      else queued.resolve(placed);
      queued = queue.tryPeek();
    }
  }

  #tryReject(
    req: PlacementRequest,
    queueLength: number,
  ): ServingError | undefined {
    const remainingMs = req.deadlineMs - this.#options.clock.getMonotonicMs();
    if (remainingMs <= 0) return new ServingError(MessageCode.DEADLINE_PASSED);
    const rate = this.#getCompletionRate(req.deployment);
    if (queueLength < MIN_ESTIMATED_QUEUE_LENGTH) return undefined;
    const waitMs = rate > 0 ? (queueLength + 1) / rate * TICK_MS : Infinity;
    if (waitMs <= remainingMs) return undefined;
    this.#options.metrics.count(MetricName.refusals);
    return new ServingError(MessageCode.OVERLOADED, {
      verdict: Verdict.NOT_RUN,
      parameters: { reason: `${queueLength} requests wait already` },
      retryAfterS: 1,
    });
  }

  #createNoServer(req: PlacementRequest): ServingError {
    return new ServingError(MessageCode.NO_BACKEND_SERVER, {
      verdict: Verdict.NOT_RUN,
      parameters: { workload: req.deployment },
      retryAfterS: 1,
    });
  }

  #tick(): void {
    const { view, clock } = this.#options;
    const nowMs = clock.getMonotonicMs();
    this.#ticks += 1;
    this.#rejectExpired(nowMs);
    this.#updateCompletionRates();
    view.backends.tick(nowMs);
    view.backends.sampleOwnLoads();
    view.backends.getAll().forEach((server) => this.#updateServer(server));
    if (this.#ticks % TICKS_PER_SWEEP === 0) {
      view.suspicions.removeExpired(nowMs);
      view.backends.removeExpired(nowMs)
        .forEach((server) => this.abortPlacements(server.name));
    }
    this.#observeFlow();
    this.serveQueues();
  }

  #rejectExpired(nowMs: number): void {
    this.#queues.forEach((queue) =>
      queue.getAll().filter((queued) => nowMs >= queued.req.deadlineMs)
        .filter((queued) => queue.remove(queued.req.caller, queued))
        .forEach((queued) =>
          queued.reject(new ServingError(MessageCode.DEADLINE_PASSED))
        )
    );
  }

  #updateCompletionRates(): void {
    this.#queues.forEach((queue, deployment) => {
      const completed = this.#completedThisTick.get(deployment) ?? 0;
      const measured = this.#completionRates.get(deployment) ?? Infinity;
      if (queue.length === 0 && completed <= measured) return;
      const rate = this.#getCompletionRate(deployment);
      this.#completionRates.set(
        deployment,
        rate * RATE_DECAY + completed * (1 - RATE_DECAY),
      );
    });
    this.#completedThisTick.clear();
  }

  #updateServer(server: BackendServer): void {
    const online = server.own.online + server.others - server.othersBatch;
    server.onlinePeak = Math.max(
      online,
      server.onlinePeak - (server.onlinePeak - online) * PEAK_DECAY_PER_TICK,
    );
    if (this.#ticks % TICKS_PER_ADAPTATION === 0) {
      this.#adaptSequenceTarget(server);
    }
    const room = this.#getServerBatchCapacity(server);
    if (room < 0 && server.own.batch > 0) this.preemptBatch(server.name, -room);
  }

  #adaptSequenceTarget(server: BackendServer): void {
    const deployment = this.#options.view.tryGetDeployment(
      server.announcement.deployment,
    );
    server.sequenceTarget = adaptSequenceTarget(server.sequenceTarget, {
      gapMs: server.tokenGap.estimate || server.announcement.tokenGapMs,
      sequences: server.own.online + server.own.batch + server.others,
    }, {
      gapTargetMs: deployment?.tokenGapTargetMs ?? 0,
      minimum: MIN_SEQUENCE_TARGET,
      maximum: deployment?.sequenceLimit || getSequenceLimit(server),
    });
  }
}
