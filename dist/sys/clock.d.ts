/**
 * The clock. Production code reads time and starts timers only through this
 * class, so that a test replaces time whole.
 */
/** A timer that can be cancelled. */
export interface Timer {
    /** Stops the timer; after it fired this does nothing. */
    cancel(): void;
}
/** Source of time and timers. */
export declare abstract class Clock {
    /** Wall time in milliseconds since the Unix epoch. */
    abstract getWallMs(): number;
    /** Monotonic time in milliseconds from an arbitrary start. */
    abstract getMonotonicMs(): number;
    /** Calls `action` once after `ms` milliseconds. */
    abstract startTimer(ms: number, action: () => void): Timer;
    /** Calls `action` every `ms` milliseconds until cancelled. */
    startInterval(ms: number, action: () => void): Timer;
    /** Resolves after `ms` milliseconds. */
    delay(ms: number): Promise<void>;
}
/** The machine's own clock. */
export declare class SystemClock extends Clock {
    getWallMs(): number;
    getMonotonicMs(): number;
    startTimer(ms: number, action: () => void): Timer;
}
/** A clock that moves only when told; for tests and embedding. */
export declare class ManualClock extends Clock {
    #private;
    constructor(startMs?: number);
    getWallMs(): number;
    getMonotonicMs(): number;
    startTimer(ms: number, action: () => void): Timer;
    /** Moves time by `ms`, firing due timers in order. */
    advance(ms: number): void;
}
