/**
 * A gateway accepts callers' requests, relays online requests to backend servers
 * and forwards jobs to the store. It has no durable state.
 */
import {
  type AccessDecision,
  getJobCaller,
  type JobCaller,
  selectTarget,
  stripQuery,
} from "../policy/mod.ts";
import {
  type FleetSettings,
  HostRole,
  MessageCode,
  RequestKind,
  type Route,
  Verdict,
} from "../schema/mod.ts";
import { BoundedLog } from "../services/common/bounded_log.ts";
import { createCallerGuard } from "../services/common/caller_faults.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import { StopPeriod } from "../services/common/stop_period.ts";
import { StateClient } from "../services/common/state_client.ts";
import type { CallerGuard } from "../sys/caller_guard.ts";
import { asServingError, getCodeName, ServingError } from "../sys/errors.ts";
import {
  type HttpHandler,
  type HttpListener,
  type IncomingMessage,
  listenHttp,
  type ListenOptions,
  readBody,
  type ServerResponse,
} from "../sys/http.ts";
import { countJsonValues } from "../sys/json_values.ts";
import { openPort } from "../sys/listening.ts";
import { MetricName, type OperatorPage } from "../sys/metrics.ts";
import {
  acquireForCaller,
  hasLargeRest,
  ignoreBody,
  releaseForCaller,
  tryAcquireForCaller,
} from "../sys/request_body.ts";
import { createCredentials } from "../sys/rpc.ts";
import { logRejection } from "../sys/unexpected_errors.ts";
import { BackendAccess } from "./backend_access.ts";
import { CallerAccess } from "./caller_access.ts";
import { CallerResponse } from "./caller_response.ts";
import { CrashDetector } from "./crash_detector.ts";
import type {
  BackendDialect,
  CallerDialect,
  JobRequest,
  LocalResponse,
} from "./dialects.ts";
import {
  GatewayRelay,
  IDENTIFIED_ROUTES_VERSION_HEADER,
  NOT_RELAYED_HEADER,
  readRoutesVersion,
  ROUTES_VERSION_HEADER,
} from "./gateway_relay.ts";
import { JobClient, MAX_JOB_CALL_MS } from "./job_client.ts";
import { MIN_PAGE_BYTES, PageReads } from "./page_reads.ts";
import {
  getDeadlineMs,
  OnlineRelay,
  type OnlineRequest,
} from "./online_relay.ts";
import {
  OnlyVersionFinder,
  RpcSoftwareVersionsClient,
} from "./only_version_finder.ts";
import { OrganisationLimits } from "./organisation_limits.ts";
import { RpcTokenCaller } from "./organisation_rate_channel.ts";
import { OrganisationRateClient } from "./organisation_rate_client.ts";
import { PLACEMENT_PATH } from "./placement.ts";
import { PlacementPreview } from "./placement_preview.ts";
import { createRemoteByteCounter } from "./remote_bytes.ts";
import { ServiceTimes } from "./service_times.ts";
import { getBindAddress } from "./state_process.ts";
import {
  RpcStreamOriginsClient,
  StreamOriginFinder,
} from "./stream_origin_finder.ts";

/** Maximum body size if the route table sets no limit, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 1 << 20;

/**
 * Time after a stop signal for which new connections are still accepted, in
 * milliseconds. The load balancer checks readiness every second and stops
 * sending callers after two failed checks.
 */
const PRE_DRAIN_DELAY_MS = 2_600;

/**
 * Retry-After while the routes aren't known, in seconds. A gateway that has just
 * started receives them within this time.
 */
const NO_ROUTES_RETRY_AFTER_S = 1;

/** Time reserved for exiting after the last response, in milliseconds. */
const EXIT_MARGIN_MS = 300;

/**
 * Time for which the responses to requests that are given up at the end of the
 * grace period may take to be sent, in milliseconds.
 */
const GIVE_UP_MS = 100;

/** Copies of a job's body that exist while it is decoded and submitted. */
const JOB_COPIES = 3;

/** Bytes that a value of JSON takes beside its text once it is parsed. */
const JSON_VALUE_BYTES = 128;

/** Bytes that are acquired before the body of an item is read from a store host. */
const ITEM_BODY_BYTES = 1 << 20;

/** Interval between checks for open requests while stopping, in milliseconds. */
const DRAIN_POLL_MS = 50;

/**
 * Response to a gateway that passed a request on to one that stops and can't be sure
 * to answer it in time.
 */
const STOPPING: LocalResponse = {
  status: 503,
  headers: [NOT_RELAYED_HEADER, "it is stopping"],
  body: "",
};

