/**
 * Detects whether a backend server crashed while it ran a request, and records
 * a suspicion against the requests that were in flight.
 */
import type { FleetView } from "../../membership/mod.ts";
import { type Suspicion, Verdict } from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { HttpSendError, sendHttp } from "../../sys/http.ts";
import type { Placement } from "./placement.ts";

const PROBE_TIMEOUT_MS = 300;

/** Time during which the result of a probe is reused, in milliseconds. */
const PROBE_TTL_MS = 200;

interface Probe {
  readonly sentMs: number;
  readonly isDown: Promise<boolean>;
}

/** Detects crashes of backend servers on behalf of one entry. */
export class CrashDetector {
  readonly #view: FleetView;
  readonly #clock: Clock;
  readonly #onSuspicionChange: (suspicion: Suspicion) => void;
  readonly #probes = new Map<string, Probe>();

  constructor(options: {
    view: FleetView;
    clock: Clock;
    onSuspicionChange: (suspicion: Suspicion) => void;
  }) {
    this.#view = options.view;
    this.#clock = options.clock;
    this.#onSuspicionChange = options.onSuspicionChange;
  }

  /**
   * Records that the connection to a server was lost during a request. If the
   * server is down or has restarted, the request becomes a suspect.
   */
  async recordConnectionLoss(
    fingerprint: string,
    placement: Placement,
  ): Promise<void> {
    const { server, incarnation } = placement;
    const isDown = await this.#isServerDown(server.name);
    const hasRestarted = server.announcement.incarnation > incarnation;
    if (!isDown && !hasRestarted) return;
    const nowMs = this.#clock.getMonotonicMs();
    const crashId = `${server.name}/${incarnation}`;
    this.#onSuspicionChange(
      this.#view.suspicions.record(fingerprint, crashId, nowMs),
    );
  }

  /** Clears a suspicion: the request finished without crashing its server. */
  recordSuccess(fingerprint: string): void {
    if (!this.#view.suspicions.isSuspect(fingerprint)) return;
    const update = this.#view.suspicions.tryClear(fingerprint);
    if (update !== undefined) this.#onSuspicionChange(update);
  }

  #isServerDown(name: string): Promise<boolean> {
    const nowMs = this.#clock.getMonotonicMs();
    const known = this.#probes.get(name);
    if (known !== undefined && nowMs - known.sentMs < PROBE_TTL_MS) {
      return known.isDown;
    }
    const address = this.#view.backends.tryGet(name)?.announcement.address;
    const isDown = address === undefined
      ? Promise.resolve(false)
      : isUnreachable(address);
    this.#probes.set(name, { sentMs: nowMs, isDown });
    return isDown;
  }
}

/** Whether no connection to the address could be made for a health check. */
async function isUnreachable(address: string): Promise<boolean> {
  try {
    const response = await sendHttp({
      address,
      method: "GET",
      path: "/health",
      usesNewConnection: true,
      headersTimeoutMs: PROBE_TIMEOUT_MS,
    });
    response.body.resume();
    return false;
  } catch (error) {
    return error instanceof HttpSendError && error.verdict === Verdict.NOT_RUN;
  }
}
