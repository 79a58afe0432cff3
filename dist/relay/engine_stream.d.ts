/**
 * One attempt of a completion on a model engine. Events pass on whole, in order
 * and unread.
 */
import { Verdict } from "../schema/mod.ts";
import type { Progress } from "./event_log.ts";
/** Body of a completion as callers and engines write it. */
export interface CompletionBody {
    readonly model: string;
    readonly prompt?: unknown;
    readonly messages?: unknown;
    readonly max_tokens?: number;
    readonly stream?: boolean;
    readonly [field: string]: unknown;
}
/** Takes the events of a stream. */
export interface EventSink {
    /** Takes whole events; false asks for a pause. */
    onEvents(events: Buffer, count: number): boolean;
    /** Resolves when there is room again. */
    whenReady(): Promise<void>;
}
/** How an attempt ended. */
export type AttemptEnd = {
    readonly kind: "done";
}
/** The engine answered with an error; it did not start. */
 | {
    readonly kind: "answered";
    readonly status: number;
    readonly body: Buffer;
    readonly contentType: string;
}
/** The connection broke or stalled. */
 | {
    readonly kind: "broken";
    readonly reason: string;
    readonly verdict: Verdict;
    readonly isConnectionLost: boolean;
} | {
    readonly kind: "aborted";
};
/** One attempt. */
export interface EngineAttempt {
    readonly address: string;
    readonly path: string;
    readonly body: CompletionBody;
    readonly progress: Progress;
    readonly requestId: string;
    readonly isFresh: boolean;
    /** Longest wait for the head and between events, in milliseconds. */
    readonly stallMs: number;
    readonly signal: AbortSignal;
}
/** Runs one attempt and passes its events to `sink`. */
export declare function runEngineAttempt(attempt: EngineAttempt, sink: EventSink): Promise<AttemptEnd>;
