/**
 * Finds out whether this host is cut off from all backend servers. Connections that
 * fail at several servers, with none that succeeds since, are the first sign; probes
 * of some servers confirm it. A probe opens a connection and sends nothing, so no
 * request has to fail for it, neither to find the cut nor its end.
 */
import type { Clock } from "../sys/clock.ts";
import { type ConnectProbe } from "../sys/connect_probe.ts";
import type { Log } from "../sys/log.ts";
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
/** Whether one host reaches backend servers. */
export declare class ServerReachability {
  #private;
  constructor(options: ServerReachabilityOptions);
  /** Whether this host reaches no backend server. */
  get isCutOff(): boolean;
  close(): void;
  /** Records that a new connection to a server was made. */
  recordConnected(): void;
  /** Records that no connection could be made, or that a server is silent. */
  recordUnreachable(server: string): void;
}
export {};
