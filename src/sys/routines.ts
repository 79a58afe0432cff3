/**
 * Routines on js-csp. A routine is a coroutine, written as a generator, that
 * communicates over channels. These helpers add types, wait for promises, clear
 * timers that are no longer needed, and give every routine a single error
 * handler.
 */
import csp from "js-csp";
import type { Channel } from "js-csp";
import type { Clock } from "./clock.ts";

export type { Channel } from "js-csp";

/** A running routine that returns `T`. */
export type Routine<T> = Generator<unknown, T, unknown>;

/** Outcome of a promise. */
export type Settled<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly error: unknown };

/** Creates a channel that buffers the newest `size` values and never blocks. */
export function createSlidingChannel<T>(size: number): Channel<T> {
  return csp.chan<T>(csp.buffers.sliding(size));
}

/** Starts `routine`; an error that it throws is passed to `onError`. */
export function spawnRoutine(
  routine: () => Routine<void>,
  onError: (error: unknown) => void,
): void {
  csp.go(function* () {
    try {
      yield* routine();
    } catch (error) {
      onError(error);
    }
    return true;
  });
}

/** Puts `value` without waiting; a closed channel discards it. */
export function send<T>(channel: Channel<T>, value: T): void {
  if (channel.isClosed()) return;
  csp.offer(channel, value);
}

/** Takes the next value; returns undefined once the channel is closed. */
export function* tryReceive<T>(channel: Channel<T>): Routine<T | undefined> {
  const value = yield csp.take(channel);
  return value === csp.CLOSED ? undefined : value as T;
}

/** Waits for a promise; a rejection is returned as a value. */
export function* settle<T>(promise: Promise<T>): Routine<Settled<T>> {
  const channel = csp.chan<Settled<T>>(1);
  promise.then(
    (value) => csp.offer(channel, { ok: true, value }),
    (error) => csp.offer(channel, { ok: false, error }),
  );
  return (yield csp.take(channel)) as Settled<T>;
}

/** Waits for a promise; a rejection is thrown inside the routine. */
export function* waitFor<T>(promise: Promise<T>): Routine<T> {
  const settled = yield* settle(promise);
  if (!settled.ok) throw settled.error;
  return settled.value;
}

/** Waits for `ms` milliseconds of `clock`. */
export function* sleep(clock: Clock, ms: number): Routine<void> {
  const channel = csp.chan<boolean>(1);
  clock.startTimer(ms, () => csp.offer(channel, true));
  yield csp.take(channel);
}

/**
 * Takes the next value, waiting for at most `ms` milliseconds; returns
 * undefined after that or once the channel is closed. The timer is cancelled as
 * soon as a value arrives, so that none remains after the wait.
 */
export function* tryReceiveWithTimeout<T>(
  channel: Channel<T>,
  clock: Clock,
  ms: number,
): Routine<T | undefined> {
  const deadline = csp.chan<boolean>(1);
  const timer = clock.startTimer(ms, () => csp.offer(deadline, true));
  const result = (yield csp.alts([channel, deadline], {
    priority: true,
  })) as { channel: unknown; value: unknown };
  timer.cancel();
  if (result.channel !== channel || result.value === csp.CLOSED) {
    return undefined;
  }
  return result.value as T;
}

/** Passes values on, and calls `onFirst` before the first one. */
export async function* observeFirst<T>(
  values: AsyncIterable<T>,
  onFirst: () => void,
): AsyncIterable<T> {
  let isFirst = true;
  for await (const value of values) {
    if (isFirst) onFirst();
    isFirst = false;
    yield value;
  }
}
