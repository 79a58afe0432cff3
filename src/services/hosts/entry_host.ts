/**
 * An entry host: accepts callers' requests and backend servers' announcements,
 * routes the requests and runs batch items. It needs no persistent storage.
 */
import { create } from "@bufbuild/protobuf";
import { AnnouncementEffect, FleetView } from "../../membership/mod.ts";
import { RetryBudget } from "../../policy/mod.ts";
import {
  type Announcement,
  Entries,
  type EntrySettings,
  type EntryView,
  EntryViewSchema,
  type GetViewRequest,
  MessageCode,
  type SpreadBatch,
} from "../../schema/mod.ts";
import type { Timer } from "../../sys/clock.ts";
import { getReason, ServingError } from "../../sys/errors.ts";
import { DiskFolder, type Folder } from "../../sys/files.ts";
import { type HttpListener, listenHttp } from "../../sys/http.ts";
import { openPort } from "../../sys/listening.ts";
import {
  createCredentials,
  type RpcCredentials,
  RpcServer,
} from "../../sys/rpc.ts";
import { createRawHeaderProblem } from "../common/responses.ts";
import { BackendPool } from "../online/backend_pool.ts";
import { BatchRunner } from "../batch/batch_runner.ts";
import { StopPeriod } from "../common/stop_period.ts";
import { CallerLimits } from "../common/caller_limits.ts";
import { CompletionService } from "../online/completion_service.ts";
import { CrashDetector } from "../online/crash_detector.ts";
import { EngineRunner } from "../online/engine_runner.ts";
import { tryCreateEntryFlow } from "../online/entry_flow.ts";
import { EntryHttp } from "./entry_http.ts";
import { EntryRegistrar } from "../control/entry_registration.ts";
import { ItemSessions } from "../common/item_sessions.ts";
import { JobService } from "../batch/job_service.ts";
import { IdempotencyStore } from "../online/idempotency_store.ts";
import { countOpenWork } from "../control/open_counts.ts";
import { addOperatorService } from "../control/operator_service.ts";
import { PlainService } from "../online/plain_service.ts";
import { createCallerGuard } from "../common/caller_faults.ts";
import type { ProcessContext } from "../common/process_context.ts";
import { PromptPartGuard } from "../common/prompt_part_guard.ts";
import { PeerUpdateSender } from "../control/peer_update_sender.ts";
import { StateClient } from "../common/state_client.ts";
import { SuspectLeases } from "../online/suspect_leases.ts";
import { ViewFollower } from "../control/view_follower.ts";

const BATCH_LOAD_INTERVAL_MS = 500;

/**
 * Time for which the responses to requests that are given up at the end of a stop
 * may take to be sent, in milliseconds.
 */
const GIVE_UP_MS = 100;

/** A running entry host. */
export class EntryHost {
  readonly #settings: EntrySettings;
  readonly #context: ProcessContext;
  readonly #credentials: RpcCredentials;
  readonly #incarnation: string;
  readonly view = new FleetView();
  readonly state: StateClient;
  readonly pool: BackendPool;
  readonly #suspectLeases: SuspectLeases;
  readonly #peerUpdateSender: PeerUpdateSender;
  readonly #sessions: ItemSessions;
  readonly #engineRunner: EngineRunner;
  readonly #idempotencyStore: IdempotencyStore;
  readonly #plainService: PlainService;
  readonly #completionService: CompletionService;
  readonly #jobService: JobService;
  readonly batch: BatchRunner;
  readonly #rpcServer: RpcServer;
  readonly #callerLimits: CallerLimits;
  readonly #http: EntryHttp;
  #follower: ViewFollower | undefined;
  #registrar: EntryRegistrar | undefined;
  #listener: HttpListener | undefined;
  #batchLoadTimer: Timer | undefined;
  #stopping = false;
  readonly #stopPeriod = new StopPeriod();
  address = "";
  peerAddress = "";

