/**
 * The number of sequences at which an engine still meets the target for the
 * time between tokens. It rises by one while the target is met under load and
 * falls in proportion when it is not.
 */

/** What was seen of one server over a short time. */
export interface GapObservation {
  /** Mean time between tokens, in milliseconds; zero when none was seen. */
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

/** Share of the gap target that is aimed at, so that 95 in 100 meet it. */
const GAP_AIM = 0.9;

const MIN_FACTOR = 0.7;
const NEARLY_FULL = 0.9;

/** The next target after an observation. */
export function adaptTarget(
  target: number,
  seen: GapObservation,
  bounds: TargetBounds,
): number {
  const clamp = (value: number) =>
    Math.min(bounds.most, Math.max(bounds.least, value));
  if (bounds.gapTargetMs === 0 || seen.gapMs === 0) return clamp(target);
  const aimMs = bounds.gapTargetMs * GAP_AIM;
  if (seen.gapMs > aimMs) {
    const factor = Math.max(MIN_FACTOR, aimMs / seen.gapMs);
    return clamp(Math.floor(Math.min(target, seen.sequences) * factor));
  }
  const isFull = seen.sequences >= target * NEARLY_FULL;
  return clamp(isFull ? target + 1 : target);
}
