/**
 * Follows every control host, so that the loss of any of them delays nothing.
 * One routine a host opens the stream, opens it again when it ends or falls
 * silent, and stops when the host has left the fleet.
 */
import { Fleet, type FleetUpdate, HostRole } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
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

/** How a {@linkcode FleetFollower} is made. */
export interface FleetFollowerOptions {
  readonly name: string;
  readonly view: RoutingView;
  /** Addresses to begin with. */
  readonly seeds: readonly string[];
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
  readonly log: Log;
}

/** Time between two updates of a control host that has no news. */
export const UPDATE_INTERVAL_MS = 1_000;

/** Silence after which a stream counts as dead: two updates and some. */
const STREAM_TIMEOUT_MS = 2_500;

/** Pause before a stream is opened again, in milliseconds. */
const REOPEN_MS = 200;

/** Events kept for a routine that is slower than its stream. */
const EVENT_BUFFER_SIZE = 8;

type StreamEvent = "update" | "ended";

/** Streams from all control hosts. */
export class FleetFollower {
  readonly #options: FleetFollowerOptions;
  readonly #followed = new Set<string>();
  readonly #lostHosts = new Set<string>();
  #seeds: readonly string[];
  #closed = false;

  constructor(options: FleetFollowerOptions) {
    this.#options = options;
    this.#seeds = options.seeds;
  }

  /** Takes other addresses to begin with. */
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
  }

  /**
   * The addresses to follow: the registered control hosts, and the seeds too
   * while fewer than those have registered.
   */
  getAddresses(): string[] {
    const known = this.#options.view.getAddresses(HostRole.CONTROL);
    return known.length < this.#seeds.length
      ? [...new Set([...known, ...this.#seeds])]
      : known;
  }

  #followAll(): void {
    this.getAddresses()
      .filter((address) => !this.#followed.has(address))
      .forEach((address) => {
        this.#followed.add(address);
        spawnRoutine(() => this.#follow(address), (error) => {
          this.#options.log.error("follower_failed", {
            address,
            reason: getReason(error),
          });
          this.#followed.delete(address);
        });
      });
  }

  #isWanted(address: string): boolean {
    return !this.#closed && this.getAddresses().includes(address);
  }

  *#follow(address: string): Routine<void> {
    while (this.#isWanted(address)) {
      const client = new RpcClient(address, this.#options.credentials);
      yield* this.#readStream(address, client);
      client.close();
      if (this.#isWanted(address)) yield* sleep(this.#options.clock, REOPEN_MS);
    }
    this.#followed.delete(address);
    // It may have come back to the fleet while its stream was ending.
    if (!this.#closed) this.#followAll();
  }

  /** Reads one stream until it ends or falls silent. */
  *#readStream(address: string, client: RpcClient): Routine<void> {
    const { view, clock } = this.#options;
    const events = createSlidingChannel<StreamEvent>(EVENT_BUFFER_SIZE);
    let reason = "silent";
    const stream = client.openStream(Fleet.method.follow, {
      routesVersion: view.routesVersion,
      follower: this.#options.name,
    }, {
      message: (update: FleetUpdate) => {
        view.applyUpdate(update, address);
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
    }
    stream.cancel();
    events.close();
    if (this.#isWanted(address)) this.#markLost(address, reason);
  }

  #markRegained(address: string): void {
    if (!this.#lostHosts.delete(address)) return;
    this.#options.log.info("control_host_regained", { address });
  }

  #markLost(address: string, reason: string): void {
    if (this.#lostHosts.has(address)) return;
    this.#lostHosts.add(address);
    this.#options.log.warn("control_host_lost", { address, reason });
  }
}