  constructor(settings: EntrySettings, context: ProcessContext) {
    this.#settings = settings;
    this.#context = context;
    const { clock, random, metrics, log } = context;
    this.#incarnation = random.createId();
    this.#credentials = createCredentials(settings.tls, context.isPartitioned);
    this.#rpcServer = new RpcServer(this.#credentials);
    this.#callerLimits = new CallerLimits(settings.limits?.callerStreams ?? 0);
    const { view } = this;
    const groupCount = settings.itemGroups ?? 1;
    const bodyBytes = settings.limits?.bodyBytes ?? 0;
    this.state = new StateClient({
      getAddresses: () => settings.state.map((peer) => peer.address),
      credentials: this.#credentials,
      clock,
    });
    this.#peerUpdateSender = new PeerUpdateSender({
      entryId: settings.id,
      view,
      credentials: this.#credentials,
      clock,
      metrics,
    });
    this.#suspectLeases = new SuspectLeases({
      entryId: settings.id,
      view,
      credentials: this.#credentials,
      clock,
      random,
    });
    this.pool = new BackendPool({
      suspectLeases: this.#suspectLeases,
      flow: tryCreateEntryFlow(settings, context),
      entryId: settings.id,
      dataCentre: settings.dataCentre,
      view,
      clock,
      metrics,
      requestPreemption: (owner, server, count) =>
        this.#peerUpdateSender.sendPreemptionRequest(owner, server, count),
    });
    const promptPartGuard = new PromptPartGuard({
      suspicions: view.promptParts,
      onChange: (suspicion) => this.#peerUpdateSender.sendPromptPart(suspicion),
      clock,
      log,
      metrics,
    });
    const crashDetector = new CrashDetector({
      view,
      clock,
      log,
      promptPartGuard,
      onSuspicionChange: (suspicion) =>
        this.#peerUpdateSender.sendSuspicion(suspicion),
    });
    const retryBudget = new RetryBudget();
    const { pool, state } = this;
    this.#engineRunner = new EngineRunner({
      view,
      pool,
      crashDetector,
      promptPartGuard,
      retryBudget,
      clock,
      metrics,
    });
    this.#sessions = new ItemSessions({
      entryId: settings.id,
      incarnation: this.#incarnation,
      groupCount,
      renewIntervalMs: settings.renewIntervalMs ?? 0,
      state,
      clock,
      log,
      getJobIds: (group) => this.batch.getJobIds(group),
      onRenewed: (group, reply) =>
        this.batch.handleSessionRenewed(group, reply),
      onEnded: (group, epoch) => this.batch.handleSessionEnded(group, epoch),
    });
    const sessions = this.#sessions;
    const idempotencyStore = new IdempotencyStore({
      state,
      sessions,
      groupCount,
      clock,
      random,
    });
    this.#idempotencyStore = idempotencyStore;
    this.#plainService = new PlainService({
      view,
      pool,
      idempotencyStore,
      crashDetector,
      retryBudget,
      clock,
      log,
      bodyBytes,
    });
    this.#completionService = new CompletionService({
      view,
      runner: this.#engineRunner,
      idempotencyStore,
      clock,
      metrics,
      bodyBytes,
    });
    this.#jobService = new JobService({
      view,
      state,
      groupCount,
      clock,
      random,
      limits: {
        lineBytes: settings.limits?.lineBytes ?? 0,
        jobItems: settings.limits?.jobItems ?? 0,
        jobBytes: settings.limits?.jobBytes ?? 0,
      },
    });
    this.batch = new BatchRunner({
      view,
      pool,
      engineRunner: this.#engineRunner,
      plainService: this.#plainService,
      promptPartGuard,
      state,
      sessions,
      groupCount,
      clock,
      log,
      metrics,
    });
    this.#http = new EntryHttp({
      context,
      view,
      callerLimits: this.#callerLimits,
      jobs: this.#jobService,
      completionService: this.#completionService,
      plainService: this.#plainService,
      isReady: () => this.isReady,
      isStopping: () => this.#stopping,
      stopPeriod: this.#stopPeriod,
      onAnnouncement: (announcement) => {
        const effect = this.#applyAnnouncement(announcement);
        if (effect !== AnnouncementEffect.old) {
          this.#peerUpdateSender.sendAnnouncement(announcement);
        }
        return effect;
      },
    });
  }

  /** Whether the load balancer may send requests here. */
  get isReady(): boolean {
    const hasView = this.view.entriesVersion > 0 ||
      this.view.configuration.version > 0n;
    return !this.#stopping && hasView;
  }

  /** Opens the ports and starts all components. */
  async start(): Promise<void> {
    const { clock, log } = this.#context;
    this.#addServices();
    this.peerAddress = await openPort(
      () => this.#rpcServer.listen(this.#settings.peerListen ?? ""),
      { clock, log },
    );
    const headerBytes = this.#settings.limits?.headerBytes ?? 0;
    this.#listener = await openPort(
      () =>
        listenHttp(
          this.#settings.listen ?? "",
          (req, res) => this.#http.serve(req, res),
          {
            maxHeaderBytes: headerBytes,
            headersTooLargeResponse: createRawHeaderProblem(headerBytes),
            guard: createCallerGuard(this.#context, {
              largestBodyBytes: this.#settings.limits?.bodyBytes,
            }),
          },
        ),
      { clock, log },
    );
    this.address = this.#listener.address;
    this.#follower = new ViewFollower({
      entryId: this.#settings.id,
      view: this.view,
      state: this.state,
      seedAddresses: this.#settings.entries,
      cache: await this.#tryOpenCacheFolder(),
      credentials: this.#credentials,
      clock,
      log,
      onChanged: () => this.pool.serveQueues(),
    });
    await this.#follower.start();
    this.#registrar = new EntryRegistrar({
      entry: {
        id: this.#settings.id,
        incarnation: this.#incarnation,
        address: this.peerAddress,
        dataCentre: this.#settings.dataCentre,
      },
      state: this.state,
      clock,
    });
    this.#registrar.start();
    this.#sessions.start();
    this.batch.start();
    this.#batchLoadTimer = clock.startInterval(
      BATCH_LOAD_INTERVAL_MS,
      () => this.#peerUpdateSender.sendBatchLoads(this.pool.getBatchLoads()),
    );
  }

  /** Stops gracefully: open requests may end within the configured timeout. */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    const { clock, log } = this.#context;
    const timeoutMs = this.#settings.stopTimeoutMs ?? 0;
    log.info("stopping", {
      open: this.#callerLimits.openCount,
      held: this.batch.heldCount,
    });
    // The load balancer sends requests until it sees the readiness check fail.
    await clock.delay(this.#settings.stopDelayMs ?? 0);
    this.#stopPeriod.begin(clock.getMonotonicMs() + timeoutMs);
    const drained = this.#listener?.drain() ?? Promise.resolve();
    await Promise.race([
      Promise.all([drained, this.batch.stop(timeoutMs)]),
      clock.delay(timeoutMs),
    ]);
    log.info("stopped", {
      open: this.#callerLimits.openCount,
      held: this.batch.heldCount,
    });
    if (this.#callerLimits.openCount > 0) {
      this.#stopPeriod.end();
      await clock.delay(GIVE_UP_MS);
    }
    await this.#sessions.close();
    await this.#registrar?.close();
    this.halt();
  }

  /** Stops immediately, as a crash would. */
  halt(): void {
    this.#stopping = true;
    this.#batchLoadTimer?.cancel();
    this.batch.halt();
    this.#sessions.halt();
    this.#registrar?.halt();
    this.#follower?.close();
    this.#peerUpdateSender.close();
    this.#suspectLeases.close();
    this.pool.close();
    this.#listener?.close();
    this.#rpcServer.close();
    this.state.close();
  }

  getDump(): Record<string, unknown> {
    const nowMs = this.#context.clock.getMonotonicMs();
    const { configuration, entries, backends, suspicions } = this.view;
    return {
      process: "entry",
      id: this.#settings.id,
      dataCentre: this.#settings.dataCentre,
      ready: this.isReady,
      configurationVersion: Number(configuration.version),
      lastOrder: configuration.lastOrderId,
      entries: entries.map((entry) => entry.id),
      open: this.#callerLimits.openCount,
      active: this.pool.activeCount,
      waiting: this.pool.waitingCount,
      held: this.batch.heldCount,
      backendServers: backends.getAll().map((server) => ({
        name: server.name,
        deployment: server.announcement.deployment,
        dataCentre: server.announcement.dataCentre,
        leaving: server.announcement.leaving,
        leaseLeftMs: Math.round(server.leaseEndMs - nowMs),
        own: server.own,
        others: server.others,
        sequenceTarget: server.sequenceTarget,
        failures: server.failures,
      })),
      suspicions: suspicions.getAll(nowMs).map((suspicion) => ({
        fingerprint: suspicion.fingerprint,
        servers: suspicion.servers,
      })),
      metrics: this.#context.metrics.getSums(),
    };
  }

  #addServices(): void {
    this.#rpcServer.addService(Entries, {
      spread: (batch) => {
        this.#applyPeerUpdates(batch);
        return Promise.resolve({});
      },
      getView: (req) => {
        return Promise.resolve(this.#createView(req));
      },
      holdLane: (req) =>
        Promise.resolve({
          granted: this.#suspectLeases.grant(
            req.backendServer,
            req.holder,
            req.leaseMs,
          ),
        }),
      releaseLane: (req) => {
        this.#suspectLeases.release(req.backendServer, req.holder);
        return Promise.resolve({ granted: false });
      },
      countOpen: () =>
        Promise.resolve({
          streams: BigInt(this.#callerLimits.openCount),
          claims: BigInt(this.batch.heldCount),
        }),
    });
    addOperatorService({
      server: this.#rpcServer,
      state: this.state,
      groupCount: this.#settings.itemGroups ?? 1,
      isSecure: this.#credentials.isSecure,
      getDump: () => this.getDump(),
      countOpenWork: () => countOpenWork(this.view.entries, this.#credentials),
    });
  }

  /**
   * Returns the configuration and the entries that are newer than the
   * requester's. Announcements and suspicions are included only if the request
   * asks for the whole view.
   */
  #createView(req: GetViewRequest): EntryView {
    const { configuration, entries, entriesVersion, backends } = this.view;
    const hasNewerEntries = entriesVersion > Number(req.entriesVersion);
    const servers = backends.getAll().map((server) => server.announcement);
    const nowMs = this.#context.clock.getMonotonicMs();
    return create(EntryViewSchema, {
      configuration: configuration.version > req.version
        ? configuration
        : undefined,
      entries: hasNewerEntries ? [...entries] : [],
      entriesVersion: BigInt(entriesVersion),
      announcements: req.whole ? servers : [],
      suspicions: req.whole ? this.view.suspicions.getAll(nowMs) : [],
      promptParts: req.whole ? this.view.promptParts.getAll(nowMs) : [],
    });
  }

  async #tryOpenCacheFolder(): Promise<Folder | undefined> {
    const path = this.#settings.cacheFolder ?? "";
    if (path === "") return undefined;
    try {
      const folder = await DiskFolder.open(path);
      await folder.removeTemporaryFiles();
      return folder;
    } catch (error) {
      throw new ServingError(MessageCode.FOLDER_UNWRITABLE, {
        parameters: { path, reason: getReason(error) },
      });
    }
  }

  #applyPeerUpdates(batch: SpreadBatch): void {
    const nowMs = this.#context.clock.getMonotonicMs();
    batch.announcements.forEach((announcement) =>
      this.#applyAnnouncement(announcement)
    );
    batch.suspicions.forEach((suspicion) =>
      this.view.suspicions.merge(suspicion, nowMs)
    );
    this.view.promptParts.removeExpired(nowMs);
    batch.promptParts.forEach((suspicion) => {
      const canRefute = this.view.promptParts.canRefute(suspicion, nowMs);
      this.view.promptParts.merge(suspicion, nowMs);
      if (!canRefute) return;
      this.#peerUpdateSender.sendPromptPart(
        this.view.promptParts.getUpdate(suspicion.part, nowMs),
      );
    });
    batch.yields.forEach((request) =>
      this.pool.preemptBatch(request.backendServer, request.sequences)
    );
    batch.batchLoads.forEach((load) => {
      const server = this.view.backends.tryGet(load.backendServer);
      if (server !== undefined) server.othersBatch = load.sequences;
    });
  }

  #applyAnnouncement(announcement: Announcement): AnnouncementEffect {
    const nowMs = this.#context.clock.getMonotonicMs();
    const effect = this.view.backends.accept(announcement, nowMs);
    if (
      effect !== AnnouncementEffect.old &&
      effect !== AnnouncementEffect.refreshed
    ) {
      this.#context.log.info(`backend_server_${effect}`, {
        server: announcement.name,
        deployment: announcement.deployment,
      });
      this.pool.serveQueues();
    }
    if (effect === AnnouncementEffect.restarted) {
      this.pool.abortPlacements(announcement.name);
    }
    return effect;
  }
}
