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
const GAP_RAISE = 0.94;
const GAP_LOWER = 0.98;

/** Most that a target falls at once. */
const MIN_FACTOR = 0.9;
const NEARLY_FULL = 0.9;

/** The next target after an observation. */
export function adaptSequenceTarget(
  target: number,
  seen: GapObservation,
  bounds: TargetBounds,
): number {
  const clamp = (value: number) =>
    Math.min(bounds.most, Math.max(bounds.least, value));
  if (bounds.gapTargetMs === 0 || seen.gapMs === 0) return clamp(target);
  const share = seen.gapMs / bounds.gapTargetMs;
  const isFull = seen.sequences >= target * NEARLY_FULL;
  if (share > GAP_LOWER) {
    const factor = Math.max(MIN_FACTOR, GAP_LOWER / share);
    // A target that is not used says nothing of the gap that it would give.
    const used = Math.min(target, seen.sequences);
    return clamp(Math.floor(used * factor));
  }
  return clamp(isFull && share < GAP_RAISE ? target + 1 : target);
}
