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
  /** Time at which the job's results are due, on the wall clock. */
  readonly dueMs: number;
  /** Time from which it is urgent, on the same clock. */
  readonly urgentFromMs: number;
}

/**
 * Share of the time to a job's results after which its items are urgent. A run
 * of 5 s that a burst of 2.4 s in 5.8 s interrupts takes half of the 18 s that
 * the platform's jobs have.
 */
const PATIENT_SHARE = 0.4;

/**
 * Slots of each server that items which are not urgent leave to online
 * requests. Two leave jobs behind on the scale days, and even one an eighth of
 * what items could have (docs/design/platform.md).
 */
const PATIENT_RESERVE = 1;

/** When an item becomes urgent, on the clock of both times. */
export function getUrgentFrom(submittedMs: number, dueMs: number): number {
  return submittedMs + (dueMs - submittedMs) * PATIENT_SHARE;
}

/** Slots of a server that an item must leave free when it starts. */
export function getReserve(isUrgent: boolean): number {
  return isUrgent ? 0 : PATIENT_RESERVE;
}

/**
 * Requests of batch jobs that a server should lose now. Urgent ones leave when
 * online requests queue there, the others as soon as no slot is free.
 */
export function countToYield(
  server: ServerCandidate,
  runs: { readonly patient: number; readonly urgent: number },
): number {
  const free = server.slots - server.busy;
  const forReserve = Math.min(runs.patient, PATIENT_RESERVE - free);
  const forQueue = Math.min(runs.patient + runs.urgent, -free);
  return Math.max(0, forReserve, forQueue);
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
