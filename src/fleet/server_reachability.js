import { ProbeResult } from "../sys/connect_probe.js";
import { logRejection } from "../sys/unexpected_errors.js";
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
    #options;
    /** Servers out of reach, since the last connection that succeeded. */
    #unreachable = new Set();
    #isCutOff = false;
    #isProbing = false;
    #refutedUntilMs = -Infinity;
    /** Position in the list of servers from which the next ones are probed. */
    #nextProbed = 0;
    #cutOffSinceMs = 0;
    #probeTimer;
    constructor(options) {
        this.#options = options;
    }
    /** Whether this host reaches no backend server. */
    get isCutOff() {
        return this.#isCutOff;
    }
    close() {
        this.#probeTimer?.cancel();
    }
    /** Records that a new connection to a server was made. */
    recordConnected() {
        this.#unreachable.clear();
        if (this.#isCutOff)
            this.#setCutOff(false);
    }
    /** Records that no connection could be made, or that a server is silent. */
    recordUnreachable(server) {
        if (this.#isCutOff)
            return;
        this.#unreachable.add(server);
        const needed = Math.min(MIN_UNREACHABLE_SERVERS, this.#options.getServers().length);
        if (needed > 0 && this.#unreachable.size >= needed)
            this.#confirm();
    }
    /** Probes servers; if none is within reach, this host is cut off. */
    #confirm() {
        const nowMs = this.#options.clock.getMonotonicMs();
        if (this.#isProbing || nowMs < this.#refutedUntilMs)
            return;
        const confirmed = this.#probeServers().then((isReached) => {
            if (isReached) {
                this.#refutedUntilMs = this.#options.clock.getMonotonicMs() +
                    REFUTED_BACKOFF_MS;
                this.recordConnected();
            }
            else if (this.#unreachable.size > 0)
                this.#setCutOff(true);
        });
        logRejection(confirmed, this.#options.log, "probes of servers");
    }
    #setCutOff(isCutOff) {
        const { clock, log, onChange = () => { } } = this.#options;
        if (isCutOff === this.#isCutOff)
            return;
        this.#isCutOff = isCutOff;
        const nowMs = clock.getMonotonicMs();
        if (isCutOff) {
            this.#cutOffSinceMs = nowMs;
            log.warn("backend_servers_unreachable", {
                failed: [...this.#unreachable].join(),
                known: this.#options.getServers().length,
            });
            this.#probeTimer = clock.startInterval(PROBE_INTERVAL_MS, () => this.#probeForEnd());
        }
        else {
            this.#probeTimer?.cancel();
            log.info("backend_servers_reached", {
                after_ms: Math.round(nowMs - this.#cutOffSinceMs),
            });
        }
        onChange(isCutOff);
    }
    #probeForEnd() {
        if (this.#isProbing)
            return;
        const probed = this.#probeServers().then((isReached) => {
            if (isReached && this.#isCutOff)
                this.recordConnected();
        });
        logRejection(probed, this.#options.log, "probes of servers");
    }
    /** Whether one of the servers whose turn it is accepts a connection. */
    async #probeServers() {
        const servers = this.#options.getServers();
        const count = Math.min(PROBED_SERVERS, servers.length);
        const probed = Array.from({ length: count }, (_, index) => servers[(this.#nextProbed + index) % servers.length]);
        this.#nextProbed += count;
        this.#isProbing = true;
        try {
            const results = await Promise.all(probed.map((server) => this.#options.probe.probe(server?.address ?? "")));
            return results.includes(ProbeResult.connected);
        }
        finally {
            this.#isProbing = false;
        }
    }
}
//# sourceMappingURL=server_reachability.js.map