/**
 * Adapts a server's sequence target: the number of concurrent sequences at
 * which its engine still meets the target for the time between tokens (the gap
 * target). It is increased by one while the gap target is met under load, and
 * decreased proportionally when it is missed.
 */

/** Measurement of one server over a short period. */
export interface GapObservation {
  /** 95th percentile of the time between tokens, in milliseconds. */
  readonly gapMs: number;
  readonly sequences: number;
}

/** Gap target, and bounds of the sequence target. */
export interface TargetBounds {
  /** Target time between tokens, in milliseconds; zero for none. */
  readonly gapTargetMs: number;
  readonly minimum: number;
  readonly maximum: number;
}

/** Ratios of measured gap to gap target between which nothing changes. */
const INCREASE_BELOW_RATIO = 0.94;
const DECREASE_ABOVE_RATIO = 0.98;

/** Factor of the largest single decrease. */
const MIN_DECREASE_FACTOR = 0.9;

/** Fraction of the sequence target in use that counts as full load. */
const FULL_LOAD_FRACTION = 0.9;

/** Returns the new sequence target after an observation. */
export function adaptSequenceTarget(
  target: number,
  observation: GapObservation,
  bounds: TargetBounds,
): number {
  const clamp = (value: number) =>
    Math.min(bounds.maximum, Math.max(bounds.minimum, value));
  if (bounds.gapTargetMs === 0 || observation.gapMs === 0) return clamp(target);
  const ratio = observation.gapMs / bounds.gapTargetMs;
  const isFull = observation.sequences >= target * FULL_LOAD_FRACTION;
  if (ratio > DECREASE_ABOVE_RATIO) {
    const factor = Math.max(MIN_DECREASE_FACTOR, DECREASE_ABOVE_RATIO / ratio);
    // Decrease from the sequences in use: the gap was measured with those, not
    // with an unused target.
    const used = Math.min(target, observation.sequences);
    return clamp(Math.floor(used * factor));
  }
  return clamp(isFull && ratio < INCREASE_BELOW_RATIO ? target + 1 : target);
}
