/**
 * Detects whether a backend server crashed while it ran a request, and records
 * a suspicion against the requests that were in flight and, if an answer had not
 * begun, against the parts of its prompt.
 */
import type { BackendServer, FleetView } from "../../membership/mod.ts";
import type { Suspicion } from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { AnswerEndCheck } from "../../sys/answer_end_check.ts";
import { ConnectProbe, ProbeResult } from "../../sys/connect_probe.ts";
import type { Log } from "../../sys/log.ts";
import type { PromptPartGuard } from "../common/prompt_part_guard.ts";
import type { Placement } from "./placement.ts";

/** Detects crashes of backend servers on behalf of one entry. */
export class CrashDetector {
  readonly #view: FleetView;
  readonly #clock: Clock;
  readonly #onSuspicionChange: (suspicion: Suspicion) => void;
  readonly #promptPartGuard: PromptPartGuard;
  readonly #probe: ConnectProbe;
  readonly #answerEndCheck: AnswerEndCheck;

  constructor(options: {
    view: FleetView;
    clock: Clock;
    log: Log;
    onSuspicionChange: (suspicion: Suspicion) => void;
    promptPartGuard: PromptPartGuard;
  }) {
    this.#view = options.view;
    this.#clock = options.clock;
    this.#promptPartGuard = options.promptPartGuard;
    this.#probe = new ConnectProbe(options.clock);
    this.#answerEndCheck = new AnswerEndCheck({
      probe: this.#probe,
      log: options.log,
    });
    this.#onSuspicionChange = options.onSuspicionChange;
  }

  /**
   * Records that the connection to a server, or its lease, ended during a request.
   * If the server is down or has restarted, the request becomes a suspect, and so do the
   * parts of its prompt in `unproven`.
   */
  async recordConnectionLoss(
    fingerprint: string,
    placement: Placement,
    unproven: { request: string; parts: readonly string[] } | undefined =
      undefined,
  ): Promise<void> {
    const { server, incarnation } = placement;
    const isDown = await this.#isServerDown(server);
    const hasRestarted = server.announcement.incarnation > incarnation;
    if (!isDown && !hasRestarted) return;
    const nowMs = this.#clock.getMonotonicMs();
    const crashId = `${server.name}/${incarnation}`;
    this.#onSuspicionChange(
      this.#view.suspicions.record(fingerprint, crashId, nowMs),
    );
    this.#promptPartGuard.recordCrash(unproven?.parts ?? [], {
      serverStart: crashId,
      request: unproven?.request ?? "",
    });
  }

  /**
   * Whether the server of an answer to `requestId` that ended with its connection
   * is still there, and has not been started again.
   */
  async isServerThere(
    { server, incarnation }: Placement,
    requestId: string,
  ): Promise<boolean> {
    const isThere = await this.#answerEndCheck.isSenderThere({
      requestId,
      sender: server.name,
      address: server.announcement.address,
    });
    return isThere && server.announcement.incarnation <= incarnation;
  }

  /** Clears a suspicion: the request finished without crashing its server. */
  recordSuccess(fingerprint: string): void {
    if (!this.#view.suspicions.isSuspect(fingerprint)) return;
    const update = this.#view.suspicions.tryClear(fingerprint);
    if (update !== undefined) this.#onSuspicionChange(update);
  }

  async #isServerDown(server: BackendServer): Promise<boolean> {
    // A server whose lease has ended is not known any more.
    const { address } =
      (this.#view.backends.tryGet(server.name) ?? server).announcement;
    return await this.#probe.probe(address) !== ProbeResult.connected;
  }
}
