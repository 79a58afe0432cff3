/**
 * Which job's item runs next. Jobs that run out of slack go first, by earliest
 * deadline; otherwise the caller that has used least goes first, and among its
 * jobs the earliest deadline.
 */

/** What the order of a job depends on. */
export interface JobCandidate {
  readonly jobId: string;
  readonly caller: string;
  /** Milliseconds since the Unix epoch; zero means none. */
  readonly deadlineMs: number;
  /** Items that wait. */
  readonly waiting: number;
}

/** Cost that callers have used so far, by caller. */
export type CallerUsage = ReadonlyMap<string, number>;

/** Time that one waiting item is taken to need, in milliseconds. */
const ITEM_ESTIMATE_MS = 20;

/** Slack below which a job goes first whatever its caller has used. */
const URGENT_SLACK_MS = 10_000;

function getDeadlineMs(job: JobCandidate): number {
  return job.deadlineMs === 0 ? Infinity : job.deadlineMs;
}

/** Milliseconds left to a job after its waiting items have run. */
export function getSlackMs(job: JobCandidate, nowMs: number): number {
  return getDeadlineMs(job) - nowMs - job.waiting * ITEM_ESTIMATE_MS;
}

/** The job whose item runs next; undefined when none waits. */
export function trySelectJob<T extends JobCandidate>(
  jobs: readonly T[],
  usage: CallerUsage,
  nowMs: number,
): T | undefined {
  const rows = jobs.filter((job) => job.waiting > 0).map((job) => ({
    job,
    // A job that can't be met any more is not urgent: it must not make
    // others late as well.
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
