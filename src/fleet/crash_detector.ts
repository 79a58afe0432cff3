/**
 * Detects whether a backend server crashed while it ran a request, and records
 * a suspicion against the request and, if its answer had not begun, against the
 * parts of its prompt. A lost connection alone does not tell:
 * answers are lost and networks partitioned while the server runs on, and
 * servers end as planned. A server has crashed if nothing listens on its address
 * or if it has been started again, although it had not announced that it leaves.
 */
import { getServerStart } from "../membership/mod.ts";
import {
  type Registration,
  ServerState,
  type Suspicion,
} from "../schema/mod.ts";
import type { PromptPartGuard } from "../services/common/prompt_part_guard.ts";
import type { Clock } from "../sys/clock.ts";
import { AnswerEndCheck } from "../sys/answer_end_check.ts";
import { ConnectProbe, ProbeResult } from "../sys/connect_probe.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";
import { getDigestHex } from "../sys/random.ts";
import { logRejection } from "../sys/unexpected_errors.ts";
import type { BackendRequest } from "./backend_client.ts";
import type { RoutingView } from "./routing_view.ts";
import type { PoolServer } from "./server_pool.ts";

/** Options of a {@linkcode CrashDetector}. */
export interface CrashDetectorOptions {
  readonly view: RoutingView;
  /** Sends a suspicion to the other processes. */
  readonly onSuspicionChange: (suspicion: Suspicion) => void;
  readonly promptPartGuard: PromptPartGuard;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Time for which a lost request waits for proof that its server has crashed, in
 * milliseconds: a server is back some seconds after a crash.
 */
const PENDING_TTL_MS = 15_000;

/**
 * Maximum wait for the result of a probe before a suspect request is retried,
 * in milliseconds: several round trips between data centres.
 */
const MAX_PROBE_WAIT_MS = 20;

/** Maximum number of lost runs that wait; the oldest are dropped. */
const MAX_PENDING = 1_024;

/** A request, or an item of a job, at a backend server. */
export interface ServerRun {
  readonly req: BackendRequest;
  readonly server: PoolServer;
  /** Keys of the parts of its prompt; empty once its answer has begun. */
  readonly unprovenParts: readonly string[];
  /**
   * Whether it must run in the end, even if servers crash under it. The request is
   * not suspected then, only the parts of its prompt.
   */
  readonly isOwed: boolean;
}

interface LostRun extends ServerRun {
  readonly lostMs: number;
}

/** Detects crashes of backend servers on behalf of one process. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  readonly #probe: ConnectProbe;
  readonly #answerEndCheck: AnswerEndCheck;
  /** Runs whose server can't be reached and may have crashed. */
  #pending: LostRun[] = [];

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
    this.#probe = new ConnectProbe(options.clock);
    this.#answerEndCheck = new AnswerEndCheck({
      probe: this.#probe,
      log: options.log,
    });
    options.view.onServerChange((registration, isStart) => {
      if (registration.state !== ServerState.READY) {
        this.#dropPending(registration);
      } else if (isStart) this.#handleServerStart(registration);
    });
  }

  /**
   * Time until the request may run again because servers crashed while they ran
   * it, in milliseconds; 0 if it may run.
   */
  getRejectionMs(req: BackendRequest): number {
    const { view, clock } = this.#options;
    if (view.suspicions.isEmpty) return 0;
    return view.suspicions.getRejectionMs(
      getFingerprint(req),
      clock.getMonotonicMs(),
    );
  }

  /** Number of servers that crashed while running the request. */
  getCrashCount(req: BackendRequest): number {
    const { suspicions } = this.#options.view;
    return suspicions.getServerFailureCount(getFingerprint(req));
  }

  /**
   * Records that the connection to a server was lost during a request. Resolves
   * when the request may be retried: for a request that is suspect already, once
   * it is known whether this server crashed too, or after a short wait.
   */
  async recordConnectionLoss(run: ServerRun): Promise<void> {
    const { clock, log, view: { suspicions }, promptPartGuard } = this.#options;
    const isRecorded = this.#probeServer(run);
    logRejection(isRecorded, log, "probe after a lost connection");
    const isSuspect =
      !suspicions.isEmpty && suspicions.isSuspect(getFingerprint(run.req)) ||
      promptPartGuard.isSuspect(run.unprovenParts);
    if (!isSuspect) return;
    await Promise.race([isRecorded, clock.delay(MAX_PROBE_WAIT_MS)]);
  }

  async #probeServer(run: ServerRun): Promise<void> {
    const lostMs = this.#options.clock.getMonotonicMs();
    const result = await this.#probe.probe(run.server.address);
    const { refused, silent, reset } = ProbeResult;
    if (result === refused || result === silent) {
      this.#options.view.servers.recordUnreachable(run.server.id, lostMs);
    }
    if (result === refused) this.#suspect(run);
    if (result === silent || result === reset) {
      this.#addPending({ ...run, lostMs });
    }
  }

  /**
   * Whether the server of an answer to `requestId` that ended with its connection
   * is still there, and has not been started again.
   */
  async isServerThere(server: PoolServer, requestId: string): Promise<boolean> {
    const isThere = await this.#answerEndCheck.isSenderThere({
      requestId,
      sender: server.id,
      address: server.address,
    });
    const known = this.#options.view.servers.tryGet(server.id);
    return isThere && (known === undefined || known.bornMs <= server.bornMs);
  }

  /** Records that a run was abandoned because its server fell silent. */
  recordSilence(run: ServerRun): void {
    const lostMs = this.#options.clock.getMonotonicMs();
    this.#addPending({ ...run, lostMs });
  }

  /** Clears a suspicion: the request finished without crashing its server. */
  recordSuccess(req: BackendRequest): void {
    const { view, clock, onSuspicionChange, log } = this.#options;
    if (view.suspicions.isEmpty) return;
    const update = view.suspicions.tryClearAccepted(
      getFingerprint(req),
      clock.getMonotonicMs(),
    );
    if (update === undefined) return;
    log.info("suspicion_cleared", {
      request: req.requestId,
      fingerprint: update.fingerprint,
    });
    onSuspicionChange(update);
  }

  #addPending(lost: LostRun): void {
    const earliestMs = lost.lostMs - PENDING_TTL_MS;
    this.#pending = [...this.#pending, lost]
      .filter(({ lostMs }) => lostMs >= earliestMs)
      .slice(-MAX_PENDING);
  }

  /** Drops the requests of a server that ends as planned. */
  #dropPending({ id }: Registration): void {
    this.#pending = this.#pending.filter(({ server }) => server.id !== id);
  }

  /** A server at the same address or with the same id proves the crash. */
  #handleServerStart({ id, address }: Registration): void {
    const isReplaced = ({ server }: LostRun) =>
      server.id === id || server.address === address;
    const replaced = this.#pending.filter(isReplaced);
    if (replaced.length === 0) return;
    this.#pending = this.#pending.filter((lost) => !isReplaced(lost));
    const earliestMs = this.#options.clock.getMonotonicMs() - PENDING_TTL_MS;
    replaced.filter(({ lostMs }) => lostMs >= earliestMs)
      .forEach((lost) => this.#suspect(lost));
  }

  #suspect(run: ServerRun): void {
    const { view: { servers }, promptPartGuard } = this.#options;
    const { server } = run;
    const known = servers.tryGet(server.id);
    const hasDeregistered = known?.bornMs === server.bornMs &&
      known.state !== ServerState.READY;
    if (hasDeregistered || servers.isLeaving(server)) return;
    if (!run.isOwed) this.#suspectRequest(run);
    promptPartGuard.recordCrash(run.unprovenParts, {
      serverStart: getServerStart(server),
      request: run.req.requestId,
    });
  }

  #suspectRequest({ req, server }: ServerRun): void {
    const { view, clock, log, metrics, onSuspicionChange } = this.#options;
    const fingerprint = getFingerprint(req);
    const nowMs = clock.getMonotonicMs();
    const update = view.suspicions.record(
      fingerprint,
      getServerStart(server),
      nowMs,
    );
    metrics.count(MetricName.suspicions);
    log.info("request_suspected", {
      request: req.requestId,
      fingerprint,
      server: server.id,
      born: Number(server.bornMs),
      crashes: update.servers.length,
      rejected_ms: view.suspicions.getRejectionMs(fingerprint, nowMs),
    });
    onSuspicionChange(update);
  }
}

/** Fingerprints that have been computed; a body may be large. */
const fingerprints = new WeakMap<BackendRequest, string>();

/**
 * Returns a fingerprint of what makes a request the same as another, whoever
 * sends it and under whichever id.
 */
export function getFingerprint(req: BackendRequest): string {
  const known = fingerprints.get(req);
  if (known !== undefined) return known;
  const hostIndex = req.headers.findIndex((name, index) =>
    index % 2 === 0 && name.toLowerCase() === "host"
  );
  const host = hostIndex < 0 ? "" : req.headers[hostIndex + 1] ?? "";
  const fingerprint = getDigestHex(req.method, host, req.target, req.body);
  fingerprints.set(req, fingerprint);
  return fingerprint;
}
