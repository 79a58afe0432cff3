/** HTTP API of an entry: health checks, announcements and callers' requests. */
import { AnnouncementEffect, type FleetView } from "../../membership/mod.ts";
import { type Announcement, MessageCode, Verdict } from "../../schema/mod.ts";
import { asServingError, ServingError } from "../../sys/errors.ts";
import { abortResponse } from "../../sys/framed_response.ts";
import {
  type IncomingMessage,
  readBody,
  type ServerResponse,
} from "../../sys/http.ts";
import { MetricName } from "../../sys/metrics.ts";
import { logRejection } from "../../sys/unexpected_errors.ts";
import { parseAnnouncement } from "../control/announcement_body.ts";
import { sendJson, sendProblem } from "../common/responses.ts";
import type { CallerLimits } from "../common/caller_limits.ts";
import {
  type CallerRequest,
  createCallerRequest,
} from "../common/caller_request.ts";
import {
  COMPLETION_PATHS,
  type CompletionService,
} from "../online/completion_service.ts";
import { JOBS_PATH, type JobService } from "../batch/job_service.ts";
import type { PlainService } from "../online/plain_service.ts";
import type { ProcessContext } from "../common/process_context.ts";
import { createStoppingError, type StopPeriod } from "../common/stop_period.ts";

/** Path at which backend servers announce themselves. */
export const ANNOUNCE_PATH = "/v1/backend-servers/announce";

/**
 * Time in which services end what is given up at the end of a planned stop, in
 * milliseconds.
 */
const GIVE_UP_MS = 50;

const MAX_ANNOUNCEMENT_BYTES = 64 * 1024;

/** Options of an {@linkcode EntryHttp}. */
export interface EntryHttpOptions {
  readonly context: ProcessContext;
  readonly view: FleetView;
  readonly callerLimits: CallerLimits;
  readonly jobs: JobService;
  readonly completionService: CompletionService;
  readonly plainService: PlainService;
  readonly isReady: () => boolean;
  readonly isStopping: () => boolean;
  readonly stopPeriod: StopPeriod;
  readonly onAnnouncement: (announcement: Announcement) => AnnouncementEffect;
}

/** Handles the requests to an entry's HTTP port. */
export class EntryHttp {
  readonly #options: EntryHttpOptions;

  constructor(options: EntryHttpOptions) {
    this.#options = options;
  }

  /** Handles a request. Errors are reported in the response, never thrown. */
  serve(req: IncomingMessage, res: ServerResponse): void {
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    res.on("error", () => {});
    if (path === "/healthz") {
      sendJson(res, 200, { status: "alive" });
      return;
    }
    if (path === "/readyz") {
      const ready = this.#options.isReady();
      sendJson(res, ready ? 200 : 503, { ready });
      return;
    }
    if (this.#options.isStopping()) res.setHeader("connection", "close");
    const serving = path === ANNOUNCE_PATH
      ? this.#serveAnnouncement(req, res)
      : this.#serveCaller(req, res, path);
    const served = serving.catch((error) => this.#sendError(res, error));
    logRejection(served, this.#options.context.log, "response to a caller");
  }

  #sendError(res: ServerResponse, thrown: unknown): void {
    const { metrics, log } = this.#options.context;
    const error = asServingError(thrown);
    metrics.count(MetricName.requestErrors);
    if (error.code === MessageCode.INTERNAL) {
      log.error("request_failed", { reason: error.message });
    }
    const hasStopped = this.#options.stopPeriod.ended.aborted;
    const isAborted = error.code === MessageCode.CALLER_LEFT;
    // An answer that has begun must not end like a whole one.
    if (hasStopped && res.headersSent) abortResponse(res);
    else if (hasStopped && isAborted) {
      sendProblem(res, createStoppingError(error.verdict));
    } else if (!isAborted) sendProblem(res, error);
    else if (!res.writableEnded) res.destroy();
  }

  async #serveAnnouncement(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const bytes = await readBody(req, MAX_ANNOUNCEMENT_BYTES);
    const effect = this.#options.onAnnouncement(parseAnnouncement(bytes));
    sendJson(res, 200, { effect });
  }

  async #serveCaller(
    req: IncomingMessage,
    res: ServerResponse,
    path: string,
  ): Promise<void> {
    const { context, callerLimits } = this.#options;
    const { stopPeriod } = this.#options;
    const call = createCallerRequest(req, res, { ...context, stopPeriod });
    callerLimits.admit(call.caller);
    res.on("close", () => callerLimits.release(call.caller));
    context.metrics.count(MetricName.requests);
    await this.#untilStopped(this.#route(call, path));
    const elapsedMs = context.clock.getMonotonicMs() - call.startMs;
    context.metrics.time(MetricName.requestMs, elapsedMs);
  }

  /**
   * Waits for a request to be served. At the end of a planned stop, services have
   * a moment to say whether it has run.
   */
  #untilStopped(served: Promise<void>): Promise<void> {
    const { stopPeriod, context: { clock } } = this.#options;
    return stopPeriod.waitFor(served, Verdict.MAY_HAVE_RUN).catch(
      async (error) => {
        if (!stopPeriod.ended.aborted) throw error;
        await Promise.race([served, clock.delay(GIVE_UP_MS)]);
        throw error;
      },
    );
  }

  async #route(call: CallerRequest, path: string): Promise<void> {
    const { jobs, completionService, plainService, view } = this.#options;
    if (path === JOBS_PATH || path.startsWith(`${JOBS_PATH}/`)) {
      return await jobs.serve(call);
    }
    if (view.isDissolving()) throw new ServingError(MessageCode.DISSOLVING);
    if (COMPLETION_PATHS.includes(path)) {
      requirePost(call, path);
      return await completionService.serve(call);
    }
    const workload = view.tryFindWorkload({ path: call.req.url ?? "/" });
    if (workload === undefined) {
      throw new ServingError(MessageCode.UNKNOWN_ROUTE, {
        parameters: { path },
      });
    }
    await plainService.serve(call, workload);
  }
}

function requirePost(call: CallerRequest, path: string): void {
  if (call.req.method === "POST") return;
  throw new ServingError(MessageCode.METHOD_REFUSED, {
    parameters: { path, method: call.req.method ?? "" },
  });
}
