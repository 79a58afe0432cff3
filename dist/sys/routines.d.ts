import type { Channel } from "js-csp";
import type { Clock } from "./clock.ts";
export type { Channel } from "js-csp";
/** A step sequence of a routine that returns `T`. */
export type Steps<T> = Generator<unknown, T, unknown>;
/** Outcome of a promise seen from a routine. */
export type Settled<T> = {
    readonly ok: true;
    readonly value: T;
} | {
    readonly ok: false;
    readonly error: unknown;
};
/** Creates a channel that keeps the newest `size` values and never blocks. */
export declare function createSlidingChannel<T>(size: number): Channel<T>;
/** Starts `routine`; an error that escapes it goes to `onError`. */
export declare function spawnRoutine(routine: () => Steps<void>, onError: (error: unknown) => void): void;
/** Puts `value` without waiting; a closed channel drops it. */
export declare function send<T>(channel: Channel<T>, value: T): void;
/** Takes the next value, or undefined once the channel is closed. */
export declare function tryReceive<T>(channel: Channel<T>): Steps<T | undefined>;
/** Waits for a promise; a rejection comes back as a value. */
export declare function settle<T>(promise: Promise<T>): Steps<Settled<T>>;
/** Waits for a promise; a rejection is thrown inside the routine. */
export declare function waitFor<T>(promise: Promise<T>): Steps<T>;
/** Waits `ms` milliseconds of `clock`. */
export declare function pause(clock: Clock, ms: number): Steps<void>;
/**
 * Takes from `channel` for at most `ms` milliseconds. The timer is cleared as
 * soon as a value arrives, so that no timer outlives its wait.
 */
export declare function tryReceiveWithin<T>(channel: Channel<T>, clock: Clock, ms: number): Steps<T | undefined>;
