/**
 * What callers, operators and backend servers saw in a run of the soak, and
 * which of the fleet's promises it breaks.
 */
import { EVENT_COUNT, getEventData, getWholeText } from "../platform_server.ts";
import type { SeenRequest } from "../platform_server.ts";

/** Kinds of online requests, by their routes of `createConfig`. */
export const SoakKind = {
  plain: { target: "/p/", runs: 2, isStream: false },
  once: { target: "/n/", runs: 1, isStream: false },
  stream: { target: "/s/", runs: 2, isStream: true },
  live: { target: "/l/", runs: 1, isStream: true },
} as const;

/** Name of one of {@linkcode SoakKind}. */
export type SoakKindName = keyof typeof SoakKind;

/** One attempt of a caller; each has an id of its own. */
export interface CallerAttempt {
  readonly id: string;
  readonly kind: SoakKindName;
  readonly gateway: string;
  readonly body: string;
  readonly startMs: number;
  endMs: number;
  /** 0 without an answer. */
  status: number;
  text: string;
  isWhole: boolean;
  /** The caller left, or its time was over. */
  isOver: boolean;
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
  readonly acknowledged: number;
}

/** Statuses that promise that nothing has run. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/** Everything that was seen. */
export class Ledger {
  readonly attempts: CallerAttempt[] = [];
  readonly jobs: SoakJob[] = [];
  /** Items of all jobs that were sent, accepted or not. */
  readonly items = new Set<string>();
  readonly configReads: ConfigRead[] = [];
  /** Broken promises that were noticed as they happened. */
  readonly faults: string[] = [];

  /** Takes a page of results; what was read before must stand. */
  takeResults(job: SoakJob, after: number, page: SoakJob["results"]): void {
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
  getFaults(seen: readonly SeenRequest[]): string[] {
    const runs = new Map<string, SeenRequest[]>();
    seen.filter((one) => one.ran)
      .forEach((one) => runs.set(one.id, [...runs.get(one.id) ?? [], one]));
    return [
      ...this.faults,
      ...this.attempts.flatMap((one) =>
        getAttemptFaults(one, runs.get(one.id) ?? [])
      ),
      ...this.jobs.flatMap(getJobFaults),
      ...this.configReads.filter((read) => read.version < read.acknowledged)
        .map((read) =>
          `version ${read.version} was read after ${read.acknowledged} had ` +
          "been acknowledged"
        ),
      ...this.#getUnasked(seen),
    ];
  }

  #getUnasked(seen: readonly SeenRequest[]): string[] {
    const bodies = new Map(this.attempts.map((one) => [one.id, one.body]));
    return seen.filter((one) => !this.items.has(one.id))
      .filter((one) => bodies.get(one.id) !== one.body)
      .map((one) => `request ${one.id} reached a server with another body`);
  }
}

function getAttemptFaults(
  attempt: CallerAttempt,
  runs: readonly SeenRequest[],
): string[] {
  const { id, kind, status } = attempt;
  const faults: string[] = [];
  const name = `${kind} request ${id} at ${attempt.gateway}`;
  if (runs.length > SoakKind[kind].runs) {
    faults.push(`${name} ran ${runs.length} times`);
  }
  if (NOT_RUN.has(status) && SoakKind[kind].runs === 1 && runs.length > 0) {
    faults.push(`${name} was answered ${status} and ran`);
  }
  if (status !== 200) return faults;
  const lines = attempt.text.split("\n")
    .filter((line) => line.startsWith("data: "))
    .map((line) => line.slice("data: ".length));
  const isPrefix = lines.every((line, index) =>
    index === lines.length - 1 && !attempt.isWhole
      ? getEventData(id, index + 1).startsWith(line)
      : line === getEventData(id, index + 1)
  );
  if (!isPrefix) faults.push(`${name} got other events: ${lines.join()}`);
  if (attempt.isWhole && lines.length !== EVENT_COUNT) {
    faults.push(`${name} got ${lines.length} events as a whole answer`);
  }
  return faults;
}

function getJobFaults(job: SoakJob): string[] {
  const missing = job.items.filter((id) =>
    !job.results.some((result) => result?.id === id)
  );
  const ids = job.results.map((result) => result?.id);
  return [
    ...missing.map((id) => `job ${job.id}: item ${id} has no result`),
    ...ids.filter((id, index) => ids.indexOf(id) !== index)
      .map((id) => `job ${job.id}: item ${id} has two results`),
    ...job.results.filter((result) =>
      result.state !== "done" || result.text !== getWholeText(result.id)
    ).map((result) =>
      `job ${job.id}: item ${result.id} is ${result.state}: ${result.text}`
    ),
  ];
}
