/**
 * The clock. Production code reads time and starts timers only through this
 * class, so that a test replaces time whole.
 */
/** Source of time and timers. */
export class Clock {
    /** Calls `action` every `ms` milliseconds until cancelled. */
    startInterval(ms, action) {
        let cancelled = false;
        const arm = () => this.startTimer(ms, () => {
            if (cancelled)
                return;
            timer = arm();
            action();
        });
        let timer = arm();
        return {
            cancel: () => {
                cancelled = true;
                timer.cancel();
            },
        };
    }
    /** Resolves after `ms` milliseconds. */
    delay(ms) {
        return new Promise((resolve) => this.startTimer(ms, resolve));
    }
}
/** The machine's own clock. */
export class SystemClock extends Clock {
    getWallMs() {
        return Date.now();
    }
    getMonotonicMs() {
        return performance.now();
    }
    startTimer(ms, action) {
        const handle = setTimeout(action, ms);
        return { cancel: () => clearTimeout(handle) };
    }
}
/** A clock that moves only when told; for tests and embedding. */
export class ManualClock extends Clock {
    #nowMs;
    #order = 0;
    #pending = [];
    constructor(startMs = 1_000_000) {
        super();
        this.#nowMs = startMs;
    }
    getWallMs() {
        return this.#nowMs;
    }
    getMonotonicMs() {
        return this.#nowMs;
    }
    startTimer(ms, action) {
        const timer = { dueMs: this.#nowMs + ms, order: this.#order++, action };
        this.#pending.push(timer);
        return {
            cancel: () => {
                this.#pending = this.#pending.filter((other) => other !== timer);
            },
        };
    }
    /** Moves time by `ms`, firing due timers in order. */
    advance(ms) {
        const endMs = this.#nowMs + ms;
        let next = this.#tryTakeDue(endMs);
        while (next !== undefined) {
            this.#nowMs = Math.max(this.#nowMs, next.dueMs);
            next.action();
            next = this.#tryTakeDue(endMs);
        }
        this.#nowMs = endMs;
    }
    #tryTakeDue(endMs) {
        const due = this.#pending
            .filter((timer) => timer.dueMs <= endMs)
            .sort((a, b) => a.dueMs - b.dueMs || a.order - b.order)[0];
        if (due === undefined)
            return undefined;
        this.#pending = this.#pending.filter((other) => other !== due);
        return due;
    }
}
//# sourceMappingURL=clock.js.map