/**
 * Pins a resumable stream to the service and the software version that began it:
 * what servers of two versions generate must not be joined, neither inside one
 * response nor over the tries of a caller that takes a stream up again.
 */
import {
  MessageCode,
  type Route,
  type StreamOrigin,
  StreamOriginSchema,
  Verdict,
} from "../schema/mod.ts";
import { create } from "@bufbuild/protobuf";
import type { ServerRegistry } from "../membership/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { ServingError } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";
import type { OnlyVersionFinder } from "./only_version_finder.ts";
import type { PoolServer } from "./server_pool.ts";
import type {
  OriginSearch,
  StreamOriginFinder,
} from "./stream_origin_finder.ts";

/** A request whose stream may be pinned. */
export interface PinnedRequest {
  readonly route: Route;
  readonly requestId: string;
  /** Service that was selected for a new stream. */
  readonly service: string;
  readonly resumeAfter: number | undefined;
  readonly resumedRequest: string;
}

/** Options of a {@linkcode VersionPin}. */
export interface VersionPinOptions {
  readonly view: {
    readonly servers: Pick<ServerRegistry, "tryGetOtherVersion">;
    readonly getControlSilentMs: () => number;
  };
  readonly streamOrigins: Pick<StreamOriginFinder, "find" | "record">;
  readonly onlyVersions: Pick<OnlyVersionFinder, "find">;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Retry-After if a stream can't go on, in seconds. A server that crashed is back
 * after about this time, and so is a host that knows the stream.
 */
const RETRY_AFTER_S = 1;

/**
 * Retry-After if this gateway can't tell what the next one probably can, in seconds:
 * it is cut off from hosts that know the stream or the servers.
 */
const ELSEWHERE_RETRY_AFTER_S = 0.1;

/**
 * Time without a message from any control host after which servers' versions aren't
 * certain, in milliseconds: more than two of their update intervals.
 */
const MAX_CONTROL_SILENCE_MS = 2_500;

/** Service and software version of one request's stream. */
export class VersionPin {
  readonly #req: PinnedRequest;
  readonly #options: VersionPinOptions;
  #service: string;
  #softwareVersion: string | undefined;
  /** Server of the attempt whose events began the stream; undefined before. */
  #firstServer: PoolServer | undefined;
  /** Server of the attempt whose events were sent to the caller last. */
  #lastServer: PoolServer | undefined;
  /** Whether the stream's id has been recorded with two versions. */
  #hasTwoOrigins = false;

  constructor(req: PinnedRequest, options: VersionPinOptions) {
    this.#req = req;
    this.#options = options;
    this.#service = req.service;
  }

  get service(): string {
    return this.#service;
  }

  /** Version that servers must have; undefined while any may begin the stream. */
  get softwareVersion(): string | undefined {
    return this.#softwareVersion;
  }

  /** Whether the caller takes up a stream of which it has events. */
  get isTakenUp(): boolean {
    return this.#req.route.resumable && (this.#req.resumeAfter ?? 0) > 0;
  }

  /**
   * Finds out which version began a stream that the caller takes up. Throws
   * STREAM_ORIGIN_UNKNOWN, STREAM_VERSION_UNCONFIRMED or STREAM_VERSION_GONE (not
   * run).
   */
  async resolve(): Promise<void> {
    const { log, metrics, clock } = this.#options;
    const { requestId, resumedRequest } = this.#req;
    const startMs = clock.getMonotonicMs();
    const search = await this.#search();
    const origin = await this.#tryGetOrigin(search);
    const how = search.kind === "unknown" && origin !== undefined
      ? "only_version"
      : search.kind;
    metrics.count(MetricName.streamsTakenUp, 1, { origin: how });
    log.info("stream_taken_up", {
      request: requestId,
      resumes: resumedRequest,
      after_event: this.#req.resumeAfter ?? 0,
      origin: how,
      service: origin?.service ?? "",
      version: origin?.softwareVersion ?? "",
      took_ms: Math.round(clock.getMonotonicMs() - startMs),
    });
    if (origin === undefined) {
      throw new ServingError(MessageCode.STREAM_ORIGIN_UNKNOWN, {
        verdict: Verdict.NOT_RUN,
        parameters: { request: resumedRequest },
        retryAfterS: search.kind === "unknown" && !search.hasReplies
          ? ELSEWHERE_RETRY_AFTER_S
          : RETRY_AFTER_S,
      });
    }
    this.#service = origin.service;
    this.#softwareVersion = origin.softwareVersion;
    if (search.kind === "found" && this.#isOutOfStep(search.controlSilentMs)) {
      throw new ServingError(MessageCode.STREAM_VERSION_UNCONFIRMED, {
        verdict: Verdict.NOT_RUN,
        parameters: { version: origin.softwareVersion },
        retryAfterS: ELSEWHERE_RETRY_AFTER_S,
      });
    }
    const isRouted = this.#req.route.targets.some(({ service, weight }) =>
      service === origin.service && weight > 0
    );
    if (!isRouted) throw this.createVersionGoneError(Verdict.NOT_RUN);
  }