/** Response to a gateway that passed a request on and goes by newer routes. */
const ROUTES_TOO_OLD: LocalResponse = {
  status: 503,
  headers: [NOT_RELAYED_HEADER, "its routes are older"],
  body: "",
};

/** Runs a gateway in this process. */
export class GatewayHost {
  /** Pages for operators, on the metrics address. */
  readonly pages: ReadonlyMap<string, OperatorPage>;
  readonly #settings: FleetSettings;
  readonly #context: ProcessContext;
  readonly #dialect: CallerDialect;
  readonly #callerGuard: CallerGuard;
  readonly #refusalLog: BoundedLog;
  readonly #backends: BackendAccess;
  readonly #relay: OnlineRelay;
  readonly #state: StateClient;
  readonly #jobs: JobClient;
  readonly #streamOrigins: RpcStreamOriginsClient;
  readonly #softwareVersions: RpcSoftwareVersionsClient;
  readonly #gatewayRelay: GatewayRelay;
  readonly #access: CallerAccess;
  readonly #organisationRates: OrganisationRateClient;
  readonly #limits: OrganisationLimits;
  readonly #pageReads = new PageReads();
  #listener: HttpListener | undefined;
  #readyListener: HttpListener | undefined;
  /** Accepts requests of gateways that reach no server. */
  #relayListener: HttpListener | undefined;
  readonly #openResponses = new Set<CallerResponse>();
  #stopping = false;
  readonly #stopPeriod = new StopPeriod();

