/**
 * A gateway: takes callers' requests, relays the online ones to backend
 * servers, and passes jobs to the store. It keeps nothing that must last.
 */
import { getPath, selectTarget } from "../policy/mod.ts";
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
import { BackendSide } from "./backend_side.ts";
import { CallerAnswer } from "./caller_answer.ts";
import type {
  BackendDialect,
  CallerDialect,
  JobCall,
  OwnAnswer,
} from "./dialects.ts";
import { JobClient } from "./job_client.ts";
import { OnlineRelay, type OnlineRequest } from "./online_relay.ts";
import { ServiceTimes } from "./service_times.ts";

/** Largest body before the first routes are known, in bytes. */
const FIRST_BODY_BYTES = 1 << 20;

/**
 * Time after a stop signal for which new connections are taken, in
 * milliseconds: the balancer needs two misses of a check a second.
 */
const LINGER_MS = 2_600;

/** Time in which a gateway that starts learns the routes, in seconds. */
const NO_ROUTES_RETRY_S = 1;

/** Time kept between the last answer and the end of the process. */
const END_MARGIN_MS = 300;

/** Time between two looks at what is still open, in milliseconds. */
const DRAIN_PAUSE_MS = 50;

/** A running gateway. */
export class GatewayHost {
  readonly #settings: FleetSettings;
  readonly #context: ProcessContext;
  readonly #dialect: CallerDialect;
  readonly #side: BackendSide;
  readonly #relay: OnlineRelay;
  readonly #state: StateClient;
  readonly #jobs: JobClient;
  readonly #ownHeaders: ReadonlySet<string>;
  #listener: HttpListener | undefined;
  #readyListener: HttpListener | undefined;
  #open = 0;
  #stopping = false;

