/**
 * Computes how many batch sequences an entry host may add on a server: the
 * sequences below a limit that online requests don't use, minus the operator's
 * reserve.
 */
import { Emphasis } from "../schema/mod.ts";

/** Sequences on a server that determine its capacity for batch items. */
export interface ServerOccupancy {
  /** Online sequences of all entries on the server. */
  readonly online: number;
  /** Recent maximum of online sequences, which decays slowly. */
  readonly onlinePeak: number;
  /** Batch sequences of this entry on the server. */
  readonly ownBatch: number;
  /** Sequences up to which the time between tokens meets its target. */
  readonly sequenceTarget: number;
}

/** Settings that balance batch against online requests. */
export interface BatchPolicy {
  readonly emphasis: Emphasis;
  /** Sequences that the operator wants to keep free in any case. */
  readonly reserve: number;
}

/** Fraction of the online peak up to which batch fills a server. */
const PEAK_FRACTION = 0.7;

/** Fraction of the sequence target up to which batch fills it in any case. */
const MIN_FILL_FRACTION = 0.25;

/**
 * Returns the total number of sequences up to which batch fills a server. If
 * online latency has priority, the limit is a fraction of the recent online
 * peak, but at least a small fraction of the sequence target. Engine steps are
 * then no longer than in recent online bursts, so that batch does not add to
 * the tail latency.
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
