/**
 * Records what callers, operators and backend servers observed in a soak run,
 * and checks the record against the fleet's guarantees.
 */
import {
  EVENT_COUNT,
  getCompleteText,
  getEventData,
} from "../platform_server.ts";
import type { ReceivedRequest } from "../platform_server.ts";

/**
 * Kinds of online requests. Each has a route of the same name in
 * `createConfig`; `runs` is the number of times a request may run.
 */
export const SoakRequestKind = {
  plain: { target: "/p/", runs: 2, isStream: false },
  once: { target: "/n/", runs: 1, isStream: false },
  stream: { target: "/s/", runs: 2, isStream: true },
  live: { target: "/l/", runs: 1, isStream: true },
} as const;

/** Name of one of {@linkcode SoakRequestKind}. */
export type SoakRequestKindName = keyof typeof SoakRequestKind;

/** A single request of a caller, under a unique id. */
export interface CallerAttempt {
  readonly id: string;
  readonly kind: SoakRequestKindName;
  readonly gateway: string;
  readonly body: string;
  readonly startMs: number;
  endMs: number;
  /** HTTP status, or 0 if no response arrived. */
  status: number;
  text: string;
  isComplete: boolean;
  /** Whether the request ended at or after its deadline. */
  isPastDeadline: boolean;
  /** Part of the stream that the caller had before it took the stream up. */
  readonly before: StreamPart;
}

/** What a caller has of a stream. */
export interface StreamPart {
  /** Attempt that brought the first event; empty if there was none. */
  readonly request: string;
  readonly lastEvent: number;
  /** Software versions of the servers that made the events. */
  readonly versions: readonly string[];
}

export const NO_STREAM_PART: StreamPart = {
  request: "",
  lastEvent: 0,
  versions: [],
};

/** Returns what a caller has after an attempt, with what it had before. */
export function getStreamPart(attempt: CallerAttempt): StreamPart {
  const { id, before } = attempt;
  const whole = attempt.text.slice(0, attempt.text.lastIndexOf("\n\n") + 1);
  const lines = getDataLines(whole);
  const versions = lines.map((line) => line.split("@")[1] ?? "");
  return {
    request: before.request || (lines.length > 0 ? id : ""),
    lastEvent: before.lastEvent + lines.length,
    versions: [...new Set([...before.versions, ...versions])],
  };
}

function getDataLines(text: string): string[] {
  return text.split("\n").filter((line) => line.startsWith("data: "))
    .map((line) => line.slice("data: ".length));
}

/** An accepted job. */
export interface SoakJob {
  readonly id: string;
  readonly items: readonly string[];
  /** The results read so far, in order of their positions. */
  results: { id: string; state: string; text: string }[];
}

/** A job that its caller has ended. */
export interface EndedJob extends SoakJob {
  /** Monotonic time of the acknowledgement, in milliseconds; Infinity before. */
  endedMs: number;
}

/** The outcome of one read of the configuration. */
export interface ConfigRead {
  readonly version: number;
  /** Newest version acknowledged before the read was sent. */
  readonly acknowledgedVersion: number;
}

/** Statuses that guarantee that no backend server ran the request. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/**
 * Time after the acknowledgement of a job's end from which no item may reach a server,
 * in milliseconds.
 */
const END_KNOWN_MS = 3_000;

/** The observations of one run. */
export class RunHistory {
  readonly attempts: CallerAttempt[] = [];
  readonly jobs: SoakJob[] = [];
  readonly endedJobs: EndedJob[] = [];
  /** Ids of the items of all submitted jobs, accepted or not. */
  readonly items = new Set<string>();
  readonly configReads: ConfigRead[] = [];
  /** Violations and failures that were detected during the run. */
  readonly faults: string[] = [];

  /** Records a page of results; one that was read before must not change. */
  recordResults(job: SoakJob, after: number, page: SoakJob["results"]): void {
    page.forEach((result, index) => {
      const known = job.results[after + index];
      if (known === undefined) job.results[after + index] = result;
      else if (known.id !== result.id || known.text !== result.text) {
        this.faults.push(
          `job ${job.id}: position ${
            after + index
          } changed from ${known.id} to ` +
            result.id,
        );
      }
    });
  }

  /** Returns all violations of guarantees, one line each. */
  getViolations(receivedRequests: readonly ReceivedRequest[]): string[] {
    const runsById = new Map<string, ReceivedRequest[]>();
    receivedRequests.filter((request) => request.ran)
      .forEach((request) =>
        runsById.set(request.id, [...runsById.get(request.id) ?? [], request])
      );
    return [
      ...this.faults,
      ...this.attempts.flatMap((attempt) =>
        getAttemptViolations(attempt, runsById.get(attempt.id) ?? [])
      ),
      ...this.jobs.flatMap(getJobViolations),
      ...this.configReads.filter((read) =>
        read.version < read.acknowledgedVersion
      )
        .map((read) =>
          `configuration ${read.version} was read after ${read.acknowledgedVersion} had ` +
          "been acknowledged"
        ),
      ...this.#getBodyViolations(receivedRequests),
      ...this.endedJobs.flatMap((job) =>
        getEndViolations(job, receivedRequests)
      ),
    ];
  }

  #getBodyViolations(receivedRequests: readonly ReceivedRequest[]): string[] {
    const bodiesById = new Map(
      this.attempts.map((attempt) => [attempt.id, attempt.body]),
    );
    return receivedRequests.filter((request) => !this.items.has(request.id))
      .filter((request) => bodiesById.get(request.id) !== request.body)
      .map((request) =>
        `request ${request.id} reached a server with a different body`
      );
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
    violations.push(`${label} was answered with ${status} although it ran`);
  }
  if (status !== 200) return violations;
  const { lastEvent } = attempt.before;
  const lines = getDataLines(attempt.text);
  const isPrefix = lines.map((line) => line.split("@")[0] ?? "")
    .every((line, index) =>
      index === lines.length - 1 && !attempt.isComplete
        ? getEventData(id, lastEvent + index + 1).startsWith(line)
        : line === getEventData(id, lastEvent + index + 1)
    );
  const { versions } = getStreamPart(attempt);
  if (versions.length > 1 && SoakRequestKind[kind].isStream) {
    violations.push(`${label} joins versions ${versions.join()}`);
  }
  if (!isPrefix) violations.push(`${label} got wrong events: ${lines.join()}`);
  if (attempt.isComplete && lastEvent + lines.length !== EVENT_COUNT) {
    violations.push(
      `${label} received ${lines.length} events in a complete response`,
    );
  }
  return violations;
}

function getEndViolations(
  { id, items, endedMs }: EndedJob,
  receivedRequests: readonly ReceivedRequest[],
): string[] {
  return receivedRequests.filter((request) =>
    items.includes(request.id) && request.receivedMs > endedMs + END_KNOWN_MS
  ).map((request) =>
    `item ${request.id} reached a server ${
      Math.round(request.receivedMs - endedMs)
    } ms after the end of job ${id}`
  );
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
      result.state !== "done" ||
      result.text.replace(/@\w+$/gm, "") !== getCompleteText(result.id) ||
      new Set(result.text.match(/@\w+$/gm)).size !== 1
    ).map((result) =>
      `job ${job.id}: item ${result.id} is ${result.state}: ${result.text}`
    ),
  ];
}
