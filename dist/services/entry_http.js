/** HTTP of an entry: health, announcements and callers' requests by path. */
import { AnnouncementEffect } from "../membership/mod.js";
import { MessageCode } from "../schema/mod.js";
import { asServingError, ServingError } from "../sys/errors.js";
import { readBody, } from "../sys/http.js";
import { MetricName } from "../sys/metrics.js";
import { parseAnnouncement } from "./announcement_body.js";
import { sendJson, sendProblem } from "./answers.js";
import { createCallerRequest } from "./caller_request.js";
import { COMPLETION_PATHS, } from "./completion_service.js";
import { JOBS_PATH } from "./job_service.js";
/** Path that backend servers announce themselves at. */
export const ANNOUNCE_PATH = "/v1/backend-servers/announce";
const MAX_ANNOUNCEMENT_BYTES = 64 * 1024;
/** Serves an entry's HTTP port. */
export class EntryHttp {
    #options;
    constructor(options) {
        this.#options = options;
    }
    /** Takes one request and answers it in any case. */
    serve(req, res) {
        const path = (req.url ?? "/").split("?")[0] ?? "/";
        res.on("error", () => { });
        if (path === "/healthz") {
            sendJson(res, 200, { status: "alive" });
            return;
        }
        if (path === "/readyz") {
            const ready = this.#options.isReady();
            sendJson(res, ready ? 200 : 503, { ready });
            return;
        }
        if (this.#options.isStopping())
            res.setHeader("connection", "close");
        const work = path === ANNOUNCE_PATH
            ? this.#serveAnnouncement(req, res)
            : this.#serveCaller(req, res, path);
        work.catch((error) => this.#sendError(res, error));
    }
    #sendError(res, thrown) {
        const { metrics, log } = this.#options.context;
        const error = asServingError(thrown);
        metrics.count(MetricName.requestErrors);
        if (error.code === MessageCode.INTERNAL) {
            log.error("request_failed", { reason: error.message });
        }
        if (error.code !== MessageCode.CALLER_LEFT)
            sendProblem(res, error);
        else if (!res.writableEnded)
            res.destroy();
    }
    async #serveAnnouncement(req, res) {
        const bytes = await readBody(req, MAX_ANNOUNCEMENT_BYTES);
        const effect = this.#options.onAnnouncement(parseAnnouncement(bytes));
        sendJson(res, 200, { effect });
    }
    async #serveCaller(req, res, path) {
        const { context, callers } = this.#options;
        const call = createCallerRequest(req, res, context);
        callers.admit(call.caller);
        res.on("close", () => callers.leave(call.caller));
        context.metrics.count(MetricName.requests);
        await this.#route(call, path);
        const tookMs = context.clock.getMonotonicMs() - call.startMs;
        context.metrics.time(MetricName.requestMs, tookMs);
    }
    async #route(call, path) {
        const { jobs, completions, plain, view } = this.#options;
        if (path === JOBS_PATH || path.startsWith(`${JOBS_PATH}/`)) {
            return await jobs.serve(call);
        }
        if (view.isDissolving())
            throw new ServingError(MessageCode.DISSOLVING);
        if (COMPLETION_PATHS.includes(path)) {
            requirePost(call, path);
            return await completions.serve(call);
        }
        const workload = view.tryFindWorkload({ path: call.req.url ?? "/" });
        if (workload === undefined) {
            throw new ServingError(MessageCode.UNKNOWN_ROUTE, {
                parameters: { path },
            });
        }
        await plain.serve(call, workload);
    }
}
function requirePost(call, path) {
    if (call.req.method === "POST")
        return;
    throw new ServingError(MessageCode.METHOD_REFUSED, {
        parameters: { path, method: call.req.method ?? "" },
    });
}
//# sourceMappingURL=entry_http.js.map