/**
 * Backend servers with room, for requests of callers and of jobs alike. A
 * request takes a place before it is sent and gives it back when it has ended.
 */
import {
  type LoadKind,
  LoadTracker,
  SilenceDetector,
} from "../membership/mod.ts";
import {
  type ServerCandidate,
  tryGetLeastLoaded,
  trySelectServer,
} from "../policy/mod.ts";
import type { Registration } from "../schema/mod.ts";
import type { Clock, Timer } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import type { Random } from "../sys/random.ts";
import type { RoutingView } from "./routing_view.ts";

/** A backend server and how busy it is. */
export interface PoolServer extends ServerCandidate {
  readonly address: string;
}

/** What a request asks of the pool. */
export interface PermitRequest {
  readonly service: string;
  readonly kind: LoadKind;
  readonly prefix: readonly string[];
  /** Servers that the request has been to. */
  readonly excluded: ReadonlySet<string>;
  /** Slots that it must leave free. */
  readonly reserve?: number;
  /** Servers to choose from; all of the service without. */
  readonly allowed?: ReadonlySet<string>;
  /** Called once when the server it went to has fallen silent. */
  readonly onSilent?: () => void;
}

/** A place at a server. */
export interface ServerPermit {
  readonly server: PoolServer;
  /** Gives the place back; again does nothing. */
  release(): void;
}

/** How a {@linkcode ServerPool} is made. */
export interface ServerPoolOptions {
  readonly dataCentre: string;
  readonly view: RoutingView;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Called when a request goes to a server without a free slot. */
  readonly onQueued?: () => void;
}

/** Time between two looks for silent servers, in milliseconds. */
const SILENCE_CHECK_INTERVAL_MS = 100;

/** Time for which a silent server is left alone, in milliseconds. */
const SILENT_BACKOFF_MS = 2_000;

/** Time for which a server is left alone after it could not be reached. */
const FAILURE_BACKOFF_MS = 500;

/** The pool of one process. */
export class ServerPool {
  readonly #options: ServerPoolOptions;
  readonly loads = new LoadTracker();
  readonly #silenceWatch = new SilenceDetector();
  readonly #waiters = new Set<() => void>();
  readonly #timer: Timer;

  constructor(options: ServerPoolOptions) {
    this.#options = options;
    options.view.onChange(() => this.wakeWaiters());
    this.#timer = options.clock.startInterval(
      SILENCE_CHECK_INTERVAL_MS,
      () => this.#handleSilentServers(),
    );
  }

  close(): void {
    this.#timer.cancel();
  }

  /** Something arrived from a server. */
  recordActivity(server: string): void {
    this.#silenceWatch.recordHeard(
      server,
      this.#options.clock.getMonotonicMs(),
    );
    this.#options.view.servers.recordResponse(server);
  }

  /** Servers that say nothing lose the requests that may run elsewhere. */
  #handleSilentServers(): void {
    const { clock, view, log } = this.#options;
    const nowMs = clock.getMonotonicMs();
    this.#silenceWatch.failSilentServers(nowMs).forEach((server) => {
      if (view.servers.isBackingOff(server, nowMs)) return;
      log.info("backend_server_silent", { server });
      view.servers.backOffSilent(server, nowMs, SILENT_BACKOFF_MS);
    });
  }

  /** All servers of a service that take requests, with their loads. */
  getServers(service: string): PoolServer[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    const usable = this.#options.view.servers.getAvailable(service, nowMs);
    const responsive = usable.filter((one) =>
      !this.#silenceWatch.isSuspect(one.id, nowMs)
    );
    return (responsive.length > 0 ? responsive : usable)
      .map((one) => this.#createPoolServer(one, nowMs));
  }

  /** A place on a free slot; undefined when there is none. */
  tryAcquire(req: PermitRequest): ServerPermit | undefined {
    const server = trySelectServer(this.#getCandidates(req), {
      dataCentre: this.#options.dataCentre,
      prefix: req.prefix,
      reserve: req.reserve,
      getFraction: () => this.#options.random.getFraction(),
    });
    return server === undefined ? undefined : this.#createPermit(server, req);
  }

  /** The least busy server, full or not; undefined when there is none. */
  tryGetLeastBusy(req: PermitRequest): PoolServer | undefined {
    return tryGetLeastLoaded(this.#getCandidates(req), {
      dataCentre: this.#options.dataCentre,
      prefix: req.prefix,
      getFraction: () => this.#options.random.getFraction(),
    });
  }

  /** A place in the queue of the least busy server. */
  tryAcquireQueued(req: PermitRequest): ServerPermit | undefined {
    const server = this.tryGetLeastBusy(req);
    return server === undefined ? undefined : this.#createPermit(server, req);
  }

  /** Resolves when a place may have become free, or after `ms`. */
  waitForChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const resume = () => {
        timer.cancel();
        this.#waiters.delete(resume);
        resolve();
      };
      const timer = this.#options.clock.startTimer(ms, resume);
      this.#waiters.add(resume);
    });
  }

  /** Lets those that wait look again, the longest waiting first. */
  wakeWaiters(): void {
    [...this.#waiters].forEach((waiter) => waiter());
  }

  /** A server could not be reached or broke off. */
  recordFailure(server: string): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#options.view.servers.backOff(server, nowMs, FAILURE_BACKOFF_MS);
  }

  /** Another server answered at a server's address. */
  recordWrongServer(server: string): void {
    this.#options.view.servers.recordIdentityMismatch(server);
  }

  /** A server said how many requests it has. */
  recordReportedLoad(server: string, total: number): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.loads.observe(server, total, nowMs);
  }

  #getCandidates(req: PermitRequest): PoolServer[] {
    return this.getServers(req.service).filter((server) =>
      !req.excluded.has(server.id) && req.allowed?.has(server.id) !== false
    );
  }

  #createPoolServer(registration: Registration, nowMs: number): PoolServer {
    const { id, address, dataCentre, slots } = registration;
    const busy = this.loads.getBusy(id, nowMs);
    const batch = this.loads.getBatch(id, nowMs);
    return { id, address, dataCentre, slots, busy, batch };
  }

  #createPermit(
    server: PoolServer,
    { kind, onSilent }: PermitRequest,
  ): ServerPermit {
    const watchedRequest = { server: server.id, onSilent };
    this.loads.begin(server.id, kind);
    if (server.busy >= server.slots) this.#options.onQueued?.();
    this.#silenceWatch.begin(
      watchedRequest,
      this.#options.clock.getMonotonicMs(),
    );
    let isHeld = true;
    return {
      server,
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        this.loads.end(server.id, kind);
        this.#silenceWatch.end(watchedRequest);
        this.wakeWaiters();
      },
    };
  }
}
