/**
 * Subscribes to the updates of all control hosts at once, so that the failure of
 * one host doesn't delay updates. For each host, a routine opens the stream,
 * reopens it when it ends or times out, and stops when the host has left the
 * fleet.
 */
import { create } from "@bufbuild/protobuf";
import {
  Fleet,
  type FleetUpdate,
  HostRole,
  type PromptPartSuspicion,
  type ServerLimit,
  type ServerStart,
  ServerStartSchema,
  type Suspicion,
} from "../schema/mod.ts";
import { getServerStart } from "../membership/mod.ts";
import type { Clock, Timer } from "../sys/clock.ts";
import { getReason, type ServingError } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import {
  createSlidingChannel,
  type Routine,
  send,
  sleep,
  spawnRoutine,
  tryReceiveWithTimeout,
} from "../sys/routines.ts";
import { RpcClient, type RpcCredentials } from "../sys/rpc.ts";
import type { RoutingView } from "./routing_view.ts";

/** Options of a {@linkcode FleetFollower}. */
export interface FleetFollowerOptions {
  readonly name: string;
  readonly view: RoutingView;
  /** Addresses of control hosts to connect to initially. */
  readonly seeds: readonly string[];
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
  readonly log: Log;
}

/**
 * Interval at which a control host sends updates even without changes, in
 * milliseconds.
 */
export const UPDATE_INTERVAL_MS = 1_000;

/**
 * Time without an update after which a stream is considered dead, in
 * milliseconds: more than two update intervals.
 */
const STREAM_TIMEOUT_MS = 2_500;

/** Delay before a stream is reopened, in milliseconds. */
const REOPEN_MS = 200;

/**
 * The same delay for a seed that is not registered although other control hosts
 * are, in milliseconds. It may have been replaced for good.
 */
const UNREGISTERED_SEED_REOPEN_MS = 2_000;

/** Events buffered for one routine; the oldest are dropped on overflow. */
const EVENT_BUFFER_SIZE = 8;

/**
 * Time for which findings are collected before they are sent, in milliseconds:
 * all requests of a crashed server fail at once.
 */
const REPORT_DELAY_MS = 10;

/** Timeout of a report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000;

type StreamEvent = "update" | "ended";

/** A control host whose stream is open. */
interface FollowedHost {
  readonly client: RpcClient;
  /** Whether it has been sent all that this process has found out. */
  isInformed: boolean;
}

/** Follows the updates of all control hosts. */
export class FleetFollower {
  readonly #options: FleetFollowerOptions;
  readonly #followedAddresses = new Set<string>();
  readonly #lostAddresses = new Set<string>();
  /** Hosts that have sent an update on their current stream, by address. */
  readonly #connectedHosts = new Map<string, FollowedHost>();
  readonly #pendingSuspicions = new Map<string, Suspicion>();
  readonly #pendingPromptParts = new Map<string, PromptPartSuspicion>();
  #pendingLeaving: ServerStart[] = [];
  /** Servers whose limit has changed, by start. */
  readonly #pendingLimits = new Map<string, ServerStart>();
  #reportTimer: Timer | undefined;
  #seeds: readonly string[];
  #closed = false;

  constructor(options: FleetFollowerOptions) {
    this.#options = options;
    this.#seeds = options.seeds;
  }

  /** Replaces the initial addresses of control hosts. */
  setSeeds(seeds: readonly string[]): void {
    this.#seeds = seeds;
    this.#followAll();
  }

  start(): void {
    this.#followAll();
    this.#options.view.onChange(() => this.#followAll());
  }

  close(): void {
    this.#closed = true;
    this.#reportTimer?.cancel();
  }

  /** Sends a suspicion to all control hosts, which pass it on. */
  reportSuspicion(suspicion: Suspicion): void {
    this.#pendingSuspicions.set(suspicion.fingerprint, suspicion);
    this.#scheduleReport();
  }

  /** Sends what is known of a part of prompts to all control hosts. */
  reportPromptPart(suspicion: PromptPartSuspicion): void {
    this.#pendingPromptParts.set(suspicion.part, suspicion);
    this.#scheduleReport();
  }

  /** Sends to all control hosts that a server leaves; they pass it on. */
  reportLeaving({ id, bornMs }: { id: string; bornMs: bigint }): void {
    this.#pendingLeaving.push(create(ServerStartSchema, { id, bornMs }));
    this.#scheduleReport();
  }

  /** Sends the limit that a server named, or that it names none any more. */
  reportLimit({ id, bornMs }: { id: string; bornMs: bigint }): void {
    const server = create(ServerStartSchema, { id, bornMs });
    this.#pendingLimits.set(getServerStart(server), server);
    this.#scheduleReport();
  }

