/**
 * Keeps an entry's configuration current: follows the replicated state, asks
 * neighbours, and keeps the last known one in a folder where there is one. An
 * entry that restarts in a data centre that is cut off starts from those.
 */
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { FleetView } from "../../membership/mod.ts";
import {
  type Configuration,
  ConfigurationSchema,
  Entries,
  type ViewUpdate,
} from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { getReason } from "../../sys/errors.ts";
import type { Folder } from "../../sys/files.ts";
import type { Log } from "../../sys/log.ts";
import {
  type Channel,
  createSlidingChannel,
  type Routine,
  send,
  settle,
  sleep,
  spawnRoutine,
  tryReceiveWithTimeout,
} from "../../sys/routines.ts";
import { RpcClientPool, type RpcCredentials } from "../../sys/rpc.ts";
import type { StateClient } from "../common/state_client.ts";

/** How a {@linkcode ViewFollower} is made. */
export interface ViewFollowerOptions {
  readonly entryId: string;
  readonly view: FleetView;
  readonly state: StateClient;
  /** Entries that settings name. */
  readonly neighbours: readonly string[];
  readonly cache: Folder | undefined;
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
  readonly log: Log;
  readonly onChanged: () => void;
}

const CACHE_FILE = "configuration";
const RECONNECT_MS = 200;

/** Time after which another state host is followed, in milliseconds. */
const REFRESH_MS = 15_000;

/** Time between questions to a neighbour, in milliseconds. */
const NEIGHBOUR_MS = 1_000;
const NEIGHBOUR_TIMEOUT_MS = 800;

/** Follows the configuration for one entry. */
export class ViewFollower {
  readonly #options: ViewFollowerOptions;
  readonly #clients: RpcClientPool;
  #turn = 0;
  #closed = false;
  #saving: Promise<void> = Promise.resolve();

  constructor(options: ViewFollowerOptions) {
    this.#options = options;
    this.#clients = new RpcClientPool(options.credentials);
  }

  /** Reads the folder and asks the neighbours once, then follows. */
  async start(): Promise<void> {
    await this.#readCache();
    const asked = this.#getNeighbours().map((one) => this.#ask(one, true));
    await Promise.allSettled(asked);
    const onError = (error: unknown) =>
      this.#options.log.error("follower_failed", { reason: getReason(error) });
    spawnRoutine(() => this.#followAlways(), onError);
    spawnRoutine(() => this.#askAlways(), onError);
  }

  close(): void {
    this.#closed = true;
    this.#clients.close();
  }

  *#followAlways(): Routine<void> {
    while (!this.#closed) {
      yield* this.#followOnce();
      yield* sleep(this.#options.clock, RECONNECT_MS);
    }
  }

  /** Follows one state host until the stream ends or it is time for another. */
  *#followOnce(): Routine<void> {
    const { view, state, entryId, clock } = this.#options;
    const ended: Channel<boolean> = createSlidingChannel(1);
    const stream = state.watch({
      entry: entryId,
      version: view.configuration.version,
      entriesVersion: BigInt(view.entriesVersion),
    }, {
      update: (update) => this.#accept(update),
      end: () => send(ended, true),
    });
    yield* tryReceiveWithTimeout(ended, clock, REFRESH_MS);
    stream.cancel();
  }

  *#askAlways(): Routine<void> {
    while (!this.#closed) {
      yield* sleep(this.#options.clock, NEIGHBOUR_MS);
      const neighbours = this.#getNeighbours();
      const next = neighbours[this.#turn % Math.max(1, neighbours.length)];
      this.#turn += 1;
      if (next !== undefined && !this.#closed) {
        yield* settle(this.#ask(next, false));
      }
    }
  }

  #getNeighbours(): string[] {
    const { view, neighbours, entryId } = this.#options;
    const known = view.entries.filter((entry) => entry.id !== entryId)
      .map((entry) => entry.address);
    return [...new Set([...neighbours, ...known])];
  }

  async #ask(address: string, whole: boolean): Promise<void> {
    const client = this.#clients.get(address);
    const { view, clock } = this.#options;
    const reply = await client.call(Entries.method.getView, {
      version: view.configuration.version,
      entriesVersion: BigInt(view.entriesVersion),
      whole,
    }, { timeoutMs: NEIGHBOUR_TIMEOUT_MS });
    if (reply.configuration) this.#acceptConfiguration(reply.configuration);
    const nowMs = clock.getMonotonicMs();
    if (reply.entries.length > 0) {
      view.acceptEntries(reply.entries, Number(reply.entriesVersion));
    }
    reply.announcements.forEach((one) => view.backends.accept(one, nowMs));
    reply.suspicions.forEach((one) => view.suspicions.merge(one, nowMs));
  }

  #accept(update: ViewUpdate): void {
    const { view } = this.#options;
    if (update.configuration) this.#acceptConfiguration(update.configuration);
    const version = Number(update.entriesVersion);
    if (view.acceptEntries(update.entries, version)) this.#options.onChanged();
  }

  #acceptConfiguration(configuration: Configuration): void {
    const { view, log, onChanged } = this.#options;
    if (!view.acceptConfiguration(configuration)) return;
    log.info("configuration_in_force", {
      version: Number(configuration.version),
      order: configuration.lastOrderId,
    });
    this.#save(configuration);
    onChanged();
  }

  #save(configuration: Configuration): void {
    const { cache, log } = this.#options;
    if (cache === undefined) return;
    const bytes = toBinary(ConfigurationSchema, configuration);
    this.#saving = this.#saving
      .then(() => cache.replace(CACHE_FILE, bytes))
      .catch((error) =>
        log.warn("cache_not_written", { reason: getReason(error) })
      );
  }

  async #readCache(): Promise<void> {
    const { cache, log } = this.#options;
    const bytes = await cache?.tryRead(CACHE_FILE);
    if (bytes === undefined) return;
    try {
      this.#acceptConfiguration(fromBinary(ConfigurationSchema, bytes));
    } catch (error) {
      log.warn("cache_not_read", { reason: getReason(error) });
    }
  }
}
