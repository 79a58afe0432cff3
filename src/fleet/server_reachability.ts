/**
 * Finds out whether this host is cut off from all backend servers. Connections that
 * fail at several servers, with none that succeeds since, are the first sign; probes
 * of some servers confirm it. A probe opens a connection and sends nothing, so no
 * request has to fail for it, neither to find the cut nor its end.
 */
import type { Clock, Timer } from "../sys/clock.ts";
import { type ConnectProbe, ProbeResult } from "../sys/connect_probe.ts";
import type { Log } from "../sys/log.ts";
import { logRejection } from "../sys/unexpected_errors.ts";

/** A backend server that can be probed. */
interface ProbedServer {
  readonly id: string;
  readonly address: string;
}

/** Options of a {@linkcode ServerReachability}. */
export interface ServerReachabilityOptions {
  /** Returns the servers that accept requests, by what they said of themselves. */
  readonly getServers: () => readonly ProbedServer[];
  readonly probe: ConnectProbe;
  readonly clock: Clock;
  readonly log: Log;
  /** Called when this host is cut off, and when it no longer is. */
  readonly onChange?: (isCutOff: boolean) => void;
}

/**
 * Servers that must be out of reach before probes are sent; all of them if there
 * are fewer.
 */
const MIN_UNREACHABLE_SERVERS = 3;

/** Servers that are probed at a time. */
const PROBED_SERVERS = 3;

/** Interval between probes while this host is cut off, in milliseconds. */
const PROBE_INTERVAL_MS = 250;

/**
 * Time for which no probes are sent after some have shown that servers are within
 * reach, in milliseconds.
 */
const REFUTED_BACKOFF_MS = 1_000;

/** Whether one host reaches backend servers. */
export class ServerReachability {
  readonly #options: ServerReachabilityOptions;
  /** Servers out of reach, since the last connection that succeeded. */
  readonly #unreachable = new Set<string>();
  #isCutOff = false;
  #isProbing = false;
  #refutedUntilMs = -Infinity;
  /** Position in the list of servers from which the next ones are probed. */
  #nextProbed = 0;
  #cutOffSinceMs = 0;
  #probeTimer: Timer | undefined;

  constructor(options: ServerReachabilityOptions) {
    this.#options = options;
  }

  /** Whether this host reaches no backend server. */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  close(): void {
    this.#probeTimer?.cancel();
  }

  /** Records that a new connection to a server was made. */
  recordConnected(): void {
    this.#unreachable.clear();
    if (this.#isCutOff) this.#setCutOff(false);
  }

  /** Records that no connection could be made, or that a server is silent. */
  recordUnreachable(server: string): void {
    if (this.#isCutOff) return;
    this.#unreachable.add(server);
    const needed = Math.min(
      MIN_UNREACHABLE_SERVERS,
      this.#options.getServers().length,
    );
    if (needed > 0 && this.#unreachable.size >= needed) this.#confirm();
  }

  /** Probes servers; if none is within reach, this host is cut off. */
  #confirm(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    if (this.#isProbing || nowMs < this.#refutedUntilMs) return;
    const confirmed = this.#probeServers().then((isReached) => {
      if (isReached) {
        this.#refutedUntilMs = this.#options.clock.getMonotonicMs() +
          REFUTED_BACKOFF_MS;
        this.recordConnected();
      } else if (this.#unreachable.size > 0) this.#setCutOff(true);
    });
    logRejection(confirmed, this.#options.log, "probes of servers");
  }

  #setCutOff(isCutOff: boolean): void {
    const { clock, log, onChange = () => {} } = this.#options;
    if (isCutOff === this.#isCutOff) return;
    this.#isCutOff = isCutOff;
    const nowMs = clock.getMonotonicMs();
    if (isCutOff) {
      this.#cutOffSinceMs = nowMs;
      log.warn("backend_servers_unreachable", {
        failed: [...this.#unreachable].join(),
        known: this.#options.getServers().length,
      });
      this.#probeTimer = clock.startInterval(
        PROBE_INTERVAL_MS,
        () => this.#probeForEnd(),
      );
    } else {
      this.#probeTimer?.cancel();
      log.info("backend_servers_reached", {
        after_ms: Math.round(nowMs - this.#cutOffSinceMs),
      });
    }
    onChange(isCutOff);
  }

  #probeForEnd(): void {
    if (this.#isProbing) return;
    const probed = this.#probeServers().then((isReached) => {
      if (isReached && this.#isCutOff) this.recordConnected();
    });
    logRejection(probed, this.#options.log, "probes of servers");
  }

  /** Whether one of the servers whose turn it is accepts a connection. */
  async #probeServers(): Promise<boolean> {
    const servers = this.#options.getServers();
    const count = Math.min(PROBED_SERVERS, servers.length);
    const probed = Array.from(
      { length: count },
      (_, index) => servers[(this.#nextProbed + index) % servers.length],
    );
    this.#nextProbed += count;
    this.#isProbing = true;
    try {
      const results = await Promise.all(
        probed.map((server) =>
          this.#options.probe.probe(server?.address ?? "")
        ),
      );
      return results.includes(ProbeResult.connected);
    } finally {
      this.#isProbing = false;
    }
  }
}
