/**
 * Selects the job whose item an item group dispatches next. Jobs with little
 * slack go first, by earliest deadline; otherwise the caller with the least
 * usage goes first (fair sharing), and among its jobs the one with the earliest
 * deadline.
 */

/** Properties of a job that determine its order. */
export interface JobCandidate {
  readonly jobId: string;
  readonly caller: string;
  /** Milliseconds since the Unix epoch; zero means none. */
  readonly deadlineMs: number;
  /** Number of waiting items. */
  readonly waiting: number;
}

/** Accumulated cost of dispatched items, by caller. */
export type CallerUsage = ReadonlyMap<string, number>;

/** Assumed run time of a waiting item, in milliseconds. */
const ESTIMATED_ITEM_RUN_MS = 20;

/**
 * Slack below which a job goes first regardless of its caller's usage, in
 * milliseconds.
 */
const URGENT_SLACK_MS = 10_000;

function getDeadlineMs(job: JobCandidate): number {
  return job.deadlineMs === 0 ? Infinity : job.deadlineMs;
}

/** Time between the estimated end of a job's waiting items and its deadline. */
export function getSlackMs(job: JobCandidate, nowMs: number): number {
  return getDeadlineMs(job) - nowMs - job.waiting * ESTIMATED_ITEM_RUN_MS;
}

/** Returns the job whose item runs next; undefined if no items wait. */
export function trySelectJob<T extends JobCandidate>(
  jobs: readonly T[],
  usage: CallerUsage,
  nowMs: number,
): T | undefined {
  const rows = jobs.filter((job) => job.waiting > 0).map((job) => ({
    job,
    // A job past its deadline is not urgent, so that it does not make others
    // late as well.
    urgent: getSlackMs(job, nowMs) < URGENT_SLACK_MS &&
      getDeadlineMs(job) > nowMs,
    used: usage.get(job.caller) ?? 0,
    deadline: getDeadlineMs(job),
  }));
  return rows.reduce<typeof rows[number] | undefined>((best, row) => {
    if (best === undefined) return row;
    if (row.urgent !== best.urgent) return row.urgent ? row : best;
    if (row.urgent || row.used === best.used) {
      if (row.deadline !== best.deadline) {
        return row.deadline < best.deadline ? row : best;
      }
      return row.job.jobId < best.job.jobId ? row : best;
    }
    return row.used < best.used ? row : best;
  }, undefined)?.job;
}
