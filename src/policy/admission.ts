/**
 * Whether an online request that finds no free slot waits here, goes to a
 * server that will queue it, or is refused at once. It goes by the wait that
 * the queue predicts from measured service times.
 */

/** What the decision goes by. */
export interface AdmissionInput {
  /** Online requests at the least busy server, and slots there. */
  readonly busy: number;
  readonly slots: number;
  /** Mean time of a request on a slot, in milliseconds. */
  readonly serviceMs: number;
  /** Latency objective of the request, in milliseconds. */
  readonly targetMs: number;
  /** Time that it has waited here already, in milliseconds. */
  readonly waitedMs: number;
}

/** What becomes of the request. */
export type AdmissionDecision =
  | { readonly kind: "send" }
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "refuse"; readonly retryAfterMs: number };

/**
 * Share of the latency objective for which a request may be held without a
 * server: the platform's own bound on late refusals is a quarter.
 */
const MAX_HOLD_FRACTION = 0.2;

/**
 * Share of the latency objective that may be spent in a server's queue. Other
 * gateways queue there too before their loads are known, so the wait that is
 * predicted comes true twice over in a burst (cartabaza-buylist scale-1).
 */
const MAX_QUEUE_FRACTION = 0.3;

/** Time until a slot frees at a server for a request that queues there. */
export function predictQueueMs(
  input: Pick<AdmissionInput, "busy" | "slots" | "serviceMs">,
): number {
  const ahead = input.busy - input.slots + 1;
  if (ahead <= 0) return 0;
  return ahead * input.serviceMs / Math.max(1, input.slots);
}

/** Decides for a request that finds every slot taken. */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const queueMs = predictQueueMs(input);
  const holdMs = input.targetMs * MAX_HOLD_FRACTION;
  const remainingMs = holdMs - input.waitedMs;
  // A slot that frees within the hold may go to any server: wait for it here.
  if (remainingMs > 0 && queueMs > 0) return { kind: "wait", ms: remainingMs };
  if (queueMs <= input.targetMs * MAX_QUEUE_FRACTION) return { kind: "send" };
  return { kind: "refuse", retryAfterMs: queueMs };
}

/** Spreads callers that come back, so that they don't arrive together. */
export function jitterRetryAfter(ms: number, fraction: number): number {
  return ms * (0.75 + fraction / 2);
}
