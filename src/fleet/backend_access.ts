/**
 * The components shared by all processes that send requests to backend servers:
 * the view of the fleet, the server pool, the client of the servers, and the
 * exchange of loads with other processes.
 */
import type { GatewayState } from "../membership/mod.ts";
import type { FleetSettings, RouteTable, StreamOrigin } from "../schema/mod.ts";
import type { ProcessContext } from "../services/common/process_context.ts";
import { PromptPartGuard } from "../services/common/prompt_part_guard.ts";
import { ConnectProbe } from "../sys/connect_probe.ts";
import { createHttpAgent } from "../sys/http.ts";
import type { RpcCredentials } from "../sys/rpc.ts";
import { BackendClient } from "./backend_client.ts";
import type { BackendDialect } from "./dialects.ts";
import { FleetFollower } from "./fleet_follower.ts";
import { LoadExchange } from "./load_exchange.ts";
import { createRemoteByteCounter } from "./remote_bytes.ts";
import { RateLimitClient, RpcGranterCaller } from "./rate_limit_client.ts";
import { type RemoteFlow, tryCreateRemoteFlow } from "./remote_flow.ts";
import { RoutingView } from "./routing_view.ts";
import { ServerPool } from "./server_pool.ts";
import { ServerReachability } from "./server_reachability.ts";
import { getBindAddress } from "./state_process.ts";

/** Options of a {@linkcode BackendAccess}. */
export interface BackendAccessOptions {
  readonly settings: FleetSettings;
  readonly context: ProcessContext;
  readonly credentials: RpcCredentials;
  readonly dialect: BackendDialect;
  /** Decodes a route table of an older build again. */
  readonly upgradeRoutes: (table: RouteTable) => RouteTable;
  /** Whether this process merges the load reports of the other processes. */
  readonly isMerger: boolean;
  /** Called after a load report from another process was accepted. */
  readonly onReport: () => void;
  /** Called with the origins of streams that gateways report. */
  readonly onOrigins?: (origins: readonly StreamOrigin[]) => void;
  /** Called with what load reports say of the gateways that send them. */
  readonly onGateway?: (gateway: GatewayState) => void;
  /** Whether this process serves requests of gateways that reach no server. */
  readonly acceptsRelayed?: () => boolean;
}

/**
 * Idle timeout of connections to backend servers, in milliseconds. It must be
 * shorter than the idle timeout of the servers.
 */
const BACKEND_IDLE_TIMEOUT_MS = 4_000;

/** The components of one process. */
export class BackendAccess {
  readonly view: RoutingView;
  readonly follower: FleetFollower;
  readonly pool: ServerPool;
  readonly remoteFlow: RemoteFlow | undefined;
  readonly backendClient: BackendClient;
  readonly promptPartGuard: PromptPartGuard;
  readonly reachability: ServerReachability;
  readonly #exchange: LoadExchange;
  readonly #rateLimits: RateLimitClient;

  constructor(options: BackendAccessOptions) {
    const { settings, credentials } = options;
    const { clock, log, random, metrics } = options.context;
    const view = new RoutingView({
      registrationIntervalMs: settings.beatMs ?? 0,
      upgradeRoutes: options.upgradeRoutes,
      clock,
      log,
    });
    this.view = view;
    this.follower = new FleetFollower({
      name: settings.id,
      view,
      seeds: settings.seeds,
      credentials,
      clock,
      log,
    });
    this.promptPartGuard = new PromptPartGuard({
      suspicions: view.promptParts,
      onChange: (suspicion) => this.follower.reportPromptPart(suspicion),
      clock,
      log,
      metrics,
    });
    this.#rateLimits = new RateLimitClient({
      name: settings.id,
      limits: view.limits,
      getGranters: () => view.getStoreAddresses(),
      caller: new RpcGranterCaller(credentials),
      clock,
      random,
      log,
      metrics,
    });
    this.reachability = new ServerReachability({
      getServers: () => view.servers.getReady(),
      probe: new ConnectProbe(clock, options.context.isPartitioned),
      clock,
      log,
      onChange: (isCutOff) => {
        if (!isCutOff) view.servers.resetBackoffs();
        pool.wakeWaiters();
        this.#exchange.tryReportNow();
      },
    });
    this.remoteFlow = tryCreateRemoteFlow(settings, options.context);
    const pool = new ServerPool({
      dataCentre: settings.dataCentre,
      view,
      clock,
      random,
      log,
      rateLimits: this.#rateLimits,
      remoteFlow: this.remoteFlow,
      onSuspect: (server) => this.reachability.recordUnreachable(server),
      onQueued: () => this.#exchange.tryReportNow(),
    });
    this.pool = pool;
    this.backendClient = new BackendClient({
      dialect: options.dialect,
      agent: createHttpAgent({ idleTimeoutMs: BACKEND_IDLE_TIMEOUT_MS }),
      onLoad: (server, total) => pool.recordReportedLoad(server, total),
      onWrongServer: (server) => pool.recordWrongServer(server),
      onLeaving: (server) => {
        const isNew = view.recordLeaving(server, "response");
        if (isNew) this.follower.reportLeaving(server);
      },
      onLimit: ({ server, startedMs }, limitPerS) => {
        const isNew = view.recordLimit(server, limitPerS, startedMs);
        if (isNew) this.follower.reportLimit(server);
      },
      onUnreachable: (server) => pool.recordFailure(server),
      onNotConnected: (server) =>
        view.servers.recordUnreachable(server, clock.getMonotonicMs()),
      onActivity: (server) => pool.recordActivity(server),
      onSlowdown: (server, slowdown) =>
        pool.speeds.recordSlowdown(server, slowdown),
      onTimes: (permit, times) => pool.speeds.recordTimes(permit, times),
      clock,
      reachability: this.reachability,
      onBytes: createRemoteByteCounter(settings.dataCentre, metrics),
      isPartitioned: options.context.isPartitioned,
    });
    this.#exchange = new LoadExchange({
      name: settings.id,
      address: `${settings.ip}:${settings.peerPort}`,
      bindAddress: getBindAddress(settings),
      loads: pool.loads,
      getMergers: () => view.getStoreAddresses(),
      isLocalMerger: (address) =>
        view.getDataCentre(address) === settings.dataCentre,
      isMerger: options.isMerger,
      onReport: options.onReport,
      onOrigins: options.onOrigins ?? (() => {}),
      dataCentre: settings.dataCentre,
      onGateway: options.onGateway ?? (() => {}),
      isCutOff: () => this.reachability.isCutOff,
      acceptsRelayed: options.acceptsRelayed ?? (() => false),
      clock,
      log,
    });
  }

  /** Sends the origin of a stream to all mergers. */
  reportOrigin(origin: StreamOrigin): void {
    this.#exchange.reportOrigin(origin);
  }

  /** Sends origins once more that have been sent a short time ago. */
  repeatOrigins(): void {
    this.#exchange.repeatOrigins();
  }

  async start(): Promise<void> {
    this.follower.start();
    await this.#exchange.start();
  }

  close(): void {
    this.#exchange.close();
    this.#rateLimits.close();
    this.reachability.close();
    this.pool.close();
    this.follower.close();
  }
}