  async #tryGetOrigin(search: OriginSearch): Promise<StreamOrigin | undefined> {
    switch (search.kind) {
      case "found":
        return search.origin;
      case "unknown":
        return await this.#tryFindOnlyOrigin();
      default:
        return undefined;
    }
  }

  /** Whether it is unknown which version began the stream, so that none may go on. */
  get isAmbiguous(): boolean {
    const { servers } = this.#options.view;
    return this.#hasTwoOrigins ||
      (!this.isTakenUp && this.#firstServer !== undefined &&
        servers.tryGetOtherVersion(this.#firstServer) !== undefined);
  }

  /**
   * Records that events of a server are about to be sent to the caller. If the server
   * was started again with another version since the request was sent, they may be
   * of either. All events of one attempt are of one start, so the stream may begin
   * with them. Throws if it began elsewhere.
   */
  recordEvents(server: PoolServer): void {
    const other = this.#options.view.servers.tryGetOtherVersion(server);
    const isContinuation = this.isTakenUp ||
      (this.#firstServer !== undefined && this.#firstServer !== server);
    if (other !== undefined && isContinuation) {
      if (this.#lastServer === server) this.#recordAmbiguity(other);
      throw new Error(`the server was started again with version "${other}"`);
    }
    this.#firstServer ??= server;
    this.#lastServer = server;
    if (this.#softwareVersion === undefined) {
      this.#softwareVersion = server.softwareVersion;
      this.#recordOrigin(this.#req.requestId, server.softwareVersion, server);
    }
    if (other !== undefined && !this.#hasTwoOrigins) {
      this.#recordAmbiguity(other);
    }
  }

  #recordAmbiguity(otherVersion: string): void {
    const { requestId, resumedRequest } = this.#req;
    const request = this.isTakenUp ? resumedRequest : requestId;
    this.#hasTwoOrigins = true;
    this.#recordOrigin(request, this.#softwareVersion ?? "");
    this.#recordOrigin(request, otherVersion);
  }

  #recordOrigin(
    request: string,
    softwareVersion: string,
    server?: PoolServer,
  ): void {
    const origin = create(StreamOriginSchema, {
      request,
      service: this.#service,
      softwareVersion,
    });
    this.#options.streamOrigins.record(origin, server);
  }

  /** Creates the error of a stream whose version no server has any more. */
  createVersionGoneError(verdict: Verdict): ServingError {
    return new ServingError(MessageCode.STREAM_VERSION_GONE, {
      verdict,
      parameters: {
        service: this.#service,
        version: this.#softwareVersion ?? "",
      },
      retryAfterS: verdict === Verdict.NOT_RUN ? RETRY_AFTER_S : undefined,
    });
  }

  /**
   * Whether others hear of control hosts and this gateway doesn't: servers may have
   * been started again with other versions then. If nobody hears of them, no gateway
   * knows better.
   */
  #isOutOfStep(othersSilentMs: number): boolean {
    const silentMs = this.#options.view.getControlSilentMs();
    return silentMs > MAX_CONTROL_SILENCE_MS &&
      othersSilentMs <= MAX_CONTROL_SILENCE_MS;
  }

  async #search(): Promise<OriginSearch> {
    const { resumedRequest } = this.#req;
    if (resumedRequest === "") return { kind: "unknown", hasReplies: true };
    return await this.#options.streamOrigins.find(resumedRequest);
  }

  /** Origin of any stream if only one version can have begun it. */
  async #tryFindOnlyOrigin(): Promise<StreamOrigin | undefined> {
    const [target, ...others] = this.#req.route.targets;
    if (target === undefined || others.length > 0) return undefined;
    const softwareVersion = await this.#options.onlyVersions.find(
      target.service,
    );
    if (softwareVersion === undefined) return undefined;
    return create(StreamOriginSchema, {
      request: this.#req.resumedRequest,
      service: target.service,
      softwareVersion,
    });
  }
}
