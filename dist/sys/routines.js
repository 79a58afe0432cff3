/**
 * Process routines on js-csp. A routine is a generator that communicates over
 * channels; these helpers give its steps types, bridge promises, make waiting
 * cancellable, and give every routine the one place that catches its errors.
 */
import csp from "js-csp";
/** Creates a channel that keeps the newest `size` values and never blocks. */
export function createSlidingChannel(size) {
    return csp.chan(csp.buffers.sliding(size));
}
/** Starts `routine`; an error that escapes it goes to `onError`. */
export function spawnRoutine(routine, onError) {
    csp.go(function* () {
        try {
            yield* routine();
        }
        catch (error) {
            onError(error);
        }
        return true;
    });
}
/** Puts `value` without waiting; a closed channel drops it. */
export function send(channel, value) {
    if (channel.isClosed())
        return;
    csp.offer(channel, value);
}
/** Takes the next value, or undefined once the channel is closed. */
export function* tryReceive(channel) {
    const value = yield csp.take(channel);
    return value === csp.CLOSED ? undefined : value;
}
/** Waits for a promise; a rejection comes back as a value. */
export function* settle(promise) {
    const channel = csp.chan(1);
    promise.then((value) => csp.offer(channel, { ok: true, value }), (error) => csp.offer(channel, { ok: false, error }));
    return (yield csp.take(channel));
}
/** Waits for a promise; a rejection is thrown inside the routine. */
export function* waitFor(promise) {
    const settled = yield* settle(promise);
    if (!settled.ok)
        throw settled.error;
    return settled.value;
}
/** Waits `ms` milliseconds of `clock`. */
export function* pause(clock, ms) {
    const channel = csp.chan(1);
    clock.startTimer(ms, () => csp.offer(channel, true));
    yield csp.take(channel);
}
/**
 * Takes from `channel` for at most `ms` milliseconds. The timer is cleared as
 * soon as a value arrives, so that no timer outlives its wait.
 */
export function* tryReceiveWithin(channel, clock, ms) {
    const deadline = csp.chan(1);
    const timer = clock.startTimer(ms, () => csp.offer(deadline, true));
    const result = (yield csp.alts([channel, deadline], {
        priority: true,
    }));
    timer.cancel();
    if (result.channel !== channel || result.value === csp.CLOSED) {
        return undefined;
    }
    return result.value;
}
//# sourceMappingURL=routines.js.map