  constructor(
    settings: FleetSettings,
    context: ProcessContext,
    dialects: { caller: CallerDialect; backend: BackendDialect },
  ) {
    this.#settings = settings;
    this.#context = context;
    this.#dialect = dialects.caller;
    this.#refusalLog = new BoundedLog(context);
    this.#callerGuard = context.callerGuard ??
      createCallerGuard(context, settings);
    const { clock, log, random, metrics } = context;
    const credentials = createCredentials(undefined, context.isPartitioned);
    const backends = new BackendAccess({
      settings,
      context,
      credentials,
      dialect: dialects.backend,
      upgradeRoutes: (table) => dialects.caller.upgradeRouteTable(table),
      isMerger: false,
      onReport: () => backends.pool.wakeWaiters(),
      acceptsRelayed: () => this.isReady && !backends.reachability.isCutOff,
    });
    this.#backends = backends;
    this.#access = new CallerAccess({
      view: backends.view,
      settings,
      dialects,
      ownHeaders: [ROUTES_VERSION_HEADER, IDENTIFIED_ROUTES_VERSION_HEADER],
      metrics,
    });
    this.#organisationRates = new OrganisationRateClient({
      name: settings.id,
      getRoutesVersion: () => backends.view.routesVersion,
      getGranters: () => backends.view.getStoreAddresses(),
      caller: new RpcTokenCaller(credentials),
      clock,
      random,
      log,
      metrics,
    });
    backends.view.onChange(() => {
      const { organisations = [] } = backends.view.routes?.table ?? {};
      const hasLimits = organisations.some(({ ratePerS }) => ratePerS > 0);
      if (hasLimits) this.#organisationRates.connect();
    });
    this.#limits = new OrganisationLimits({
      client: this.#organisationRates,
      clock,
    });
    const streamOrigins = new RpcStreamOriginsClient(credentials);
    this.#streamOrigins = streamOrigins;
    const originFinder = new StreamOriginFinder({
      getMergers: () => backends.view.getStoreAddresses(),
      query: (address, request) => streamOrigins.query(address, request),
      report: (origin) => backends.reportOrigin(origin),
      clock,
      log,
    });
    backends.view.onServerChange((registration, isStart) => {
      if (isStart) originFinder.recordStart(registration);
    });
    const softwareVersions = new RpcSoftwareVersionsClient(credentials);
    this.#softwareVersions = softwareVersions;
    this.#gatewayRelay = new GatewayRelay({
      name: settings.id,
      dataCentre: settings.dataCentre,
      getMergers: () => backends.view.getStoreAddresses(),
      getRoutesVersion: () => backends.view.routesVersion,
      dialect: dialects.backend,
      credentials,
      onBytes: createRemoteByteCounter(settings.dataCentre, metrics),
      clock,
      random,
      log,
    });
    const serviceTimes = new ServiceTimes();
    const placement = new PlacementPreview({
      dataCentre: settings.dataCentre,
      view: backends.view,
      pool: backends.pool,
      remoteFlow: backends.remoteFlow,
      serviceTimes,
      metrics,
    });
    this.pages = new Map([
      [PLACEMENT_PATH, (query) => placement.answer(query)],
    ]);
    this.#relay = new OnlineRelay({
      view: backends.view,
      pool: backends.pool,
      backendClient: backends.backendClient,
      crashDetector: new CrashDetector({
        view: backends.view,
        onSuspicionChange: (suspicion) =>
          backends.follower.reportSuspicion(suspicion),
        promptPartGuard: backends.promptPartGuard,
        clock,
        log,
        metrics,
      }),
      promptPartGuard: backends.promptPartGuard,
      reachability: backends.reachability,
      gatewayRelay: this.#gatewayRelay,
      streamOrigins: originFinder,
      onlyVersions: new OnlyVersionFinder({
        getHosts: () => backends.view.hosts,
        query: (address, service) => softwareVersions.query(address, service),
        log,
      }),
      repeatOrigins: () => backends.repeatOrigins(),
      maxAnswerBytes: settings.maxAnswerBytes ?? Infinity,
      dialect: this.#dialect,
      serviceTimes,
      clock,
      random,
      log,
      metrics,
    });
    this.#state = new StateClient({
      getAddresses: () => backends.view.getAddresses(HostRole.STORE),
      credentials,
      clock,
    });
    this.#jobs = new JobClient(this.#state);
  }

  /** Whether the load balancer may send callers to this gateway. */
  get isReady(): boolean {
    return !this.#stopping && this.#backends.view.routes !== undefined;
  }

  async start(): Promise<void> {
    await this.#backends.start();
    this.#readyListener = await this.#listen(
      this.#settings.readyListen ?? "",
      (_, res) => {
        res.writeHead(this.isReady ? 200 : 503).end();
      },
    );
    this.#relayListener = await this.#listen(
      getBindAddress(this.#settings),
      (req, res) => this.#serve(req, res, { isRelayed: true }),
    );
    this.#listener = await this.#listen(
      this.#settings.listen ?? "",
      (req, res) => this.#serve(req, res, { isRelayed: false }),
      { getBounds: () => this.#backends.view.routes?.table.bounds },
    );
  }

  #listen(
    address: string,
    handler: HttpHandler,
    options: ListenOptions = {},
  ): Promise<HttpListener> {
    const guarded = { ...options, guard: this.#callerGuard };
    return openPort(
      () => listenHttp(address, handler, guarded),
      this.#context,
    );
  }

  /** Replaces the initial addresses of control hosts. */
  setSeeds(seeds: readonly string[]): void {
    this.#backends.follower.setSeeds(seeds);
  }

  /**
   * Stops without aborting requests: reports that it isn't ready, stops accepting
   * connections after a delay, and waits for open requests to finish. From then on
   * it refuses requests that need not end within the grace period. Those that are
   * still open at its end get an answer if none has begun, and are reset otherwise.
   */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    const { clock, log } = this.#context;
    const endMs = clock.getMonotonicMs() + (this.#settings.graceMs ?? 0) -
      EXIT_MARGIN_MS;
    log.info("stopping", { open: this.#openResponses.size });
    this.#openResponses.forEach((response) => response.closeWhenSent());
    await clock.delay(PRE_DRAIN_DELAY_MS);
    this.#stopPeriod.begin(endMs);
    const drained = this.#listener?.drain() ?? Promise.resolve();
    const remainingMs = Math.max(0, endMs - clock.getMonotonicMs());
    await Promise.race([drained, clock.delay(remainingMs)]);
    while (this.#openResponses.size > 0 && clock.getMonotonicMs() < endMs) {
      await clock.delay(DRAIN_POLL_MS);
    }
    log.info("stopped", { open: this.#openResponses.size });
    if (this.#openResponses.size > 0) {
      this.#stopPeriod.end();
      await clock.delay(GIVE_UP_MS);
    }
    this.halt();
  }

  /** Closes all connections immediately; no open response looks complete. */
  halt(): void {
    this.#stopping = true;
    this.#openResponses.forEach((response) => response.abort());
    this.#listener?.close();
    this.#readyListener?.close();
    this.#relayListener?.close();
    this.#gatewayRelay.close();
    this.#backends.close();
    this.#organisationRates.close();
    this.#streamOrigins.close();
    this.#softwareVersions.close();
    this.#state.close();
  }

  getDump(): Record<string, unknown> {
    const nowMs = this.#context.clock.getMonotonicMs();
    return {
      process: "gateway",
      id: this.#settings.id,
      dataCentre: this.#settings.dataCentre,
      ready: this.isReady,
      routesVersion: Number(this.#backends.view.routesVersion),
      open: this.#openResponses.size,
      hosts: this.#backends.view.hosts.hosts.map((host) => host.id),
      backendServers: this.#backends.view.servers.getAll().map((server) => ({
        id: server.id,
        service: server.service,
        state: server.state,
        leaving: this.#backends.view.servers.isLeaving(server),
        slots: server.slots,
        busy: this.#backends.pool.loads.getBusyCount(server.id, nowMs),
      })),
      serverSpeeds: this.#backends.pool.loads.speeds.getStates(nowMs),
      metrics: this.#context.metrics.getSums(),
    };
  }

  #serve(
    req: IncomingMessage,
    res: ServerResponse,
    origin: { readonly isRelayed: boolean },
  ): void {
    const response = new CallerResponse(res);
    if (this.#stopping) response.closeWhenSent();
    this.#openResponses.add(response);
    const served = this.#handle(req, response, origin)
      .catch((thrown) => this.#sendError(req, response, asServingError(thrown)))
      .catch((error) => {
        response.abort();
        throw error;
      })
      .finally(() => {
        this.#openResponses.delete(response);
      });
    logRejection(served, this.#context.log, "response to a caller");
  }

  #sendError(
    req: IncomingMessage,
    response: CallerResponse,
    error: ServingError,
  ): void {
    if (response.disconnected.aborted) return;
    const { requestId } = this.#dialect.readRequestMetadata(req.headers);
    this.#context.metrics.count(MetricName.ownAnswers, 1, {
      code: getCodeName(error.code),
    });
    this.#refusalLog.info("request_refused", getCodeName(error.code), {
      request: requestId,
      host: req.headers.host ?? "",
      target: req.url ?? "",
      code: getCodeName(error.code),
      verdict: Verdict[error.verdict] ?? "",
      reason: error.message,
      routes: Number(this.#backends.view.routesVersion),
    });
    if (hasLargeRest(req)) response.closeWhenSent();
    if (response.headSent) response.abort();
    else response.sendLocal(this.#dialect.createErrorResponse(error));
  }

  async #handle(
    req: IncomingMessage,
    response: CallerResponse,
    { isRelayed }: { readonly isRelayed: boolean },
  ): Promise<void> {
    const arrivedMs = this.#context.clock.getMonotonicMs();
    if (isRelayed && this.#hasOlderRoutes(req)) {
      response.sendLocal(ROUTES_TOO_OLD);
      return;
    }
    const routes = this.#backends.view.routes;
    if (routes === undefined) throw createNoRoutesError();
    const target = req.url ?? "/";
    const method = req.method ?? "GET";
    const jobRequest = this.#dialect.tryDecodeJobRequest(
      method,
      target,
      req.headers,
    );
    if (jobRequest !== undefined) {
      const caller = getJobCaller(this.#access.admitToJobs(req.headers));
      ignoreBody(req);
      this.#stopPeriod.throwIfTooLate(arrivedMs + MAX_JOB_CALL_MS);
      response.sendLocal(
        await this.#stopPeriod.waitFor(
          this.#serveJobRequest({ req, response }, jobRequest, caller),
          Verdict.MAY_HAVE_RUN,
        ),
      );
      return;
    }
    const path = stripQuery(target);
    const route = routes.tryMatch(req.headers.host ?? "", path);
    const firstDecision = this.#access.admit(req.headers, route);
    if (route === undefined) {
      throw new ServingError(MessageCode.UNKNOWN_ROUTE, {
        parameters: { path },
      });
    }
    const limited = { decision: firstDecision, route, isRelayed };
    const firstToken = await this.#limits.admit(limited);
    const limit = routes.table.bounds?.bodyBytes || DEFAULT_MAX_BODY_BYTES;
    const isJob = route.kind === RequestKind.BATCH;
    const body = await this.#stopPeriod.waitFor(
      readBody(req, limit, { copies: isJob ? JOB_COPIES : 1 }),
      Verdict.NOT_RUN,
    ).catch((error) => {
      firstToken?.giveBack();
      throw error;
    });
    // A body may arrive so slowly that the key has been removed meanwhile.
    const decision = this.#backends.view.routes === routes
      ? firstDecision
      : this.#access.admit(req.headers, route);
    if (isJob) {
      this.#stopPeriod.throwIfTooLate(
        this.#context.clock.getMonotonicMs() + MAX_JOB_CALL_MS,
      );
      const submitted = this.#submitJob(req, body, {
        route,
        routesVersion: routes.table.version,
        decision,
      });
      response.sendLocal(
        await this.#stopPeriod.waitFor(submitted, Verdict.MAY_HAVE_RUN),
      );
      return;
    }
    const token = await this.#limits.renew(firstToken, {
      ...limited,
      decision,
    });
    const online = {
      ...this.#createOnlineRequest(req, body, route, decision),
      onNotRun: token?.giveBack,
      arrivedMs,
      isRelayed,
      graceEnd: this.#stopPeriod.ended,
    };
    const deadlineMs = getDeadlineMs(online);
    if (isRelayed && this.#stopPeriod.isTooLate(deadlineMs)) {
      response.sendLocal(STOPPING);
      return;
    }
    this.#stopPeriod.throwIfTooLate(deadlineMs);
    await this.#relay.serve(online, response);
  }

  /** Whether the gateway that passed a request on goes by newer routes. */
  #hasOlderRoutes(req: IncomingMessage): boolean {
    return Number(this.#backends.view.routesVersion) <
      readRoutesVersion(req.headers);
  }

  #createOnlineRequest(
    req: IncomingMessage,
    body: Buffer,
    route: Route,
    decision: AccessDecision,
  ): Omit<OnlineRequest, "arrivedMs" | "isRelayed" | "graceEnd"> {
    const metadata = this.#dialect.readRequestMetadata(req.headers);
    const { headers, keyHeaders, ...identity } = this.#access.divideHeaders(
      req.rawHeaders,
      route,
      decision,
    );
    const fraction = this.#context.random.getFraction();
    return {
      route,
      service: selectTarget(route, fraction)?.service ?? "",
      request: {
        requestId: metadata.requestId,
        method: req.method ?? "GET",
        target: req.url ?? "/",
        headers,
        body,
        ...identity,
      },
      ...identity,
      keyHeaders,
      prefix: metadata.prefix,
      resumeAfter: metadata.resumeAfter,
      resumedRequest: metadata.resumedRequest,
      timeoutMs: metadata.timeoutMs,
    };
  }

  async #submitJob(
    req: IncomingMessage,
    body: Buffer,
    { route, routesVersion, decision }: {
      readonly route: Route;
      readonly routesVersion: bigint;
      readonly decision: AccessDecision;
    },
  ): Promise<LocalResponse> {
    await acquireForCaller(req, countJsonValues(body) * JSON_VALUE_BYTES);
    const job = this.#dialect.decodeJob(body, req.headers, route);
    job.routesVersion = routesVersion;
    this.#access.assignJob(job, route, decision);
    await this.#jobs.submit(job);
    this.#context.log.info("job_accepted", {
      job: job.id,
      route: route.name,
      items: job.items.length,
    });
    return { status: 202, headers: [], body: "" };
  }

  async #readResults(
    { req, response }: { req: IncomingMessage; response: CallerResponse },
    { job, after, waitMs }: Extract<JobRequest, { kind: "results" }>,
    caller: JobCaller,
  ): Promise<LocalResponse> {
    const share = this.#pageReads.open();
    response.whenClosed(() => this.#pageReads.close());
    // Before the page is asked for: a request that waits for room holds none.
    const hasRoom = tryAcquireForCaller(req, share);
    const maxBytes = hasRoom ? share : MIN_PAGE_BYTES;
    if (!hasRoom) await acquireForCaller(req, maxBytes);
    const page = this.#dialect.createJobPage(
      await this.#jobs.readResults(job, after, { waitMs, maxBytes }, caller),
    );
    const unused = maxBytes - page.body.length;
    if (unused > 0) releaseForCaller(req, unused);
    else await acquireForCaller(req, -unused);
    return page;
  }

  async #serveJobRequest(
    { req, response }: { req: IncomingMessage; response: CallerResponse },
    jobRequest: JobRequest,
    caller: JobCaller,
  ): Promise<LocalResponse> {
    switch (jobRequest.kind) {
      case "results":
        return await this.#readResults({ req, response }, jobRequest, caller);
      case "body":
        await acquireForCaller(req, ITEM_BODY_BYTES);
        return {
          status: 200,
          headers: ["Content-Type", "application/octet-stream"],
          body: await this.#jobs.readBody(
            jobRequest.job,
            jobRequest.item,
            caller,
            response.disconnected,
          ),
        };
      case "end":
        await this.#jobs.end(
          jobRequest.job,
          caller,
          req.socket.remoteAddress ?? "",
        );
        this.#context.log.info("job_ended", { job: jobRequest.job });
        return { status: 200, headers: [], body: "" };
    }
  }
}

function createNoRoutesError(): ServingError {
  return new ServingError(MessageCode.NO_ROUTES_YET, {
    verdict: Verdict.NOT_RUN,
    retryAfterS: NO_ROUTES_RETRY_AFTER_S,
  });
}