  #scheduleReport(): void {
    this.#reportTimer ??= this.#options.clock.startTimer(
      REPORT_DELAY_MS,
      () => {
        this.#reportTimer = undefined;
        const report = {
          suspicions: [...this.#pendingSuspicions.values()],
          leaving: this.#pendingLeaving,
          promptParts: [...this.#pendingPromptParts.values()],
          limits: this.#getPendingLimits(),
        };
        this.#pendingSuspicions.clear();
        this.#pendingPromptParts.clear();
        this.#pendingLimits.clear();
        this.#pendingLeaving = [];
        this.#connectedHosts.forEach((host, address) =>
          this.#sendReport(address, host, report)
        );
      },
    );
  }

  #getPendingLimits(): ServerLimit[] {
    const { view, clock } = this.#options;
    const nowMs = clock.getMonotonicMs();
    return [...this.#pendingLimits.values()]
      .map((server) => view.limits.getUpdate(server, nowMs));
  }

  /** Sends a host what this process found out while it was not connected. */
  #sendAll(address: string, host: FollowedHost): void {
    const { view, clock } = this.#options;
    host.isInformed = true;
    const leaving = view.servers.getAll()
      .filter((server) => view.servers.isLeaving(server))
      .map(({ id, bornMs }) => create(ServerStartSchema, { id, bornMs }));
    const nowMs = clock.getMonotonicMs();
    const suspicions = view.suspicions.getAll(nowMs);
    const promptParts = view.promptParts.getAll(nowMs);
    const limits = view.limits.getAll(nowMs);
    const report = { suspicions, leaving, promptParts, limits };
    if (Object.values(report).every((list) => list.length === 0)) return;
    this.#sendReport(address, host, report);
  }

  #sendReport(
    address: string,
    host: FollowedHost,
    report: {
      suspicions: Suspicion[];
      leaving: ServerStart[];
      promptParts: PromptPartSuspicion[];
      limits: ServerLimit[];
    },
  ): void {
    host.client.call(Fleet.method.report, report, {
      timeoutMs: REPORT_TIMEOUT_MS,
    }).catch((error) => {
      host.isInformed = false;
      this.#options.log.warn("findings_not_reported", {
        address,
        suspicions: report.suspicions.length,
        leaving: report.leaving.length,
        prompt_parts: report.promptParts.length,
        limits: report.limits.length,
        reason: getReason(error),
      });
    });
  }

  /**
   * Returns the addresses to follow: the registered control hosts and the seeds.
   * An early list of hosts may lack every member of the group, and only members
   * know the group's state.
   */
  getAddresses(): string[] {
    return [...new Set([...this.#getRegisteredAddresses(), ...this.#seeds])];
  }

  #getRegisteredAddresses(): string[] {
    return this.#options.view.getAddresses(HostRole.CONTROL);
  }

  #getReopenMs(address: string): number {
    const registered = this.#getRegisteredAddresses();
    return registered.length === 0 || registered.includes(address)
      ? REOPEN_MS
      : UNREGISTERED_SEED_REOPEN_MS;
  }

  #followAll(): void {
    this.getAddresses()
      .filter((address) => !this.#followedAddresses.has(address))
      .forEach((address) => {
        this.#followedAddresses.add(address);
        spawnRoutine(() => this.#follow(address), (error) => {
          this.#options.log.error("follower_failed", {
            address,
            reason: getReason(error),
          });
          this.#options.clock.startTimer(REOPEN_MS, () => {
            this.#followedAddresses.delete(address);
            if (!this.#closed) this.#followAll();
          });
        });
      });
  }

  /** Whether the updates from an address are to be followed. */
  #isWanted(address: string): boolean {
    return !this.#closed && this.getAddresses().includes(address);
  }

  *#follow(address: string): Routine<void> {
    while (this.#isWanted(address)) {
      const client = new RpcClient(address, this.#options.credentials);
      yield* this.#readStream(address, client);
      client.close();
      if (this.#isWanted(address)) {
        yield* sleep(this.#options.clock, this.#getReopenMs(address));
      }
    }
    this.#followedAddresses.delete(address);
    // The host may have rejoined the fleet while its stream was being closed.
    if (!this.#closed) this.#followAll();
  }

  /** Reads one stream until it ends or times out. */
  *#readStream(address: string, client: RpcClient): Routine<void> {
    const { view, clock } = this.#options;
    const events = createSlidingChannel<StreamEvent>(EVENT_BUFFER_SIZE);
    const host: FollowedHost = { client, isInformed: false };
    let reason = "silent";
    const stream = client.openStream(Fleet.method.follow, {
      routesVersion: view.routesVersion,
      follower: this.#options.name,
    }, {
      message: (update: FleetUpdate) => {
        view.applyUpdate(update, address)
          .forEach((suspicion) => this.reportPromptPart(suspicion));
        send(events, "update");
      },
      end: (error?: ServingError) => {
        reason = error === undefined ? "ended" : getReason(error);
        send(events, "ended");
      },
    });
    while (this.#isWanted(address)) {
      const event = yield* tryReceiveWithTimeout(
        events,
        clock,
        STREAM_TIMEOUT_MS,
      );
      if (event !== "update") break;
      this.#markRegained(address);
      this.#connectedHosts.set(address, host);
      if (!host.isInformed) this.#sendAll(address, host);
    }
    this.#connectedHosts.delete(address);
    stream.cancel();
    events.close();
    if (this.#isWanted(address)) this.#markLost(address, reason);
  }

  #markRegained(address: string): void {
    if (!this.#lostAddresses.delete(address)) return;
    this.#options.log.info("control_host_regained", { address });
  }

  #markLost(address: string, reason: string): void {
    if (this.#lostAddresses.has(address)) return;
    this.#lostAddresses.add(address);
    this.#options.log.warn("control_host_lost", { address, reason });
  }
}
