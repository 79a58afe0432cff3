/**
 * Sends a request to a backend server once, and classifies the result by whether
 * the request may be retried.
 */
import { Verdict } from "../schema/mod.js";
import { BodyChunks } from "../sys/body_chunks.js";
import { getReason } from "../sys/errors.js";
import { discardBody, HttpSendError, sendHttp, } from "../sys/http.js";
const MS_PER_S = 1_000;
/** Longest wait of a server that is passed on to callers, in milliseconds. */
const MAX_RETRY_AFTER_MS = 3_600_000;
const DECIMAL_PATTERN = /^\d+(\.\d*)?$/;
/** Sends requests to backend servers. */
export class BackendClient {
    #dialect;
    #agent;
    #onLoad;
    #onWrongServer;
    #onLeaving;
    #onLimit;
    #onUnreachable;
    #onNotConnected;
    #onActivity;
    #reachability;
    #isPartitioned;
    constructor(options) {
        this.#dialect = options.dialect;
        this.#agent = options.agent;
        this.#onLoad = options.onLoad;
        this.#onWrongServer = options.onWrongServer;
        this.#onLeaving = options.onLeaving;
        this.#onLimit = options.onLimit;
        this.#onUnreachable = options.onUnreachable;
        this.#onNotConnected = options.onNotConnected ?? (() => { });
        this.#onActivity = options.onActivity;
        this.#reachability = options.reachability;
        this.#isPartitioned = options.isPartitioned ?? (() => false);
    }
    /** Sends a request and waits for the head of the response. */
    async send(options) {
        const { request, permit } = options;
        try {
            const response = await sendHttp({
                address: permit.server.address,
                method: request.method,
                path: request.target,
                headers: this.#createHeaders(options),
                body: request.body,
                // A response to a request without an id can't be told from others that
                // are late on the same connection.
                usesNewConnection: options.useNewConnection || request.requestId === "",
                requestId: request.requestId,
                agent: this.#agent,
                signal: options.signal,
                onConnect: () => this.#reachability?.recordConnected(),
                isPartitioned: this.#isPartitioned(permit.server.address),
            });
            return this.#classifyResponse(response, options);
        }
        catch (error) {
            return this.#classifyError(error, options);
        }
    }
    #createHeaders({ request, permit, remainingMs, resumeAfter }) {
        return [
            ...request.headers,
            ...this.#dialect.createHeaders({
                server: permit.server.id,
                remainingMs: Math.max(1, Math.floor(remainingMs)),
                resumeAfter,
            }),
            "Content-Length",
            String(request.body.length),
        ];
    }
    #classifyResponse(response, options) {
        const { request, permit } = options;
        const { id } = permit.server;
        this.#onActivity(id);
        const meta = this.#dialect.readResponseMetadata(response.status, response.headers);
        // A response that names no request may be bytes that a faulty server sent in
        // addition to an earlier one, so neither what it says of the request nor what
        // it says of the server counts.
        if (meta.requestId === "" && request.requestId !== "") {
            response.body.destroy();
            return { kind: "lost", reason: "the answer names no request" };
        }
        // Also if the response is for another request or its body never ends: what
        // the server says of itself holds for all that follow.
        if (meta.isLeaving)
            this.#onLeaving(permit.server);
        const isMismatched = meta.requestId !== request.requestId;
        // Only the response to this request says that the server has no limit now.
        const isLimitKnown = !isMismatched || meta.limitPerS !== undefined;
        if (isLimitKnown && !meta.isWrongServer) {
            this.#onLimit(permit, meta.limitPerS);
        }
        if (isMismatched) {
            // The response belongs to another request, so responses on this connection
            // can no longer be matched to requests. Destroying the body closes the
            // connection.
            response.body.destroy();
            return {
                kind: "lost",
                reason: "the answer belongs to another request",
            };
        }
        if (meta.load !== undefined)
            this.#onLoad(permit.server.id, meta.load);
        if (meta.isWrongServer)
            this.#onWrongServer(permit.server.id);
        if (meta.isUnprovenSuccess) {
            response.body.destroy();
            return {
                kind: "lost",
                reason: `the server answered ${response.status} without its proof`,
            };
        }
        if (meta.isUnprovenRefusal) {
            discardBody(response.body);
            return {
                kind: "lost",
                reason: `the server answered ${response.status} and may have run it`,
            };
        }
        if (!meta.isNotRun) {
            const chunks = new BodyChunks(response.body, () => this.#onActivity(id));
            return { kind: "response", response: { ...response, chunks } };
        }
        discardBody(response.body);
        return {
            kind: "notRun",
            reason: `the server answered ${response.status} and did not run it`,
            retryAfterMs: readRetryAfter(response.headers["retry-after"]),
        };
    }
    #classifyError(error, options) {
        if (options.signal.aborted)
            return { kind: "aborted" };
        const reason = getReason(error);
        if (error instanceof HttpSendError && error.isInvalidRequest) {
            // No fault of the server, and not "notRun": that would be sent again until
            // it runs.
            return { kind: "lost", reason };
        }
        this.#onUnreachable(options.permit.server.id);
        const isNotRun = error instanceof HttpSendError &&
            error.verdict === Verdict.NOT_RUN;
        if (isNotRun) {
            // A server that resets a connection, such as one too many, still runs.
            if (!error.isReset)
                this.#onNotConnected(options.permit.server.id);
            this.#reachability?.recordUnreachable(options.permit.server.id);
        }
        return isNotRun
            ? { kind: "notRun", reason, retryAfterMs: undefined }
            : { kind: "lost", reason };
    }
}
function readRetryAfter(value) {
    return value !== undefined && DECIMAL_PATTERN.test(value.trim())
        ? Math.min(MAX_RETRY_AFTER_MS, Number(value) * MS_PER_S)
        : undefined;
}
//# sourceMappingURL=backend_client.js.map