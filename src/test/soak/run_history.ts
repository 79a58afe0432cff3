/**
 * What callers, operators and backend servers saw in a run of the soak, and
 * which of the fleet's promises it breaks.
 */
import {
  EVENT_COUNT,
  getCompleteText,
  getEventData,
} from "../platform_server.ts";
import type { ReceivedRequest } from "../platform_server.ts";

/** Kinds of online requests, by their routes of `createConfig`. */
export const SoakRequestKind = {
  plain: { target: "/p/", runs: 2, isStream: false },
  once: { target: "/n/", runs: 1, isStream: false },
  stream: { target: "/s/", runs: 2, isStream: true },
  live: { target: "/l/", runs: 1, isStream: true },
} as const;

/** Name of one of {@linkcode SoakRequestKind}. */
export type SoakRequestKindName = keyof typeof SoakRequestKind;

/** One attempt of a caller; each has an id of its own. */
export interface CallerAttempt {
  readonly id: string;
  readonly kind: SoakRequestKindName;
  readonly gateway: string;
  readonly body: string;
  readonly startMs: number;
  endMs: number;
  /** 0 without an answer. */
  status: number;
  text: string;
  isComplete: boolean;
  /** The caller left, or its time was over. */
  isPastDeadline: boolean;
}

/** A job that was accepted. */
export interface SoakJob {
  readonly id: string;
  readonly items: readonly string[];
  /** Results in order, as far as they were read. */
  results: { id: string; state: string; text: string }[];
}

/** A read of the configuration. */
export interface ConfigRead {
  readonly version: number;
  /** Newest version that was acknowledged before the read was sent. */
  readonly acknowledgedVersion: number;
}

/** Statuses that promise that nothing has run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Everything that was seen. */
export class RunHistory {
  readonly attempts: CallerAttempt[] = [];
  readonly jobs: SoakJob[] = [];
  /** Items of all jobs that were sent, accepted or not. */
  readonly items = new Set<string>();
  readonly configReads: ConfigRead[] = [];
  /** Broken promises that were noticed as they happened. */
  readonly faults: string[] = [];

  /** Takes a page of results; what was read before must stand. */
  recordResults(job: SoakJob, after: number, page: SoakJob["results"]): void {
    page.forEach((result, index) => {
      const known = job.results[after + index];
      if (known === undefined) job.results[after + index] = result;
      else if (known.id !== result.id || known.text !== result.text) {
        this.faults.push(
          `job ${job.id}: position ${after + index} held ${known.id}, then ` +
            result.id,
        );
      }
    });
  }

  /** All broken promises, one line each. */
  getViolations(receivedRequests: readonly ReceivedRequest[]): string[] {
    const runsById = new Map<string, ReceivedRequest[]>();
    receivedRequests.filter((one) => one.ran)
      .forEach((one) =>
        runsById.set(one.id, [...runsById.get(one.id) ?? [], one])
      );
    return [
      ...this.faults,
      ...this.attempts.flatMap((one) =>
        getAttemptViolations(one, runsById.get(one.id) ?? [])
      ),
      ...this.jobs.flatMap(getJobViolations),
      ...this.configReads.filter((read) =>
        read.version < read.acknowledgedVersion
      )
        .map((read) =>
          `version ${read.version} was read after ${read.acknowledgedVersion} had ` +
          "been acknowledged"
        ),
      ...this.#getBodyViolations(receivedRequests),
    ];
  }

  #getBodyViolations(receivedRequests: readonly ReceivedRequest[]): string[] {
    const bodiesById = new Map(this.attempts.map((one) => [one.id, one.body]));
    return receivedRequests.filter((one) => !this.items.has(one.id))
      .filter((one) => bodiesById.get(one.id) !== one.body)
      .map((one) => `request ${one.id} reached a server with another body`);
  }
}

function getAttemptViolations(
  attempt: CallerAttempt,
  runs: readonly ReceivedRequest[],
): string[] {
  const { id, kind, status } = attempt;
  const violations: string[] = [];
  const label = `${kind} request ${id} at ${attempt.gateway}`;
  if (runs.length > SoakRequestKind[kind].runs) {
    violations.push(`${label} ran ${runs.length} times`);
  }
  if (
    NOT_RUN_STATUSES.has(status) && SoakRequestKind[kind].runs === 1 &&
    runs.length > 0
  ) {
    violations.push(`${label} was answered ${status} and ran`);
  }
  if (status !== 200) return violations;
  const lines = attempt.text.split("\n")
    .filter((line) => line.startsWith("data: "))
    .map((line) => line.slice("data: ".length));
  const isPrefix = lines.every((line, index) =>
    index === lines.length - 1 && !attempt.isComplete
      ? getEventData(id, index + 1).startsWith(line)
      : line === getEventData(id, index + 1)
  );
  if (!isPrefix) violations.push(`${label} got other events: ${lines.join()}`);
  if (attempt.isComplete && lines.length !== EVENT_COUNT) {
    violations.push(`${label} got ${lines.length} events as a whole answer`);
  }
  return violations;
}

function getJobViolations(job: SoakJob): string[] {
  const missing = job.items.filter((id) =>
    !job.results.some((result) => result?.id === id)
  );
  const ids = job.results.map((result) => result?.id);
  return [
    ...missing.map((id) => `job ${job.id}: item ${id} has no result`),
    ...ids.filter((id, index) => ids.indexOf(id) !== index)
      .map((id) => `job ${job.id}: item ${id} has two results`),
    ...job.results.filter((result) =>
      result.state !== "done" || result.text !== getCompleteText(result.id)
    ).map((result) =>
      `job ${job.id}: item ${result.id} is ${result.state}: ${result.text}`
    ),
  ];
}
