/**
 * Tests whether a process listens on an address, by opening a connection and
 * closing it at once.
 */
import { connect } from "node:net";
import type { Clock } from "./clock.ts";
import { tryParseTarget } from "./http.ts";

/** Results of a probe. */
export const ProbeResult = {
  connected: "connected",
  /** No process listens on the address. */
  refused: "refused",
  /** A process listens there and reset the connection, such as one too many. */
  reset: "reset",
  /**
   * Nothing answered: the host may be down, the network partitioned, or the
   * address none.
   */
  silent: "silent",
} as const;

/** One of {@linkcode ProbeResult}. */
export type ProbeResult = typeof ProbeResult[keyof typeof ProbeResult];

/** Results of the errors that an answer of the other side causes. */
const RESULTS_OF_ERRORS = new Map<string | undefined, ProbeResult>([
  ["ECONNREFUSED", ProbeResult.refused],
  ["ECONNRESET", ProbeResult.reset],
]);

const PROBE_TIMEOUT_MS = 300;

/** Time during which the result of a probe is reused, in milliseconds. */
const PROBE_TTL_MS = 200;

interface Probe {
  readonly sentMs: number;
  readonly result: Promise<ProbeResult>;
}

/** Probes addresses, each at most once at a time. */
export class ConnectProbe {
  readonly #clock: Clock;
  readonly #isPartitioned: (address: string) => boolean;
  readonly #probes = new Map<string, Probe>();
  /** Probes in progress whose results nothing before them may use. */
  readonly #probesAnew = new Map<string, Promise<ProbeResult>>();
  /** Probes that begin once those in progress have ended. */
  readonly #nextProbes = new Map<string, Promise<ProbeResult>>();

  /** `isPartitioned` simulates addresses that nothing reaches. */
  constructor(
    clock: Clock,
    isPartitioned: (address: string) => boolean = () => false,
  ) {
    this.#clock = clock;
    this.#isPartitioned = isPartitioned;
  }

  probe(address: string): Promise<ProbeResult> {
    const nowMs = this.#clock.getMonotonicMs();
    this.#probes.forEach((probe, key) => {
      if (nowMs - probe.sentMs >= PROBE_TTL_MS) this.#probes.delete(key);
    });
    const known = this.#probes.get(address);
    if (known !== undefined) return known.result;
    const result = this.#connect(address);
    this.#probes.set(address, { sentMs: nowMs, result });
    return result;
  }

  /**
   * Probes an address after this call began, whatever is known of it. Calls that
   * wait for a probe in progress share the next one.
   */
  probeAnew(address: string): Promise<ProbeResult> {
    const waiting = this.#nextProbes.get(address);
    if (waiting !== undefined) return waiting;
    const running = this.#probesAnew.get(address);
    if (running === undefined) return this.#startAnew(address);
    const next = running.then(() => {
      this.#nextProbes.delete(address);
      return this.#startAnew(address);
    });
    this.#nextProbes.set(address, next);
    return next;
  }

  #startAnew(address: string): Promise<ProbeResult> {
    const result = this.#connect(address).finally(() =>
      this.#probesAnew.delete(address)
    );
    this.#probesAnew.set(address, result);
    return result;
  }

  #connect(address: string): Promise<ProbeResult> {
    if (this.#isPartitioned(address)) {
      return this.#clock.delay(PROBE_TIMEOUT_MS).then(() => ProbeResult.silent);
    }
    const target = tryParseTarget(address);
    if (target === undefined) return Promise.resolve(ProbeResult.silent);
    return new Promise((resolve) => {
      const socket = connect(target);
      const settle = (result: ProbeResult) => {
        timer.cancel();
        socket.destroy();
        resolve(result);
      };
      const timer = this.#clock.startTimer(
        PROBE_TIMEOUT_MS,
        () => settle(ProbeResult.silent),
      );
      socket.on("connect", () => settle(ProbeResult.connected));
      socket.on("error", (error: NodeJS.ErrnoException) => {
        settle(RESULTS_OF_ERRORS.get(error.code) ?? ProbeResult.silent);
      });
    });
  }
}
