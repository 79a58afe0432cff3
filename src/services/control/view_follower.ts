/**
 * Keeps an entry's configuration current: watches the replicated state, polls
 * the other entries, and caches the last known configuration in a folder if one
 * is set. An entry that restarts in a data centre that is cut off from the
 * network starts from the cache and its peers.
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

/** Options of a {@linkcode ViewFollower}. */
export interface ViewFollowerOptions {
  readonly entryId: string;
  readonly view: FleetView;
  readonly state: StateClient;
  /** Addresses of the entries that the settings list. */
  readonly seedAddresses: readonly string[];
  readonly cache: Folder | undefined;
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
  readonly log: Log;
  readonly onChanged: () => void;
}

const CACHE_FILE = "configuration";
const RECONNECT_DELAY_MS = 200;

/** Time after which the watch moves to another state host, in milliseconds. */
const HOST_ROTATION_INTERVAL_MS = 15_000;

/** Interval between polls in milliseconds. Each polls the next peer. */
const PEER_POLL_INTERVAL_MS = 1_000;
const PEER_POLL_TIMEOUT_MS = 800;

/** Keeps the view of one entry current. */
export class ViewFollower {
  readonly #options: ViewFollowerOptions;
  readonly #clients: RpcClientPool;
  #nextPeerIndex = 0;
  #closed = false;
  #lastCacheWrite: Promise<void> = Promise.resolve();

  constructor(options: ViewFollowerOptions) {
    this.#options = options;
    this.#clients = new RpcClientPool(options.credentials);
  }

  /** Reads the cache, polls every peer once, then starts watching and polling. */
  async start(): Promise<void> {
    await this.#readCache();
    const polls = this.#getPeerAddresses().map((address) =>
      this.#pollPeer(address, true)
    );
    await Promise.allSettled(polls);
    const onError = (error: unknown) =>
      this.#options.log.error("follower_failed", { reason: getReason(error) });
    spawnRoutine(() => this.#runWatchLoop(), onError);
    spawnRoutine(() => this.#runPollLoop(), onError);
  }

  close(): void {
    this.#closed = true;
    this.#clients.close();
  }

  *#runWatchLoop(): Routine<void> {
    while (!this.#closed) {
      yield* this.#watchOneHost();
      yield* sleep(this.#options.clock, RECONNECT_DELAY_MS);
    }
  }

  /** Watches a state host until the stream ends or the interval has passed. */
  *#watchOneHost(): Routine<void> {
    const { view, state, entryId, clock } = this.#options;
    const streamEnd: Channel<boolean> = createSlidingChannel(1);
    const stream = state.watch({
      entry: entryId,
      version: view.configuration.version,
      entriesVersion: BigInt(view.entriesVersion),
    }, {
      update: (update) => this.#applyUpdate(update),
      end: () => send(streamEnd, true),
    });
    yield* tryReceiveWithTimeout(streamEnd, clock, HOST_ROTATION_INTERVAL_MS);
    stream.cancel();
  }

  *#runPollLoop(): Routine<void> {
    while (!this.#closed) {
      yield* sleep(this.#options.clock, PEER_POLL_INTERVAL_MS);
      const peers = this.#getPeerAddresses();
      const next = peers[this.#nextPeerIndex % Math.max(1, peers.length)];
      this.#nextPeerIndex += 1;
      if (next !== undefined && !this.#closed) {
        yield* settle(this.#pollPeer(next, false));
      }
    }
  }

  #getPeerAddresses(): string[] {
    const { view, seedAddresses, entryId } = this.#options;
    const registered = view.entries.filter((entry) => entry.id !== entryId)
      .map((entry) => entry.address);
    return [...new Set([...seedAddresses, ...registered])];
  }

  async #pollPeer(address: string, whole: boolean): Promise<void> {
    const client = this.#clients.get(address);
    const { view, clock } = this.#options;
    const reply = await client.call(Entries.method.getView, {
      version: view.configuration.version,
      entriesVersion: BigInt(view.entriesVersion),
      whole,
    }, { timeoutMs: PEER_POLL_TIMEOUT_MS });
    if (reply.configuration) this.#applyConfiguration(reply.configuration);
    const nowMs = clock.getMonotonicMs();
    if (reply.entries.length > 0) {
      view.acceptEntries(reply.entries, Number(reply.entriesVersion));
    }
    reply.announcements.forEach((announcement) =>
      view.backends.accept(announcement, nowMs)
    );
    reply.suspicions.forEach((suspicion) =>
      view.suspicions.merge(suspicion, nowMs)
    );
    reply.promptParts.forEach((suspicion) =>
      view.promptParts.merge(suspicion, nowMs)
    );
  }

  #applyUpdate(update: ViewUpdate): void {
    const { view } = this.#options;
    if (update.configuration) this.#applyConfiguration(update.configuration);
    const version = Number(update.entriesVersion);
    if (view.acceptEntries(update.entries, version)) this.#options.onChanged();
  }

  #applyConfiguration(configuration: Configuration): void {
    const { view, log, onChanged } = this.#options;
    if (!view.acceptConfiguration(configuration)) return;
    log.info("configuration_in_force", {
      version: Number(configuration.version),
      order: configuration.lastOrderId,
    });
    this.#writeCache(configuration);
    onChanged();
  }

  #writeCache(configuration: Configuration): void {
    const { cache, log } = this.#options;
    if (cache === undefined) return;
    const bytes = toBinary(ConfigurationSchema, configuration);
    this.#lastCacheWrite = this.#lastCacheWrite
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
      this.#applyConfiguration(fromBinary(ConfigurationSchema, bytes));
    } catch (error) {
      log.warn("cache_not_read", { reason: getReason(error) });
    }
  }
}
