/**
 * Which job's item runs next. Jobs that run out of slack go first, by earliest
 * deadline; otherwise the caller that has used least goes first, and among its
 * jobs the earliest deadline.
 */
/** What the order of a job depends on. */
export interface JobStanding {
    readonly jobId: string;
    readonly caller: string;
    /** Milliseconds since the Unix epoch; zero means none. */
    readonly deadlineMs: number;
    /** Items that wait. */
    readonly waiting: number;
}
/** Cost that callers have used so far, by caller. */
export type CallerUsage = ReadonlyMap<string, number>;
/** Milliseconds left to a job after its waiting items have run. */
export declare function getSlackMs(job: JobStanding, nowMs: number): number;
/** The job whose item runs next; undefined when none waits. */
export declare function trySelectJob<T extends JobStanding>(jobs: readonly T[], usage: CallerUsage, nowMs: number): T | undefined;
