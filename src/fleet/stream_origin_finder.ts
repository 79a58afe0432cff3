/**
 * Finds out for a gateway which service and software version began a stream that
 * a caller takes up: from the streams that began here, and from the mergers of
 * load reports. If they know different origins, the stream can't be told from
 * another one and has none.
 */
import { create } from "@bufbuild/protobuf";
import { type ServerStartKey, StreamOrigins } from "../membership/mod.ts";
import {
  type FindOriginReply,
  type Registration,
  type StreamOrigin,
  StreamOriginSchema,
  Streams,
} from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { RpcClientPool, type RpcCredentials } from "../sys/rpc.ts";

/** What a host knows of a request's stream. */
export type KnownOrigins = Pick<
  FindOriginReply,
  "origin" | "conflicting" | "controlSilentMs"
>;

/** Result of a search for the origin of a stream. */
export type OriginSearch =
  | {
    readonly kind: "found";
    readonly origin: StreamOrigin;
    /** Shortest time since a merger that replied heard of a control host. */
    readonly controlSilentMs: number;
  }
  /** Streams of several origins began under the id of the request. */
  | { readonly kind: "conflicting" }
  /** No host that replied knows the stream. */
  | {
    readonly kind: "unknown";
    /** Whether any merger replied. */
    readonly hasReplies: boolean;
  };

/** Options of a {@linkcode StreamOriginFinder}. */
export interface StreamOriginFinderOptions {
  readonly getMergers: () => readonly string[];
  /** Asks a merger what it knows of a request. */
  readonly query: (address: string, request: string) => Promise<KnownOrigins>;
  /** Sends an origin to all mergers. */
  readonly report: (origin: StreamOrigin) => void;
  readonly clock: Clock;
  readonly log: Log;
}

/** Timeout of a call to a merger, in milliseconds. */
const CALL_TIMEOUT_MS = 200;

/**
 * Time for which the replies of other mergers are awaited once one knows the stream,
 * in milliseconds: several round trips between data centres. Each merger hears of
 * all origins of a request, so the other ones matter only if reports were lost.
 */
const AGREEMENT_WAIT_MS = 30;

/**
 * Delay before the mergers are asked again, in milliseconds: an origin whose first
 * datagram was lost reaches them with the next load report.
 */
const RETRY_DELAY_MS = 100;

const MAX_ROUNDS = 2;

/**
 * Longest time from the start of a server until a gateway hears of it, in
 * milliseconds. A server whose registration is lost tries another control host after
 * a second. A server that crashed takes longer to start again, so that streams of the
 * start before are older.
 */
const MAX_UNHEARD_MS = 2_000;

/** What the replies of mergers tell in addition. */
interface AskedMergers {
  hasReplies: boolean;
  controlSilentMs: number;
}

interface RecentStream {
  readonly origin: StreamOrigin;
  readonly server: ServerStartKey;
  readonly recordedMs: number;
}

/** Finds the origins of streams for one gateway. */
export class StreamOriginFinder {
  readonly #options: StreamOriginFinderOptions;
  readonly #known = new StreamOrigins();
  /** Streams that began lately, oldest first. */
  #recent: RecentStream[] = [];

  constructor(options: StreamOriginFinderOptions) {
    this.#options = options;
  }

  /** Records a stream whose first event arrived here, from a server if given. */
  record(origin: StreamOrigin, server?: ServerStartKey): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#known.add(origin, nowMs);
    this.#options.report(origin);
    if (server === undefined) return;
    const firstKept = this.#recent.findIndex(({ recordedMs }) =>
      nowMs - recordedMs < MAX_UNHEARD_MS
    );
    this.#recent = firstKept < 0 ? [] : this.#recent.slice(firstKept);
    this.#recent.push({ origin, server, recordedMs: nowMs });
  }

  /**
   * Records that a server has been started again. Streams that began there a short
   * time ago may have begun at its new version already.
   */
  recordStart(
    { id, bornMs, softwareVersion }: Pick<
      Registration,
      "id" | "bornMs" | "softwareVersion"
    >,
  ): void {
    const earliestMs = this.#options.clock.getMonotonicMs() - MAX_UNHEARD_MS;
    this.#recent.filter(({ origin, server, recordedMs }) =>
      server.id === id && server.bornMs < bornMs &&
      origin.softwareVersion !== softwareVersion && recordedMs > earliestMs
    ).forEach(({ origin }) =>
      this.record(create(StreamOriginSchema, { ...origin, softwareVersion }))
    );
  }

  async find(request: string): Promise<OriginSearch> {
    const { clock } = this.#options;
    const asked: AskedMergers = {
      hasReplies: false,
      controlSilentMs: Infinity,
    };
    for (let round = 1; round <= MAX_ROUNDS; round += 1) {
      await this.#askMergers(request, asked);
      if (this.#known.isConflicting(request)) return { kind: "conflicting" };
      const origin = this.#known.tryGet(request);
      if (origin !== undefined) {
        const { controlSilentMs } = asked;
        return { kind: "found", origin, controlSilentMs };
      }
      if (round < MAX_ROUNDS) await clock.delay(RETRY_DELAY_MS);
    }
    return { kind: "unknown", hasReplies: asked.hasReplies };
  }

  /**
   * Asks all mergers at once. Resolves when all have replied, or a moment after the
   * stream is known.
   */
  async #askMergers(
    request: string,
    asked: AskedMergers,
  ): Promise<void> {
    const { getMergers, clock } = this.#options;
    const replies = getMergers().map(async (address) => {
      const reply = await this.#tryAskMerger(address, request);
      if (reply === undefined) return false;
      asked.hasReplies = true;
      asked.controlSilentMs = Math.min(
        asked.controlSilentMs,
        reply.controlSilentMs ?? Infinity,
      );
      return reply.conflicting || reply.origin !== undefined;
    });
    const all = Promise.all(replies);
    const firstKnown = this.#known.tryGet(request) === undefined
      ? Promise.any(replies.map(async (reply) => {
        if (!(await reply)) throw new Error("unknown stream");
      }))
      : Promise.resolve();
    await Promise.race([
      all,
      firstKnown.then(() => clock.delay(AGREEMENT_WAIT_MS), () => all),
    ]);
  }

  /**
   * Adds what a merger knows to what is known here. Returns its reply; undefined if
   * there was none.
   */
  async #tryAskMerger(
    address: string,
    request: string,
  ): Promise<KnownOrigins | undefined> {
    const { query, clock, log } = this.#options;
    try {
      const reply = await query(address, request);
      const { origin, conflicting } = reply;
      const nowMs = clock.getMonotonicMs();
      if (conflicting) this.#known.addConflict(request, nowMs);
      else if (origin !== undefined) this.#known.add(origin, nowMs);
      return reply;
    } catch (error) {
      log.info("origin_not_asked", {
        request,
        address,
        reason: getReason(error),
      });
      return undefined;
    }
  }
}

/** Asks mergers by remote calls. */
export class RpcStreamOriginsClient {
  readonly #clients: RpcClientPool;

  constructor(credentials: RpcCredentials) {
    this.#clients = new RpcClientPool(credentials);
  }

  /** Throws if the merger does not reply in time. */
  query(address: string, request: string): Promise<KnownOrigins> {
    return this.#clients.get(address).call(
      Streams.method.findOrigin,
      { request },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
  }

  close(): void {
    this.#clients.close();
  }
}