  constructor(
    settings: FleetSettings,
    context: ProcessContext,
    dialects: { caller: CallerDialect; backend: BackendDialect },
  ) {
    this.#settings = settings;
    this.#context = context;
    this.#dialect = dialects.caller;
    this.#ownHeaders = dialects.backend.ownHeaders;
    const { clock, log, random, metrics } = context;
    const credentials = createCredentials(undefined, context.isCut);
    const side = new BackendSide({
      settings,
      context,
      credentials,
      dialect: dialects.backend,
      isMerger: false,
      onReport: () => side.pool.wake(),
    });
    this.#side = side;
    this.#relay = new OnlineRelay({
      pool: side.pool,
      caller: side.caller,
      dialect: this.#dialect,
      times: new ServiceTimes(),
      clock,
      random,
      log,
      metrics,
    });
    this.#state = new StateClient({
      getAddresses: () => side.view.getAddresses(HostRole.STORE),
      credentials,
      clock,
    });
    this.#jobs = new JobClient(this.#state);
  }

  /** Whether the balancer may send callers here. */
  get isReady(): boolean {
    return !this.#stopping && this.#side.view.routes !== undefined;
  }

  async start(): Promise<void> {
    await this.#side.start();
    this.#readyListener = await listenHttp(
      this.#settings.readyListen ?? "",
      (_, res) => {
        res.writeHead(this.isReady ? 200 : 503).end();
      },
    );
    this.#listener = await listenHttp(
      this.#settings.listen ?? "",
      (req, res) => this.#serve(req, res),
      { getBounds: () => this.#side.view.routes?.table.bounds },
    );
  }

  /** Takes other addresses of control hosts. */
  setSeeds(seeds: readonly string[]): void {
    this.#side.follower.setSeeds(seeds);
  }

  /** Stops without cutting off a request, within the time that is set. */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    const { clock, log } = this.#context;
    const endMs = clock.getMonotonicMs() + (this.#settings.graceMs ?? 0) -
      END_MARGIN_MS;
    log.info("stopping", { open: this.#open });
    await clock.delay(LINGER_MS);
    const drained = this.#listener?.drain() ?? Promise.resolve();
    const lateMs = Math.max(0, endMs - clock.getMonotonicMs());
    await Promise.race([drained, clock.delay(lateMs)]);
    while (this.#open > 0 && clock.getMonotonicMs() < endMs) {
      await clock.delay(DRAIN_PAUSE_MS);
    }
    log.info("stopped", { open: this.#open });
    this.halt();
  }

  /** Ends at once, as a crash would. */
  halt(): void {
    this.#stopping = true;
    this.#listener?.close();
    this.#readyListener?.close();
    this.#side.close();
    this.#state.close();
  }

  getDump(): Record<string, unknown> {
    const nowMs = this.#context.clock.getMonotonicMs();
    return {
      process: "gateway",
      id: this.#settings.id,
      dataCentre: this.#settings.dataCentre,
      ready: this.isReady,
      routesVersion: Number(this.#side.view.routesVersion),
      open: this.#open,
      hosts: this.#side.view.hosts.hosts.map((host) => host.id),
      backendServers: this.#side.view.book.getAll().map((one) => ({
        id: one.id,
        service: one.service,
        state: one.state,
        slots: one.slots,
        busy: this.#side.pool.loads.getBusy(one.id, nowMs),
      })),
      metrics: this.#context.metrics.getSums(),
    };
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    const answer = new CallerAnswer(res);
    if (this.#stopping) res.shouldKeepAlive = false;
    this.#open += 1;
    this.#handle(req, answer)
      .catch((thrown) => this.#refuse(req, answer, asServingError(thrown)))
      .finally(() => {
        this.#open -= 1;
      });
  }

  #refuse(
    req: IncomingMessage,
    answer: CallerAnswer,
    error: ServingError,
  ): void {
    if (answer.gone.aborted) return;
    const { requestId } = this.#dialect.readCall(req.headers);
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
      routes: Number(this.#side.view.routesVersion),
    });
    if (answer.hasBegun) answer.cut();
    else answer.sendOwn(this.#dialect.createRefusal(error));
  }

  async #handle(req: IncomingMessage, answer: CallerAnswer): Promise<void> {
    const arrivedMs = this.#context.clock.getMonotonicMs();
    const target = req.url ?? "/";
    const method = req.method ?? "GET";
    const jobCall = this.#dialect.tryReadJobCall(method, target, req.headers);
    if (jobCall !== undefined) {
      answer.sendOwn(await this.#callJob(jobCall));
      return;
    }
    const routes = this.#side.view.routes;
    if (routes === undefined) throw createNoRoutes();
    const path = getPath(target);
    const route = routes.tryMatch(req.headers.host ?? "", path);
    if (route === undefined) {
      throw new ServingError(MessageCode.UNKNOWN_ROUTE, {
        parameters: { path },
      });
    }
    const limit = routes.table.bounds?.bodyBytes || FIRST_BODY_BYTES;
    const body = await readBody(req, limit);
    if (route.kind === RequestKind.BATCH) {
      answer.sendOwn(await this.#submitJob(req, body, route));
      return;
    }
    const online = this.#createOnline(req, body, route, arrivedMs);
    await this.#relay.serve(online, answer);
  }

  #createOnline(
    req: IncomingMessage,
    body: Buffer,
    route: Route,
    arrivedMs: number,
  ): OnlineRequest {
    const facts = this.#dialect.readCall(req.headers);
    const fraction = this.#context.random.getFraction();
    return {
      route,
      service: selectTarget(route, fraction)?.service ?? "",
      request: {
        requestId: facts.requestId,
        method: req.method ?? "GET",
        target: req.url ?? "/",
        headers: removeRawHopByHopHeaders(req.rawHeaders, this.#ownHeaders),
        body,
      },
      prefix: facts.prefix,
      resumeAfter: facts.resumeAfter,
      arrivedMs,
      deadlineMs: facts.deadlineMs,
    };
  }

  async #submitJob(
    req: IncomingMessage,
    body: Buffer,
    route: Route,
  ): Promise<OwnAnswer> {
    const job = this.#dialect.decodeJob(body, req.headers, route);
    await this.#jobs.submit(job);
    this.#context.log.info("job_accepted", {
      job: job.id,
      route: route.name,
      items: job.items.length,
    });
    return { status: 202, headers: [], body: "" };
  }

  async #callJob(call: JobCall): Promise<OwnAnswer> {
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

function createNoRoutes(): ServingError {
  return new ServingError(MessageCode.NO_ROUTES_YET, {
    verdict: Verdict.NOT_RUN,
    retryAfterS: NO_ROUTES_RETRY_S,
  });
}
