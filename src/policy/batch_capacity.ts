/**
 * Computes how many batch sequences a server can take. Batch fills the capacity
 * that online requests leave below a limit, minus the operator's reserve.
 */
import { Emphasis } from "../schema/mod.ts";

/** Sequences on a server that determine its capacity for batch. */
export interface ServerOccupancy {
  /** Online sequences of all entries on the server. */
  readonly online: number;
  /** Highest number of online sequences over the last seconds. */
  readonly onlinePeak: number;
  readonly ownBatch: number;
  readonly sequenceTarget: number;
}

/** Settings that balance batch against online requests. */
export interface BatchPolicy {
  readonly emphasis: Emphasis;
  /** Sequences that the operator wants to keep free in any case. */
  readonly reserve: number;
}

/** Fraction of the online peak that all sequences together may reach. */
const PEAK_FRACTION = 0.7;

/** Fraction of the sequence target that may be filled however low the peak. */
const MIN_FILL_FRACTION = 0.25;

/**
 * Returns the total number of sequences up to which batch fills a server. If
 * online tail latency has priority, batch never makes an engine step longer
 * than in recent online bursts, so that it does not add to the tail latency.
 */
export function getFillLimit(
  occupancy: ServerOccupancy,
  emphasis: Emphasis,
): number {
  const { onlinePeak, sequenceTarget } = occupancy;
  if (emphasis !== Emphasis.LATENCY) return sequenceTarget;
  const minimum = sequenceTarget * MIN_FILL_FRACTION;
  const limit = Math.floor(Math.max(onlinePeak * PEAK_FRACTION, minimum));
  return Math.min(sequenceTarget, limit);
}

/** Batch sequences that may be added; negative if some must be preempted. */
export function getBatchCapacity(
  occupancy: ServerOccupancy,
  policy: BatchPolicy,
): number {
  const used = occupancy.online + occupancy.ownBatch;
  const capacity = getFillLimit(occupancy, policy.emphasis) - used;
  return capacity < 0 ? capacity : Math.max(0, capacity - policy.reserve);
}
