/**
 * Batch in the gaps of online traffic: how many requests of batch jobs a
 * backend server may run now, and which of them give way. Answers the load
 * pattern of online bursts every few seconds over a low base: batch fills the
 * valleys to the last slots and leaves again while a burst rises.
 */
import type { ServerCandidate } from "./server_choice.ts";

/** A request of a batch job under way. */
export interface BatchRun {
  readonly item: string;
  readonly startedMs: number;
  /** Time at which the job's results are due, on the same clock. */
  readonly dueMs: number;
}

/** How batch shares a service's backend servers with online requests. */
export interface FillOptions {
  /** Slots of each server kept free for online requests that arrive. */
  readonly reserve: number;
  /** Free slots below which batch gives way. */
  readonly yieldBelow: number;
}

/**
 * One slot: two leave jobs behind on the scale days, where items fill the
 * valleys between bursts to the last (docs/design/platform.md).
 */
export const DEFAULT_FILL: FillOptions = { reserve: 1, yieldBelow: 1 };

/** Requests of batch jobs that a server should lose now. */
export function countToYield(
  server: ServerCandidate,
  batchRuns: number,
  options: FillOptions = DEFAULT_FILL,
): number {
  const free = server.slots - server.busy;
  if (free >= options.yieldBelow) return 0;
  return Math.min(batchRuns, options.yieldBelow - free);
}

/** Those that give way: the latest due, of these the youngest. */
export function selectYielding<R extends BatchRun>(
  runs: readonly R[],
  count: number,
): R[] {
  return [...runs]
    .sort((a, b) => b.dueMs - a.dueMs || b.startedMs - a.startedMs)
    .slice(0, count);
}

/** A waiting item of a job. */
export interface WaitingItem {
  readonly dueMs: number;
  /** Items of its job that still have to run. */
  readonly jobOpen: number;
}

/** Order of waiting items: the earliest due, whole jobs before new ones. */
export function compareWaiting(a: WaitingItem, b: WaitingItem): number {
  return a.dueMs - b.dueMs || a.jobOpen - b.jobOpen;
}
