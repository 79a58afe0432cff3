/**
 * Finds out for a gateway which service and software version began a stream that
 * a caller takes up: from the streams that began here, or from the mergers of
 * load reports.
 */
import { StreamOrigins } from "../membership/mod.ts";
import { type StreamOrigin, Streams } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { RpcClientPool, type RpcCredentials } from "../sys/rpc.ts";

/** Options of a {@linkcode StreamOriginFinder}. */
export interface StreamOriginFinderOptions {
  readonly getMergers: () => readonly string[];
  /** Sends an origin to the mergers with the next load report. */
  readonly report: (origin: StreamOrigin) => void;
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
  readonly log: Log;
}

/** Timeout of a call to a merger, in milliseconds. */
const CALL_TIMEOUT_MS = 200;

/**
 * Delay before the mergers are asked again, in milliseconds: an origin reaches
 * them with the load report that follows the first event.
 */
const RETRY_DELAY_MS = 100;

const MAX_ROUNDS = 2;

/** Finds the origins of streams for one gateway. */
export class StreamOriginFinder {
  readonly #options: StreamOriginFinderOptions;
  readonly #known = new StreamOrigins();
  readonly #clients: RpcClientPool;

  constructor(options: StreamOriginFinderOptions) {
    this.#options = options;
    this.#clients = new RpcClientPool(options.credentials);
  }

  /** Records a stream whose first event arrived here. */
  record(origin: StreamOrigin): void {
    this.#known.add(origin, this.#options.clock.getMonotonicMs());
    this.#options.report(origin);
  }

  /** Returns the origin of a stream; undefined if no host knows it. */
  async find(request: string): Promise<StreamOrigin | undefined> {
    const { clock } = this.#options;
    for (let round = 1; round <= MAX_ROUNDS; round += 1) {
      const origin = this.#known.tryGet(request) ??
        await this.#askMergers(request);
      if (origin !== undefined) {
        this.#known.add(origin, clock.getMonotonicMs());
        return origin;
      }
      if (round < MAX_ROUNDS) await clock.delay(RETRY_DELAY_MS);
    }
    return undefined;
  }

  close(): void {
    this.#clients.close();
  }

  /** Asks all mergers at once; the first one that knows the stream decides. */
  async #askMergers(request: string): Promise<StreamOrigin | undefined> {
    const replies = this.#options.getMergers().map(async (address) => {
      const origin = await this.#askMerger(address, request);
      if (origin === undefined) throw new Error("unknown stream");
      return origin;
    });
    return await Promise.any(replies).catch(() => undefined);
  }

  async #askMerger(
    address: string,
    request: string,
  ): Promise<StreamOrigin | undefined> {
    try {
      const { origin } = await this.#clients.get(address).call(
        Streams.method.findOrigin,
        { request },
        { timeoutMs: CALL_TIMEOUT_MS },
      );
      return origin;
    } catch (error) {
      this.#options.log.info("origin_not_asked", {
        request,
        address,
        reason: getReason(error),
      });
      return undefined;
    }
  }
}
