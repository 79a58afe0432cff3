/**
 * Admission control of a gateway for online requests that find no free slot.
 * Such a request is held in the gateway, sent to a server that queues it, or
 * refused at once, depending on the queueing delay predicted from measured
 * service times.
 */

/** Input of an admission decision. */
export interface AdmissionInput {
  /** Online requests at the least loaded server. */
  readonly busy: number;
  /** Number of requests that this server can run concurrently. */
  readonly slots: number;
  /** Mean time for which a request occupies a slot, in milliseconds. */
  readonly serviceMs: number;
  /** Latency objective of the request, in milliseconds. */
  readonly targetMs: number;
  /** Time for which the request has been held already, in milliseconds. */
  readonly waitedMs: number;
  /**
   * Whether the server has a free slot but is slow at this moment, so that the
   * request waits for another one.
   */
  readonly isWithheld?: boolean;
  /**
   * Expected time from the start of the service to the first event at the server,
   * in milliseconds; undefined where the speeds of servers are unknown.
   */
  readonly firstMs?: number;
}

/** Outcome of an admission decision. */
export type AdmissionDecision =
  | { readonly kind: "send" }
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "refuse"; readonly retryAfterMs: number };

/**
 * Fraction of the latency objective for which a request may be held in the
 * gateway. The platform counts a refusal as late if it comes after a quarter of
 * the objective.
 */
const MAX_HOLD_FRACTION = 0.2;

/**
 * Fraction of the latency objective that a request may be predicted to spend in
 * a server's queue. Other gateways queue requests there before their load
 * reports arrive, so in a burst the actual wait is twice the prediction (seen
 * in scenario scale-1 of cartabaza-buylist).
 */
const MAX_QUEUE_FRACTION = 0.3;

/** Time for which a request may still be held in the gateway, in milliseconds. */
export function getHoldMs(
  { targetMs, waitedMs }: Pick<AdmissionInput, "targetMs" | "waitedMs">,
): number {
  return targetMs * MAX_HOLD_FRACTION - waitedMs;
}

/**
 * Predicts the time until a queued request gets a slot at a server: the
 * requests ahead of it times the service time, divided by the number of slots.
 */
export function predictQueueMs(
  input: Pick<AdmissionInput, "busy" | "slots" | "serviceMs">,
): number {
  const ahead = input.busy - input.slots + 1;
  if (ahead <= 0) return 0;
  return ahead * input.serviceMs / Math.max(1, input.slots);
}

/**
 * Predicted wait in a server's queue up to which a request is not held where the
 * speeds of servers are known, in milliseconds: the interval of load reports. A slot
 * that becomes free within it is not known here in time.
 */
const MAX_UNHELD_QUEUE_MS = 80;

/**
 * Fraction of the latency objective for which a request may wait for a server with
 * a limit. The wait is certain, unlike that for a free slot.
 */
const MAX_LIMITED_WAIT_FRACTION = 0.5;

/**
 * Time for which a request may still wait for a server with a limit, in
 * milliseconds.
 */
export function getLimitedWaitMs(
  { targetMs, waitedMs }: Pick<AdmissionInput, "targetMs" | "waitedMs">,
): number {
  return Math.max(0, targetMs * MAX_LIMITED_WAIT_FRACTION - waitedMs);
}

/**
 * Longest predicted wait in a server's queue with which a request is still sent, in
 * milliseconds.
 */
function getMaxQueueMs({ targetMs, waitedMs, firstMs }: AdmissionInput) {
  return firstMs === undefined
    ? targetMs * MAX_QUEUE_FRACTION
    : targetMs - waitedMs - firstMs;
}

/** Decides on a request that finds all slots occupied. */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const queueMs = predictQueueMs(input);
  const remainingMs = getHoldMs(input);
  const mustWait = input.isWithheld === true ||
    queueMs > (input.firstMs === undefined ? 0 : MAX_UNHELD_QUEUE_MS);
  // A request held here can take the first slot that becomes free anywhere.
  if (remainingMs > 0 && mustWait) return { kind: "wait", ms: remainingMs };
  if (queueMs <= getMaxQueueMs(input)) return { kind: "send" };
  return { kind: "refuse", retryAfterMs: queueMs };
}

/**
 * Adds jitter of ±25% to a retry delay, so that retries are spread out;
 * `fraction` is a random number from 0 to 1.
 */
export function jitterRetryAfter(ms: number, fraction: number): number {
  return ms * (0.75 + fraction / 2);
}
