/**
 * Connects a server pool with the speeds of its servers: what responses tell of them,
 * and what selection and admission need to know.
 */
import { LoadKind, type ServerSpeeds, TimeKind } from "../membership/mod.ts";
import { getServiceFactor } from "../policy/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { ResponseTimes } from "./response_timer.ts";
import type { PermitRequest, PoolServer, ServerPermit } from "./server_pool.ts";

/** Speeds of the servers of one pool. */
export class PoolSpeeds {
  readonly #speeds: ServerSpeeds;
  readonly #clock: Pick<Clock, "getMonotonicMs">;

  constructor(speeds: ServerSpeeds, clock: Pick<Clock, "getMonotonicMs">) {
    this.#speeds = speeds;
    this.#clock = clock;
  }

  /** Adds what is known of the speed of a server. */
  addSpeed(server: PoolServer, nowMs: number): PoolServer {
    const { id, bornMs } = server;
    return {
      ...server,
      slowdown: this.#speeds.getSlowdown(id, nowMs),
      speed: this.#speeds.getSpeed(id, bornMs),
    };
  }

  /** Records the slowdown that a server stated for itself. */
  recordSlowdown(server: string, slowdown: number): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#speeds.recordSlowdown(server, slowdown, nowMs);
  }

  /** Learns the speed of a server from the times of a response. */
  recordTimes(
    { server, service, kind }: ServerPermit,
    { firstMs, eventMs, slowdown }: ResponseTimes,
  ): void {
    if (service === undefined) return;
    const isOnline = kind === LoadKind.online;
    const { id, bornMs } = server;
    // Items have longer prompts than online requests of the service, and how long
    // their first event takes depends on where they continue.
    const group = isOnline ? service : `${service}/${LoadKind.batch}`;
    const sample = { server: id, bornMs, service: group, slowdown };
    if (isOnline) {
      this.#speeds.recordTime({ ...sample, kind: TimeKind.first, ms: firstMs });
    }
    if (eventMs !== undefined) {
      this.#speeds.recordTime({ ...sample, kind: TimeKind.event, ms: eventMs });
    }
  }

  /** Wait of a request relative to the usual time to the first event. */
  getRelativeWait({ service, waitedMs = 0 }: PermitRequest): number {
    if (waitedMs === 0) return 0;
    return waitedMs / this.#speeds.getUsualMs(service, TimeKind.first);
  }

  /**
   * Expected time from the start of a request at a server to its first event, in
   * milliseconds; undefined where the speeds of servers are unknown.
   */
  tryGetFirstMs(service: string, server: PoolServer): number | undefined {
    if (server.slowdown === undefined) return undefined;
    return this.#speeds.getUsualMs(service, TimeKind.first) *
      getServiceFactor(server);
  }
}

/** Speed of a server for a log line; nothing where it is unknown. */
export function describeSpeed(
  { slowdown, speed }: Pick<PoolServer, "slowdown" | "speed">,
): Record<string, number> {
  if (slowdown === undefined || speed === undefined) return {};
  return { slowdown, speed: Math.round(speed * 100) / 100 };
}

/** The same for the reason of a refusal. */
export function describeSlowness(
  server: Pick<PoolServer, "slowdown" | "speed">,
): string {
  return Object.entries(describeSpeed(server))
    .map(([name, value]) => `, ${name} ${value}`).join("");
}
