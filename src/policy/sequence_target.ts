/**
 * The number of sequences at which an engine still meets the target for the
 * time between tokens. It rises by one while the target is met under load and
 * falls in proportion when it is not.
 */

/** What was seen of one server over a short time. */
export interface GapObservation {
  /** 95th percentile of the time between tokens, in milliseconds. */
  readonly gapMs: number;
  readonly sequences: number;
}

/** Bounds of a target. */
export interface TargetBounds {
  /** Wanted time between tokens, in milliseconds; zero for no wish. */
  readonly gapTargetMs: number;
  readonly least: number;
  readonly most: number;
}

/** Shares of the gap target between which the target stays as it is. */
const RAISE_BELOW_RATIO = 0.94;
const LOWER_ABOVE_RATIO = 0.98;

/** Most that a target falls at once. */
const MIN_DECREASE_FACTOR = 0.9;
const FULL_LOAD_FRACTION = 0.9;

/** The next target after an observation. */
export function adaptSequenceTarget(
  target: number,
  observation: GapObservation,
  bounds: TargetBounds,
): number {
  const clamp = (value: number) =>
    Math.min(bounds.most, Math.max(bounds.least, value));
  if (bounds.gapTargetMs === 0 || observation.gapMs === 0) return clamp(target);
  const ratio = observation.gapMs / bounds.gapTargetMs;
  const isFull = observation.sequences >= target * FULL_LOAD_FRACTION;
  if (ratio > LOWER_ABOVE_RATIO) {
    const factor = Math.max(MIN_DECREASE_FACTOR, LOWER_ABOVE_RATIO / ratio);
    // A target that is not used says nothing of the gap that it would give.
    const used = Math.min(target, observation.sequences);
    return clamp(Math.floor(used * factor));
  }
  return clamp(isFull && ratio < RAISE_BELOW_RATIO ? target + 1 : target);
}
