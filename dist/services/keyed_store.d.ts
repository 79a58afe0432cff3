/**
 * Idempotency keys in the replicated state: the first request under a key
 * runs, a resent one reads its outcome through whatever entry it comes.
 */
import type { Outcome } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Random } from "../sys/random.ts";
import { type ItemSessions } from "./item_sessions.ts";
import type { StateClient } from "./state_client.ts";
/** A request under a key. */
export interface KeyedCall {
    readonly caller: string;
    readonly operator: string;
    readonly key: string;
    readonly digest: Uint8Array;
    readonly isNonIdempotent: boolean;
    /** Monotonic milliseconds. */
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
}
/** The right to run a request, or the outcome of the first one. */
export type KeyedStart = {
    readonly kind: "run";
    finish(outcome: Outcome | undefined): Promise<void>;
} | {
    readonly kind: "known";
    readonly outcome: Outcome;
};
/** What is done with a request under a key. */
export interface KeyedActions {
    /** The first request under the key has this outcome. */
    readonly onKnown: (outcome: Outcome) => void;
    /** Runs the request; `finish` records its outcome. */
    readonly run: (signal: AbortSignal, finish: (outcome: Outcome) => Promise<void>) => Promise<void>;
}
/** Keyed requests of one entry. */
export declare class KeyedStore {
    #private;
    constructor(options: {
        state: StateClient;
        sessions: ItemSessions;
        groupCount: number;
        clock: Clock;
        random: Random;
    });
    /**
     * Runs a request under its key, or answers with the outcome of the first. A
     * non-idempotent request goes on without its caller: the outcome is there
     * when the caller asks again.
     */
    runUnderKey(call: KeyedCall, actions: KeyedActions): Promise<void>;
    /**
     * Starts a request under its key. Throws KEY_REUSED for another body, and
     * STATE_UNREACHABLE with the verdict that an earlier request under the key
     * may have run.
     */
    begin(call: KeyedCall): Promise<KeyedStart>;
}
