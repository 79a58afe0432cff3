/**
 * Time and timers. Production code uses both only through {@linkcode Clock}, so
 * that a test can substitute all of its time.
 */

/** A timer that can be cancelled. */
export interface Timer {
  /** Stops the timer; has no effect after it has fired. */
  cancel(): void;
}

/** Provides the current time and timers. */
export abstract class Clock {
  /** Wall time in milliseconds since the Unix epoch. */
  abstract getWallMs(): number;

  /** Monotonic time in milliseconds from an arbitrary start. */
  abstract getMonotonicMs(): number;

  /** Calls `action` once after `ms` milliseconds. */
  abstract startTimer(ms: number, action: () => void): Timer;

  /** Calls `action` every `ms` milliseconds until cancelled. */
  startInterval(ms: number, action: () => void): Timer {
    let cancelled = false;
    const schedule = (): Timer =>
      this.startTimer(ms, () => {
        if (cancelled) return;
        timer = schedule();
        action();
      });
    let timer = schedule();
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  /** Resolves after `ms` milliseconds. */
  delay(ms: number): Promise<void> {
    return new Promise((resolve) => this.startTimer(ms, resolve));
  }
}

/** Longest time that Node.js waits; a longer timer would fire at once. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1;

/** The clock of the operating system. */
export class SystemClock extends Clock {
  override getWallMs(): number {
    return Date.now();
  }

  override getMonotonicMs(): number {
    return performance.now();
  }

  override startTimer(ms: number, action: () => void): Timer {
    const start = (remainingMs: number): ReturnType<typeof setTimeout> =>
      remainingMs <= MAX_TIMEOUT_MS
        ? setTimeout(action, remainingMs)
        : setTimeout(
          () => {
            handle = start(remainingMs - MAX_TIMEOUT_MS);
          },
          MAX_TIMEOUT_MS,
        );
    let handle = start(ms);
    return { cancel: () => clearTimeout(handle) };
  }
}

interface PendingTimer {
  readonly dueMs: number;
  readonly order: number;
  readonly action: () => void;
}

/** A clock that advances only on request, for tests and embedding. */
export class ManualClock extends Clock {
  #nowMs: number;
  #wallOffsetMs = 0;
  #nextOrder = 0;
  #pending: PendingTimer[] = [];

  constructor(startMs = 1_000_000) {
    super();
    this.#nowMs = startMs;
  }

  override getWallMs(): number {
    return this.#nowMs + this.#wallOffsetMs;
  }

  override getMonotonicMs(): number {
    return this.#nowMs;
  }

  /** Steps the wall clock only, as a suspension or an adjustment does. */
  stepWall(ms: number): void {
    this.#wallOffsetMs += ms;
  }

  override startTimer(ms: number, action: () => void): Timer {
    const timer = { dueMs: this.#nowMs + ms, order: this.#nextOrder++, action };
    this.#pending.push(timer);
    return {
      cancel: () => {
        this.#pending = this.#pending.filter((other) => other !== timer);
      },
    };
  }

  /** Advances time by `ms`, firing the timers that are due in order. */
  advance(ms: number): void {
    const endMs = this.#nowMs + ms;
    let next = this.#tryTakeDue(endMs);
    while (next !== undefined) {
      this.#nowMs = Math.max(this.#nowMs, next.dueMs);
      next.action();
      next = this.#tryTakeDue(endMs);
    }
    this.#nowMs = endMs;
  }

  #tryTakeDue(endMs: number): PendingTimer | undefined {
    const due = this.#pending
      .filter((timer) => timer.dueMs <= endMs)
      .sort((a, b) => a.dueMs - b.dueMs || a.order - b.order)[0];
    if (due === undefined) return undefined;
    this.#pending = this.#pending.filter((other) => other !== due);
    return due;
  }
}
