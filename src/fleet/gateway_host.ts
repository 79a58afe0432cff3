/**
 * A gateway: takes callers' requests, relays the online ones to backend
 * servers, and passes jobs to the store. It keeps nothing that must last.
 */
import { selectTarget, stripQuery } from "../policy/mod.ts";
import {
  type FleetSettings,
  HostRole,
  MessageCode,
  RequestKind,
  type Route,
  Verdict,
} from "../schema/mod.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import { StateClient } from "../services/common/state_client.ts";
import { asServingError, getCodeName, ServingError } from "../sys/errors.ts";
import {
  type HttpListener,
  type IncomingMessage,
  listenHttp,
  readBody,
  removeRawHopByHopHeaders,
  type ServerResponse,
} from "../sys/http.ts";
import { MetricName } from "../sys/metrics.ts";
import { createCredentials } from "../sys/rpc.ts";
import { BackendAccess } from "./backend_access.ts";
import { CallerResponse } from "./caller_answer.ts";
import type {
  BackendDialect,
  CallerDialect,
  JobCall,
  LocalResponse,
} from "./dialects.ts";
import { JobClient } from "./job_client.ts";
import { OnlineRelay, type OnlineRequest } from "./online_relay.ts";
import { ServiceTimes } from "./service_times.ts";

/** Largest body before the first routes are known, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 1 << 20;

/**
 * Time after a stop signal for which new connections are taken, in
 * milliseconds: the balancer needs two misses of a check a second.
 */
const PRE_DRAIN_DELAY_MS = 2_600;

/** Time in which a gateway that starts learns the routes, in seconds. */
const NO_ROUTES_RETRY_S = 1;

/** Time kept between the last answer and the end of the process. */
const EXIT_MARGIN_MS = 300;

/** Time between two looks at what is still open, in milliseconds. */
const DRAIN_POLL_MS = 50;

/** A running gateway. */
export class GatewayHost {
  readonly #settings: FleetSettings;
  readonly #context: ProcessContext;
  readonly #dialect: CallerDialect;
  readonly #backends: BackendAccess;
  readonly #relay: OnlineRelay;
  readonly #state: StateClient;
  readonly #jobs: JobClient;
  readonly #reservedHeaders: ReadonlySet<string>;
  #listener: HttpListener | undefined;
  #readyListener: HttpListener | undefined;
  #openRequests = 0;
  #stopping = false;

  constructor(
    settings: FleetSettings,
    context: ProcessContext,
    dialects: { caller: CallerDialect; backend: BackendDialect },
  ) {
    this.#settings = settings;
    this.#context = context;
    this.#dialect = dialects.caller;
    this.#reservedHeaders = dialects.backend.reservedHeaders;
    const { clock, log, random, metrics } = context;
    const credentials = createCredentials(undefined, context.isPartitioned);
    const backends = new BackendAccess({
      settings,
      context,
      credentials,
      dialect: dialects.backend,
      isMerger: false,
      onReport: () => backends.pool.wakeWaiters(),
    });
    this.#backends = backends;
    this.#relay = new OnlineRelay({
      pool: backends.pool,
      caller: backends.caller,
      dialect: this.#dialect,
      times: new ServiceTimes(),
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

  /** Whether the balancer may send callers here. */
  get isReady(): boolean {
    return !this.#stopping && this.#backends.view.routes !== undefined;
  }

  async start(): Promise<void> {
    await this.#backends.start();
    this.#readyListener = await listenHttp(
      this.#settings.readyListen ?? "",
      (_, res) => {
        res.writeHead(this.isReady ? 200 : 503).end();
      },
    );
    this.#listener = await listenHttp(
      this.#settings.listen ?? "",
      (req, res) => this.#serve(req, res),
      { getBounds: () => this.#backends.view.routes?.table.bounds },
    );
  }

  /** Takes other addresses of control hosts. */
  setSeeds(seeds: readonly string[]): void {
    this.#backends.follower.setSeeds(seeds);
  }

