/**
 * HTTP by Node's own library, on both sides. This module is the door to it:
 * it opens servers, sends requests and says of a failed request whether it may
 * have run.
 */
import http from "node:http";
import { Verdict } from "../schema/mod.ts";
export type { IncomingHttpHeaders, IncomingMessage, ServerResponse, } from "node:http";
/** Takes one request. */
export type HttpHandler = (req: http.IncomingMessage, res: http.ServerResponse) => void;
/** A server and its real address. */
export interface HttpListener {
    readonly address: string;
    /** Takes no new connection and resolves when the open requests have ended. */
    drain(): Promise<void>;
    /** Ends all connections. */
    close(): void;
}
/** Splits host:port. */
export declare function parseAddress(address: string): {
    host: string;
    port: number;
};
/** Opens a server; a busy port is PORT_BUSY. */
export declare function listenHttp(address: string, handler: HttpHandler, options?: {
    headerBytes?: number;
    onHeadersTooLarge?: string;
}): Promise<HttpListener>;
/** One request to send. */
export interface HttpCall {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: Uint8Array | string;
    /** Use a connection of its own, so that a refused one is truly not run. */
    readonly isFresh?: boolean;
    /** Longest wait for the head of the answer, in milliseconds. */
    readonly headTimeoutMs?: number;
    readonly signal?: AbortSignal;
}
/** The head of an answer; the body follows as a stream. */
export interface HttpAnswer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: http.IncomingMessage;
}
/** A request without an answer. */
export declare class HttpSendError extends Error {
    /** Not run only when no byte of the request can have arrived. */
    readonly verdict: Verdict;
    /** The connection broke, rather than the wait for the answer. */
    readonly isBroken: boolean;
    constructor(reason: string, options: {
        verdict: Verdict;
        isBroken: boolean;
    });
}
/** Sends a request and resolves with the head of its answer. */
export declare function sendHttp(call: HttpCall): Promise<HttpAnswer>;
/** Reads a whole body of at most `limit` bytes. */
export declare function readBody(body: http.IncomingMessage, limit: number): Promise<Buffer>;
/** Headers without those of the connection. */
export declare function removeHopHeaders(headers: http.IncomingHttpHeaders): http.OutgoingHttpHeaders;
/** Calls `action` when nothing of a body arrived for `ms` milliseconds. */
export declare function watchIdle(body: http.IncomingMessage, ms: number, action: () => void): void;
