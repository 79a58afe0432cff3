/**
 * Sends requests that this gateway can't bring to a backend server to another
 * gateway, which serves them as its own. A request is passed on once: the other
 * gateway serves it itself or says that it didn't. What gateways say to each other
 * about a request goes into headers of their own.
 */
import type { KnownGateway } from "../membership/mod.ts";
import { Gateways, Verdict } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { AnswerEndCheck } from "../sys/answer_end_check.ts";
import { ConnectProbe } from "../sys/connect_probe.ts";
import { getReason } from "../sys/errors.ts";
import {
  createHttpAgent,
  discardBody,
  type HttpAgent,
  type HttpResponse,
  HttpSendError,
  type IncomingHttpHeaders,
  sendHttp,
} from "../sys/http.ts";
import type { Log } from "../sys/log.ts";
import type { Random } from "../sys/random.ts";
import { RpcClientPool, type RpcCredentials } from "../sys/rpc.ts";
import type {
  AttemptResult,
  BackendRequest,
  BackendResponse,
} from "./backend_client.ts";
import type { BackendDialect } from "./dialects.ts";
import {
  type ByteCounter,
  countChunks,
  getHeaderBytes,
  RemoteByteKind,
} from "./remote_bytes.ts";

/**
 * Header of a request that another gateway passed on: the version of the routes by
 * which that gateway goes.
 */
export const ROUTES_VERSION_HEADER = "papayatally-routes-version";

/**
 * Header with the same version if callers are identified by keys. The other header
 * has a version then that no routes have, by which builds that don't identify
 * callers refuse the request: they would pass the key on to a server.
 */
export const IDENTIFIED_ROUTES_VERSION_HEADER =
  "papayatally-identified-routes-version";

const NO_ROUTES_VERSION = String(Number.MAX_SAFE_INTEGER);

/** Reads the version of the routes of a gateway that passed a request on. */
export function readRoutesVersion(headers: IncomingHttpHeaders): number {
  return Number(
    headers[IDENTIFIED_ROUTES_VERSION_HEADER] ??
      headers[ROUTES_VERSION_HEADER] ?? 0,
  );
}

function createVersionHeaders(version: bigint, isIdentified: boolean) {
  return isIdentified
    ? [
      ROUTES_VERSION_HEADER,
      NO_ROUTES_VERSION,
      IDENTIFIED_ROUTES_VERSION_HEADER,
      String(version),
    ]
    : [ROUTES_VERSION_HEADER, String(version)];
}

/** Header of a response by which a gateway says that it serves no such requests. */
export const NOT_RELAYED_HEADER = "papayatally-not-relayed";

/** Options of a {@linkcode GatewayRelay}. */
export interface GatewayRelayOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** Returns the addresses of the hosts that know other gateways. */
  readonly getMergers: () => readonly string[];
  readonly getRoutesVersion: () => bigint;
  readonly dialect: BackendDialect;
  readonly credentials: RpcCredentials;
  /** Called with the bytes sent to and received from a data centre. */
  readonly onBytes?: ByteCounter;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
}

/** A request to be passed on. */
export interface RelayOptions {
  readonly request: BackendRequest;
  /**
   * Headers with the caller's key, by which the other gateway identifies it;
   * undefined if callers are not identified.
   */
  readonly keyHeaders?: readonly string[] | undefined;
  readonly remainingMs: number;
  readonly resumeAfter: number | undefined;
  /** Opens a new connection instead of reusing an idle one. */
  readonly useNewConnection: boolean;
  readonly signal: AbortSignal;
}

/** Result of passing a request on, up to the head of the response. */
export type RelayResult =
  | Exclude<AttemptResult, { kind: "response" }>
  | {
    readonly kind: "response";
    readonly response: BackendResponse;
    /** Whether the gateway that answered is still there. */
    readonly isGatewayThere: () => Promise<boolean>;
  };

/** Timeout of a search for gateways, in milliseconds. */
const FIND_TIMEOUT_MS = 200;

/** Time for which found gateways are used, in milliseconds. */
const FOUND_TTL_MS = 500;

/** Time for which a gateway that took no request is not asked, in milliseconds. */
const GATEWAY_BACKOFF_MS = 1_000;

/** Gateways that are tried for one request. */
const MAX_TRIED_GATEWAYS = 3;

/** Idle timeout of connections between gateways, in milliseconds. */
const RELAY_IDLE_TIMEOUT_MS = 4_000;