  /** Stops without cutting off a request, within the time that is set. */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    const { clock, log } = this.#context;
    const endMs = clock.getMonotonicMs() + (this.#settings.graceMs ?? 0) -
      EXIT_MARGIN_MS;
    log.info("stopping", { open: this.#openRequests });
    await clock.delay(PRE_DRAIN_DELAY_MS);
    const drained = this.#listener?.drain() ?? Promise.resolve();
    const remainingMs = Math.max(0, endMs - clock.getMonotonicMs());
    await Promise.race([drained, clock.delay(remainingMs)]);
    while (this.#openRequests > 0 && clock.getMonotonicMs() < endMs) {
      await clock.delay(DRAIN_POLL_MS);
    }
    log.info("stopped", { open: this.#openRequests });
    this.halt();
  }

  /** Ends at once, as a crash would. */
  halt(): void {
    this.#stopping = true;
    this.#listener?.close();
    this.#readyListener?.close();
    this.#backends.close();
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
      open: this.#openRequests,
      hosts: this.#backends.view.hosts.hosts.map((host) => host.id),
      backendServers: this.#backends.view.servers.getAll().map((one) => ({
        id: one.id,
        service: one.service,
        state: one.state,
        slots: one.slots,
        busy: this.#backends.pool.loads.getBusy(one.id, nowMs),
      })),
      metrics: this.#context.metrics.getSums(),
    };
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    const response = new CallerResponse(res);
    if (this.#stopping) res.shouldKeepAlive = false;
    this.#openRequests += 1;
    this.#handle(req, response)
      .catch((thrown) => this.#sendError(req, response, asServingError(thrown)))
      .finally(() => {
        this.#openRequests -= 1;
      });
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
    this.#context.log.info("request_refused", {
      request: requestId,
      host: req.headers.host ?? "",
      target: req.url ?? "",
      code: getCodeName(error.code),
      verdict: Verdict[error.verdict] ?? "",
      reason: error.message,
      routes: Number(this.#backends.view.routesVersion),
    });
    if (response.headSent) response.abort();
    else response.sendLocal(this.#dialect.createErrorResponse(error));
  }

  async #handle(req: IncomingMessage, response: CallerResponse): Promise<void> {
    const arrivedMs = this.#context.clock.getMonotonicMs();
    const target = req.url ?? "/";
    const method = req.method ?? "GET";
    const jobCall = this.#dialect.tryReadJobCall(method, target, req.headers);
    if (jobCall !== undefined) {
      response.sendLocal(await this.#serveJobCall(jobCall));
      return;
    }
    const routes = this.#backends.view.routes;
    if (routes === undefined) throw createNoRoutesError();
    const path = stripQuery(target);
    const route = routes.tryMatch(req.headers.host ?? "", path);
    if (route === undefined) {
      throw new ServingError(MessageCode.UNKNOWN_ROUTE, {
        parameters: { path },
      });
    }
    const limit = routes.table.bounds?.bodyBytes || DEFAULT_MAX_BODY_BYTES;
    const body = await readBody(req, limit);
    if (route.kind === RequestKind.BATCH) {
      response.sendLocal(await this.#submitJob(req, body, route));
      return;
    }
    const online = this.#createOnlineRequest(req, body, route, arrivedMs);
    await this.#relay.serve(online, response);
  }

  #createOnlineRequest(
    req: IncomingMessage,
    body: Buffer,
    route: Route,
    arrivedMs: number,
  ): OnlineRequest {
    const metadata = this.#dialect.readRequestMetadata(req.headers);
    const fraction = this.#context.random.getFraction();
    return {
      route,
      service: selectTarget(route, fraction)?.service ?? "",
      request: {
        requestId: metadata.requestId,
        method: req.method ?? "GET",
        target: req.url ?? "/",
        headers: removeRawHopByHopHeaders(
          req.rawHeaders,
          this.#reservedHeaders,
        ),
        body,
      },
      prefix: metadata.prefix,
      resumeAfter: metadata.resumeAfter,
      arrivedMs,
      deadlineMs: metadata.deadlineMs,
    };
  }

  async #submitJob(
    req: IncomingMessage,
    body: Buffer,
    route: Route,
  ): Promise<LocalResponse> {
    const job = this.#dialect.decodeJob(body, req.headers, route);
    await this.#jobs.submit(job);
    this.#context.log.info("job_accepted", {
      job: job.id,
      route: route.name,
      items: job.items.length,
    });
    return { status: 202, headers: [], body: "" };
  }

  async #serveJobCall(call: JobCall): Promise<LocalResponse> {
    switch (call.kind) {
      case "results":
        return this.#dialect.createJobPage(
          await this.#jobs.readResults(call.job, call.after, call.waitMs),
        );
      case "body":
        return {
          status: 200,
          headers: ["Content-Type", "application/octet-stream"],
          body: await this.#jobs.readBody(call.job, call.item),
        };
      case "end":
        await this.#jobs.end(call.job);
        this.#context.log.info("job_ended", { job: call.job });
        return { status: 200, headers: [], body: "" };
    }
  }
}

function createNoRoutesError(): ServingError {
  return new ServingError(MessageCode.NO_ROUTES_YET, {
    verdict: Verdict.NOT_RUN,
    retryAfterS: NO_ROUTES_RETRY_S,
  });
}
