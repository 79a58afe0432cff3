/**
 * Selects backend servers for online requests and job items. A request
 * acquires a permit before it is sent to a server, and releases it when it has
 * ended.
 */
import { LoadKind, LoadTracker, SilenceDetector } from "../membership/mod.ts";
import {
  FairShares,
  type FairWaiter,
  filterByDataCentre,
  type ServerCandidate,
  type ServerSelectionOptions,
  tryGetLeastLoaded,
  trySelectServer,
} from "../policy/mod.ts";
import type { Registration } from "../schema/mod.ts";
import type { Clock, Timer } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import type { Random } from "../sys/random.ts";
import type { RateLimitClient } from "./rate_limit_client.ts";
import { PoolSpeeds } from "./pool_speeds.ts";
import type { FlowNeed, RemoteFlow } from "./remote_flow.ts";
import type { RoutingView } from "./routing_view.ts";

/** A backend server and its current load. */
export interface PoolServer extends ServerCandidate {
  readonly address: string;
  /** Start time of the server by its own wall clock, in milliseconds. */
  readonly bornMs: bigint;
  readonly softwareVersion: string;
  /** Whether each request needs a permission, as the server named a limit. */
  readonly isLimited: boolean;
}

/** Which servers a request may use, and with which constraints. */
export interface PermitRequest {
  readonly service: string;
  readonly kind: LoadKind;
  readonly prefix: readonly string[];
  /** Ids of servers that must not be selected, such as those already tried. */
  readonly excluded: ReadonlySet<string>;
  /** Slots of each server that this request must leave free; 0 by default. */
  readonly reserve?: number;
  /** Time for which an online request has waited, in milliseconds; 0 by default. */
  readonly waitedMs?: number;
  /**
   * Set for an item: time until it is due, relative to the time that it still needs
   * on a server of usual speed.
   */
  readonly slack?: number;
  /** Ids of the servers to select from; all servers of the service by default. */
  readonly allowed?: ReadonlySet<string>;
  /** Software version that the server must have; any by default. */
  readonly softwareVersion?: string;
  /** Organisation whose share the request uses; undefined if it has none. */
  readonly organisation?: string;
  /** Cost of the request, in units of its kind; 1 by default. */
  readonly cost?: number;
  /** What it says about leaving its data centre. */
  readonly need?: FlowNeed;
  /** Called at each check that finds the selected server silent. */
  readonly onSilent?: () => void;
}

/** Permission to send one request to a server; counted in its load. */
export interface ServerPermit {
  readonly server: PoolServer;
  /** Monotonic time at which it was acquired, in milliseconds. */
  readonly startedMs: number;
  /** Service and kind of the request; absent if its times aren't compared. */
  readonly service?: string;
  readonly kind?: LoadKind;
  /** Releases the permit. Further calls have no effect. */
  release(): void;
}

/** Options of a {@linkcode ServerPool}. */
export interface ServerPoolOptions {
  readonly dataCentre: string;
  readonly view: RoutingView;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Permissions for servers with a limit; without it, limits are not kept. */
  readonly rateLimits?: RateLimitClient;
  /** Decides about other data centres; without it, all may be used. */
  readonly remoteFlow?: RemoteFlow;
  /** Called with a server that sends no data although requests wait there. */
  readonly onSuspect?: (server: string) => void;
  /** Called when a request is sent to a server that has no free slot. */
  readonly onQueued?: () => void;
}

/** Interval between checks for silent servers, in milliseconds. */
const SILENCE_CHECK_INTERVAL_MS = 100;

/** Interval at which the loads of all data centres are recorded, in milliseconds. */
const FLOW_OBSERVATION_INTERVAL_MS = 100;

/** Initial backoff after a server has fallen silent, in milliseconds. */
const SILENT_BACKOFF_MS = 2_000;

/** Initial backoff after a connection failure, in milliseconds. */
const FAILURE_BACKOFF_MS = 500;

/** Servers with a limit that are asked for one request. */
const MAX_ASKED_SERVERS = 8;