/** Passes on the requests of one gateway. */
export class GatewayRelay {
  readonly #options: GatewayRelayOptions;
  readonly #clients: RpcClientPool;
  readonly #answerEndCheck: AnswerEndCheck;
  readonly #agent: HttpAgent = createHttpAgent({
    idleTimeoutMs: RELAY_IDLE_TIMEOUT_MS,
  });
  readonly #backoffs = new Map<string, number>();
  #found: readonly KnownGateway[] = [];
  #foundMs = -Infinity;
  #search: Promise<void> | undefined;

  constructor(options: GatewayRelayOptions) {
    this.#options = options;
    this.#clients = new RpcClientPool(options.credentials);
    this.#answerEndCheck = new AnswerEndCheck({
      probe: new ConnectProbe(options.clock),
      log: options.log,
    });
  }

  close(): void {
    this.#clients.close();
    this.#agent.destroy();
  }

  /**
   * Passes a request on and waits for the head of the response. "notRun" means that
   * no gateway took it.
   */
  async send(options: RelayOptions): Promise<RelayResult> {
    const tried = new Set<string>();
    let reason = "no other gateway that reaches backend servers is known";
    while (tried.size < MAX_TRIED_GATEWAYS) {
      const gateway = await this.#select(tried);
      if (options.signal.aborted) return { kind: "aborted" };
      if (gateway === undefined) break;
      tried.add(gateway.address);
      const result = await this.#sendTo(gateway, options);
      if (result.kind !== "notRun") return result;
      reason = `gateway ${gateway.address}: ${result.reason}`;
      this.#backoffs.set(
        gateway.address,
        this.#options.clock.getMonotonicMs() + GATEWAY_BACKOFF_MS,
      );
    }
    return { kind: "notRun", reason, retryAfterMs: undefined };
  }

  async #sendTo(
    { address, dataCentre }: KnownGateway,
    options: RelayOptions,
  ): Promise<RelayResult> {
    const { request, remainingMs, resumeAfter, signal } = options;
    const { dialect, getRoutesVersion, log } = this.#options;
    const countBytes = (bytes: number) =>
      this.#options.onBytes?.(dataCentre, RemoteByteKind.relayed, bytes);
    const headers = [
      ...request.headers,
      ...options.keyHeaders ?? [],
      ...dialect.createHeaders({
        server: address,
        remainingMs: Math.max(1, Math.floor(remainingMs)),
        resumeAfter,
      }),
      ...createVersionHeaders(
        getRoutesVersion(),
        options.keyHeaders !== undefined,
      ),
      "Content-Length",
      String(request.body.length),
    ];
    countBytes(
      request.target.length + getHeaderBytes(headers) + request.body.length,
    );
    try {
      const response = await sendHttp({
        address,
        method: request.method,
        path: request.target,
        headers,
        body: request.body,
        usesNewConnection: options.useNewConnection,
        requestId: request.requestId,
        agent: this.#agent,
        signal,
      });
      countBytes(getHeaderBytes(response.body.rawHeaders));
      const refusal = response.headers[NOT_RELAYED_HEADER];
      if (refusal !== undefined) {
        discardBody(response.body);
        return {
          kind: "notRun",
          reason: String(refusal),
          retryAfterMs: undefined,
        };
      }
      const reason = this.#findFault(response, request.requestId);
      if (reason !== undefined) {
        response.body.destroy();
        return { kind: "lost", reason: `gateway ${address} ${reason}` };
      }
      log.info("request_relayed", {
        request: request.requestId,
        to: address,
        status: response.status,
      });
      return {
        kind: "response",
        response: {
          ...response,
          chunks: countChunks(response.body, countBytes),
        },
        isGatewayThere: () =>
          this.#answerEndCheck.isSenderThere({
            requestId: request.requestId,
            sender: address,
            address,
          }),
      };
    } catch (error) {
      if (signal.aborted) return { kind: "aborted" };
      const reason = getReason(error);
      const isNotRun = error instanceof HttpSendError &&
        error.verdict === Verdict.NOT_RUN;
      return isNotRun
        ? { kind: "notRun", reason, retryAfterMs: undefined }
        : { kind: "lost", reason };
    }
  }

  /**
   * Why a gateway's response can't be the request's; undefined if it can. Gateways
   * of another build may pass on what this one doesn't take from a server.
   */
  #findFault(
    { status, headers }: HttpResponse,
    expectedId: string,
  ): string | undefined {
    const { requestId, isUnprovenSuccess, isUnprovenRefusal } = this.#options
      .dialect.readResponseMetadata(status, headers);
    const isSuccess = status >= 200 && status < 300;
    // A gateway's own errors name no request; all that it passes on does.
    if (requestId === "" && !isSuccess) return undefined;
    if (requestId !== expectedId) return "answered another request";
    return isUnprovenSuccess || isUnprovenRefusal
      ? `answered ${status} without a server's proof`
      : undefined;
  }

  /** Selects a gateway, of this data centre if there is one. */
  async #select(
    tried: ReadonlySet<string>,
  ): Promise<KnownGateway | undefined> {
    const { clock, dataCentre, random } = this.#options;
    const nowMs = clock.getMonotonicMs();
    if (nowMs - this.#foundMs > FOUND_TTL_MS) {
      this.#search ??= this.#find().finally(() => {
        this.#search = undefined;
      });
      // Known gateways are used meanwhile.
      if (this.#found.length === 0) await this.#search;
    }
    const usable = this.#found.filter(({ address }) =>
      !tried.has(address) && (this.#backoffs.get(address) ?? -Infinity) <= nowMs
    );
    const local = usable.filter((gateway) => gateway.dataCentre === dataCentre);
    const candidates = local.length > 0 ? local : usable;
    return candidates[random.getIntegerBelow(candidates.length)];
  }

  /** Asks all mergers; the first reply counts. */
  async #find(): Promise<void> {
    const { getMergers, name, log, clock } = this.#options;
    try {
      const replies = getMergers().map((address) =>
        this.#clients.get(address).call(
          Gateways.method.find,
          { sender: name },
          { timeoutMs: FIND_TIMEOUT_MS },
        )
      );
      const { gateways } = await Promise.any(replies);
      this.#found = gateways;
      this.#foundMs = clock.getMonotonicMs();
      this.#backoffs.forEach((untilMs, address) => {
        if (untilMs <= this.#foundMs) this.#backoffs.delete(address);
      });
    } catch (error) {
      log.warn("gateways_not_found", { reason: getReason(error) });
    }
  }
}
