/**
 * Logs which jobs and ends a store host applies, at which log index, and what it
 * restores. Shows whether an item that runs after the end of its job was started on
 * a state without that end, or the job came after its end.
 */
import type { JobChange, JobObserver } from "../state/mod.ts";
import { getCodeName } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";

/** Observes the jobs of one store host. */
export class JobLog implements JobObserver {
  readonly #log: Log;
  readonly #metrics: Metrics;

  constructor(context: { readonly log: Log; readonly metrics: Metrics }) {
    this.#log = context.log;
    this.#metrics = context.metrics;
  }

  onSubmitted(change: JobChange): void {
    this.#log.info("job_applied", describeChange(change));
  }

  onEnded(change: JobChange): void {
    this.#log.info("job_end_applied", describeChange(change));
    this.#metrics.count(MetricName.jobEnds, 1, {
      found: String(change.wasKnown),
    });
  }

  onRestored(jobs: number, open: number): void {
    this.#log.info("jobs_restored", { jobs, open });
  }
}

function describeChange(
  { job, index, term, timeMs, wasKnown, wasEnded, code }: JobChange,
) {
  return {
    job,
    index,
    term,
    proposed_ms: timeMs,
    known: wasKnown,
    ended: wasEnded,
    code: code === 0 ? "" : getCodeName(code),
  };
}
