/**
 * HTTP by Node's own library, on both sides. This module is the door to it:
 * it opens servers, sends requests and says of a failed request whether it may
 * have run.
 */
import http from "node:http";
import { MessageCode, Verdict } from "../schema/mod.js";
import { getReason, ServingError } from "./errors.js";
/** Splits host:port. */
export function parseAddress(address) {
    const colon = address.lastIndexOf(":");
    return {
        host: address.slice(0, colon),
        port: Number(address.slice(colon + 1)),
    };
}
/** Opens a server; a busy port is PORT_BUSY. */
export function listenHttp(address, handler, options = {}) {
    const server = http.createServer({
        maxHeaderSize: options.headerBytes,
        keepAliveTimeout: 30_000,
        requestTimeout: 0,
    }, handler);
    server.on("clientError", (error, socket) => {
        const answer = error.code === "HPE_HEADER_OVERFLOW"
            ? options.onHeadersTooLarge
            : undefined;
        if (answer === undefined || !socket.writable)
            socket.destroy();
        else
            socket.end(answer);
    });
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
        server.once("error", (error) => reject(new ServingError(MessageCode.PORT_BUSY, {
            parameters: { address, reason: getReason(error) },
        })));
        server.listen(port, host, () => {
            const real = server.address().port;
            resolve(createListener(server, `${host}:${real}`));
        });
    });
}
const IDLE_CLOSE_MS = 50;
function createListener(server, address) {
    return {
        address,
        drain: () => new Promise((resolve) => {
            const timer = setInterval(() => server.closeIdleConnections(), IDLE_CLOSE_MS);
            server.close(() => {
                clearInterval(timer);
                resolve();
            });
            server.closeIdleConnections();
        }),
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
/** A request without an answer. */
export class HttpSendError extends Error {
    /** Not run only when no byte of the request can have arrived. */
    verdict;
    /** The connection broke, rather than the wait for the answer. */
    isBroken;
    constructor(reason, options) {
        super(reason);
        this.name = "HttpSendError";
        this.verdict = options.verdict;
        this.isBroken = options.isBroken;
    }
}
const CONNECT_TIMEOUT_MS = 1_000;
const sharedAgent = new http.Agent({
    keepAlive: true,
    maxSockets: Infinity,
    maxFreeSockets: 256,
    timeout: 60_000,
});
/** Sends a request and resolves with the head of its answer. */
export function sendHttp(call) {
    const { host, port } = parseAddress(call.address);
    return new Promise((resolve, reject) => {
        let isConnected = false;
        let isTimeout = false;
        const req = http.request({
            host,
            port,
            method: call.method,
            path: call.path,
            headers: call.headers,
            agent: call.isFresh === true ? false : sharedAgent,
            signal: call.signal,
        });
        const giveUp = () => {
            isTimeout = true;
            req.destroy(new Error("no answer in time"));
        };
        const connectTimer = setTimeout(() => {
            if (!isConnected)
                giveUp();
        }, CONNECT_TIMEOUT_MS);
        const headTimer = call.headTimeoutMs === undefined
            ? undefined
            : setTimeout(giveUp, call.headTimeoutMs);
        const clear = () => {
            clearTimeout(connectTimer);
            clearTimeout(headTimer);
        };
        req.on("socket", (socket) => {
            if (!socket.connecting)
                isConnected = true;
            else {
                socket.once("connect", () => {
                    isConnected = true;
                });
            }
        });
        req.on("response", (answer) => {
            clear();
            // After the head, a broken connection shows on the body alone.
            req.on("error", () => { });
            resolve({
                status: answer.statusCode ?? 0,
                headers: answer.headers,
                body: answer,
            });
        });
        req.on("error", (error) => {
            clear();
            reject(new HttpSendError(getReason(error), {
                verdict: isConnected ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
                isBroken: !isTimeout && call.signal?.aborted !== true,
            }));
        });
        req.end(call.body);
    });
}
/** Reads a whole body of at most `limit` bytes. */
export async function readBody(body, limit) {
    const announced = Number(body.headers["content-length"] ?? 0);
    if (announced > limit)
        throw createTooLarge(limit);
    const chunks = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > limit)
            throw createTooLarge(limit);
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
function createTooLarge(limit) {
    return new ServingError(MessageCode.BODY_TOO_LARGE, {
        verdict: Verdict.NOT_RUN,
        parameters: { limit },
    });
}
/** Headers that belong to one connection and are not passed on. */
const HOP_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);
/** Headers without those of the connection. */
export function removeHopHeaders(headers) {
    const named = (headers.connection ?? "").split(",").map((name) => name.trim().toLowerCase());
    return Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_HEADERS.has(name) && !named.includes(name)));
}
/** Calls `action` when nothing of a body arrived for `ms` milliseconds. */
export function watchIdle(body, ms, action) {
    body.setTimeout(ms, action);
}
//# sourceMappingURL=http.js.map