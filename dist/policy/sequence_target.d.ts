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
/** The next target after an observation. */
export declare function adaptTarget(target: number, seen: GapObservation, bounds: TargetBounds): number;