/** The backend servers that one process sends requests to, and their loads. */
export class ServerPool {
  readonly #options: ServerPoolOptions;
  readonly loads = new LoadTracker();
  readonly speeds: PoolSpeeds;
  readonly #silenceDetector = new SilenceDetector();
  /** Shares of organisations in the slots, by kind of request. */
  readonly shares: Readonly<Record<LoadKind, FairShares>> = {
    [LoadKind.online]: new FairShares(),
    [LoadKind.batch]: new FairShares(),
  };
  /** What each of them waits for; undefined if it is not a request. */
  readonly #waiters = new Map<() => void, FairWaiter | undefined>();
  /** Runs while requests are in flight. */
  #silenceCheckTimer: Timer | undefined;
  /** Runs only with a remote flow. */
  #flowTimer: Timer | undefined;
  #isClosed = false;

  constructor(options: ServerPoolOptions) {
    this.#options = options;
    this.speeds = new PoolSpeeds(this.loads.speeds, options.clock);
    options.view.onChange(() => {
      this.loads.speeds.retainOnly(options.view.servers.getAll());
      this.wakeWaiters();
    });
    if (options.remoteFlow === undefined) return;
    this.#flowTimer = options.clock.startInterval(
      FLOW_OBSERVATION_INTERVAL_MS,
      () =>
        options.remoteFlow?.observeAll(
          (service) => this.getServers(service),
          this.loads,
        ),
    );
  }

  /** Whether the use of other data centres is limited. */
  get hasRemoteFlow(): boolean {
    return this.#options.remoteFlow !== undefined;
  }

  close(): void {
    this.#isClosed = true;
    this.#silenceCheckTimer?.cancel();
    this.#flowTimer?.cancel();
  }

  #startSilenceChecks(): void {
    if (this.#isClosed) return;
    this.#silenceCheckTimer ??= this.#options.clock.startInterval(
      SILENCE_CHECK_INTERVAL_MS,
      () => {
        this.#handleSilentServers();
        if (!this.#silenceDetector.isIdle) return;
        this.#silenceCheckTimer?.cancel();
        this.#silenceCheckTimer = undefined;
      },
    );
  }

  /** Records that data arrived from a server, and resets its backoff. */
  recordActivity(server: string): void {
    this.#silenceDetector.recordData(
      server,
      this.#options.clock.getMonotonicMs(),
    );
    this.#options.view.servers.recordResponse(server);
  }

  /**
   * Backs off from silent servers and notifies the requests in progress there,
   * which are retried on other servers if that is allowed.
   */
  #handleSilentServers(): void {
    const { clock, view, log } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const { onSuspect = () => {} } = this.#options;
    this.#silenceDetector.getSuspects(nowMs).forEach(onSuspect);
    this.#silenceDetector.failSilentServers(nowMs).forEach((server) => {
      if (view.servers.isBackingOff(server, nowMs)) return;
      log.info("backend_server_silent", { server });
      view.servers.backOffSilent(server, nowMs, SILENT_BACKOFF_MS);
    });
  }

  /**
   * Returns the servers of a service that accept requests, with their loads.
   * Servers that haven't responded for a while are included only if the service
   * has no others. With `softwareVersion`, only servers of this version.
   */
  getServers(service: string, softwareVersion?: string): PoolServer[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    const usable = this.#options.view.servers.getAvailable(
      service,
      nowMs,
      softwareVersion,
    );
    const responsive = usable.filter((server) =>
      !this.#silenceDetector.isSuspect(server.id, nowMs)
    );
    const servers = responsive.length > 0 ? responsive : usable;
    const hasSpeeds = this.loads.speeds.haveFigures(servers, nowMs);
    return servers.map((registration) => {
      const server = this.#createPoolServer(registration, nowMs);
      return hasSpeeds ? this.speeds.addSpeed(server, nowMs) : server;
    });
  }

  /**
   * Free slots of the server of a service that has most of them; infinite if a server
   * has a limit, since only a request for a permit tells what it takes.
   */
  getMostFreeSlots(service: string): number {
    return Math.max(
      0,
      ...this.getServers(service).map(({ isLimited, slots, busy }) =>
        isLimited ? Infinity : slots - busy
      ),
    );
  }

  /**
   * Acquires a permit for a free slot without waiting; undefined if no slot is
   * free. At a server with a limit, only a permission that was asked for in
   * advance counts; for a request of a job, one is asked for.
   */
  tryAcquire(req: PermitRequest): ServerPermit | undefined {
    const candidates = this.#getCandidates(req);
    const permitted = this.#trySelect(
      candidates.filter((server) => this.#hasPermission(server)),
      req,
    );
    if (permitted !== undefined) {
      this.#options.rateLimits?.takePrefetched(permitted);
      return this.#createPermit(permitted, req);
    }
    if (req.kind === LoadKind.batch) this.#prefetch(candidates, req);
    const server = this.#trySelect(
      candidates.filter((candidate) => !candidate.isLimited),
      req,
    );
    return server === undefined ? undefined : this.#createPermit(server, req);
  }

  /**
   * Acquires a permit for a free slot; undefined if no slot is free. Permission is
   * asked for at servers with a limit if the others are full, and may be waited
   * for.
   */
  async acquire(
    req: PermitRequest,
    maxWaitMs: number,
  ): Promise<ServerPermit | undefined> {
    const asked = new Set<string>();
    while (asked.size < MAX_ASKED_SERVERS) {
      const server = this.#trySelectLimited(req, asked);
      if (server === undefined) break;
      asked.add(server.id);
      const isGranted = await this.#options.rateLimits?.acquire(server, {
        isBatch: false,
        maxWaitMs,
      });
      // The server may have failed or begun to leave in the meantime.
      const current = this.#getCandidates(req)
        .find(({ id, bornMs }) => id === server.id && bornMs === server.bornMs);
      if (isGranted === true && current !== undefined) {
        return this.#createPermit(current, req);
      }
    }
    return this.tryAcquire(req);
  }

  /**
   * Time until a server with a limit may take a request, in milliseconds;
   * undefined if no server for the request has one.
   */
  tryGetLimitedMs(req: PermitRequest): number | undefined {
    const waits = this.#getCandidates(req).filter((server) => server.isLimited)
      .map((server) =>
        this.#options.rateLimits?.getRefusedMs(server, false) ?? 0
      );
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  /**
   * Returns the least busy server without a limit, even if it has no free slot;
   * undefined if there is none.
   */
  tryGetLeastBusy(req: PermitRequest): PoolServer | undefined {
    const unlimited = this.#getCandidates(req)
      .filter((server) => !server.isLimited);
    return tryGetLeastLoaded(
      unlimited,
      this.#getSelection(unlimited, req, { queues: true }),
    );
  }

  /**
   * Acquires a permit for the least busy server without a limit, where the request
   * queues if no slot is free; undefined if there is none.
   */
  tryAcquireQueued(req: PermitRequest): ServerPermit | undefined {
    const server = this.tryGetLeastBusy(req);
    return server === undefined ? undefined : this.#createPermit(server, req);
  }

  /** Resolves when a slot may have become free, or after `ms` milliseconds. */
  waitForChange(ms: number, waiter?: FairWaiter): Promise<void> {
    return new Promise((resolve) => {
      const resume = () => {
        timer.cancel();
        this.#waiters.delete(resume);
        resolve();
      };
      const timer = this.#options.clock.startTimer(ms, resume);
      this.#waiters.set(resume, waiter);
    });
  }

  /**
   * Wakes all waiters, in the order in which they get slots: that in which they began
   * to wait, or by the shares of their organisations.
   */
  wakeWaiters(): void {
    this.shares[LoadKind.online].order(
      [...this.#waiters.keys()],
      (resume) => this.#waiters.get(resume),
      this.#options.clock.getMonotonicMs(),
    ).forEach((resume) => resume());
  }

  /**
   * Records that a server could not be reached or broke the connection, and
   * backs off from it.
   */
  recordFailure(server: string): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#options.view.servers.backOff(server, nowMs, FAILURE_BACKOFF_MS);
  }

  /** Records that another server responded at this server's address. */
  recordWrongServer(server: string): void {
    this.#options.view.servers.recordIdentityMismatch(server);
  }

  /** Records the number of requests that a server reported for itself. */
  recordReportedLoad(server: string, total: number): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.loads.recordServerTotal(server, total, nowMs);
  }

  #getCandidates(req: PermitRequest): PoolServer[] {
    return this.getServers(req.service, req.softwareVersion).filter((server) =>
      !req.excluded.has(server.id) && req.allowed?.has(server.id) !== false
    );
  }

  #getSelection(
    candidates: readonly PoolServer[],
    req: PermitRequest,
    { queues }: { readonly queues: boolean },
  ): ServerSelectionOptions {
    const { dataCentre, remoteFlow, random } = this.#options;
    const remote = remoteFlow?.getUsable({
      ...req,
      reserve: req.reserve ?? 0,
      getServers: () => this.getServers(req.service),
      getAllCandidates: () => this.#getCandidates(req),
      candidates,
      queues,
    }, this.loads);
    return {
      dataCentre,
      remote,
      prefix: req.prefix,
      waited: this.speeds.getRelativeWait(req),
      slack: req.slack,
      getFraction: () => random.getFraction(),
    };
  }

  #trySelect(
    candidates: readonly PoolServer[],
    req: PermitRequest,
  ): PoolServer | undefined {
    return trySelectServer(candidates, {
      ...this.#getSelection(candidates, req, { queues: false }),
      reserve: req.reserve,
    });
  }

  #hasPermission(server: PoolServer): boolean {
    return server.isLimited &&
      this.#options.rateLimits?.hasPrefetched(server) === true;
  }

  /**
   * Selects a server with a limit to ask for permission; undefined if a server
   * without one has a free slot, or if no permission can be had now.
   */
  #trySelectLimited(
    req: PermitRequest,
    asked: ReadonlySet<string>,
  ): PoolServer | undefined {
    const candidates = this.#getCandidates(req);
    const unlimited = candidates.filter((server) => !server.isLimited);
    const selection = this.#getSelection(unlimited, req, { queues: false });
    const usable = filterByDataCentre(unlimited, selection);
    if (usable.some(({ busy, slots }) => busy < slots)) return undefined;
    const askable = candidates.filter((server) =>
      server.isLimited && !asked.has(server.id) &&
      this.#options.rateLimits?.mayAsk(server, false) === true
    );
    return this.#trySelect(askable, req);
  }

  /** Asks in advance for permission for a request of a job. */
  #prefetch(candidates: readonly PoolServer[], req: PermitRequest): void {
    const limited = candidates.filter((server) =>
      server.isLimited &&
      this.#options.rateLimits?.mayAsk(server, true) === true
    );
    const server = this.#trySelect(limited, req);
    if (server === undefined) return;
    this.#options.rateLimits?.prefetchBatch(server, () => this.wakeWaiters());
  }

  #createPoolServer(registration: Registration, nowMs: number): PoolServer {
    const { id, address, bornMs, softwareVersion, dataCentre, slots } =
      registration;
    const busy = this.loads.getBusyCount(id, nowMs);
    const batch = this.loads.getBatchCount(id, nowMs);
    return {
      id,
      address,
      bornMs,
      softwareVersion,
      dataCentre,
      slots,
      busy,
      batch,
      isLimited: this.#options.rateLimits?.isLimited(registration) === true,
    };
  }

  #createPermit(
    server: PoolServer,
    req: PermitRequest,
  ): ServerPermit {
    const { service, kind, organisation, cost = 1, onSilent } = req;
    const startedMs = this.#options.clock.getMonotonicMs();
    if (organisation !== undefined) {
      this.shares[kind].recordStart(organisation, cost, startedMs);
    }
    const watchedRequest = { server: server.id, onSilent };
    this.loads.begin(server.id, kind);
    this.#options.remoteFlow?.recordSend(server, req);
    if (server.busy >= server.slots) this.#options.onQueued?.();
    this.#silenceDetector.begin(watchedRequest, startedMs);
    this.#startSilenceChecks();
    let isHeld = true;
    return {
      server,
      startedMs,
      service,
      kind,
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        this.loads.end(server.id, kind);
        this.#silenceDetector.end(watchedRequest);
        this.wakeWaiters();
      },
    };
  }
}
