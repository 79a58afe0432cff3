/**
 * Batch in the gaps of online traffic: how many requests of batch jobs a
 * backend server may run now, and which of them give way. Answers the load
 * pattern of online bursts every few seconds over a low base: batch fills the
 * valleys to the last slots and leaves again while a burst rises.
 */
import type { ServerCandidate } from "./server_selection.ts";

/** A request of a batch job under way. */
export interface BatchRun {
  readonly item: string;
  readonly startedMs: number;
  /** Time at which the job's results are due, on the wall clock. */
  readonly dueMs: number;
  /** Time from which it is urgent, on the same clock. */
  readonly urgentFromMs: number;
  /** Time that it still needs, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Share of the time to a job's results after which its items are urgent: half
 * of a burst's interval, of the 18 s that the platform's jobs have.
 */
const NON_URGENT_FRACTION = 0.15;

/**
 * Slots of each server that items which are not urgent leave to online
 * requests. Two leave jobs behind on the scale days, and even one an eighth of
 * what items could have (docs/design/platform.md).
 */
const NON_URGENT_RESERVE = 1;

/** When an item becomes urgent, on the clock of both times. */
export function getUrgentFromMs(submittedMs: number, dueMs: number): number {
  return submittedMs + (dueMs - submittedMs) * NON_URGENT_FRACTION;
}

/** What an item's time goes by. */
export type ItemTiming = Pick<
  BatchRun,
  "dueMs" | "urgentFromMs" | "remainingMs"
>;

/** Whether an item can't be done in time any more. */
export function isInfeasible(item: ItemTiming, wallMs: number): boolean {
  return wallMs + item.remainingMs > item.dueMs;
}

/** Whether an item must run now to be in time. */
export function isUrgent(item: ItemTiming, wallMs: number): boolean {
  return item.urgentFromMs <= wallMs && !isInfeasible(item, wallMs);
}

/** Slots of a server that an item must leave free when it starts. */
export function getReservedSlots(item: ItemTiming, wallMs: number): number {
  return isUrgent(item, wallMs) ? 0 : NON_URGENT_RESERVE;
}

/**
 * Requests of batch jobs that a server should lose now. Urgent ones leave when
 * online requests queue there, the others as soon as no slot is free.
 */
export function countRunsToPreempt(
  server: ServerCandidate,
  runs: { readonly nonUrgent: number; readonly urgent: number },
): number {
  const freeSlots = server.slots - server.busy;
  const forReserve = Math.min(runs.nonUrgent, NON_URGENT_RESERVE - freeSlots);
  const forQueue = Math.min(runs.nonUrgent + runs.urgent, -freeSlots);
  return Math.max(0, forReserve, forQueue);
}

/**
 * Those that give way: first what can't be in time, then the latest due, of
 * these the youngest.
 */
export function selectRunsToPreempt<R extends BatchRun>(
  runs: readonly R[],
  count: number,
  wallMs: number,
): R[] {
  return [...runs]
    .sort((a, b) =>
      Number(isInfeasible(b, wallMs)) - Number(isInfeasible(a, wallMs)) ||
      b.dueMs - a.dueMs || b.startedMs - a.startedMs
    )
    .slice(0, count);
}

/** A waiting item of a job. */
export interface WaitingItem extends ItemTiming {
  /** Items of its job that still have to run. */
  readonly jobOpen: number;
}

/**
 * Order of waiting items: those that can be in time, the earliest due first,
 * whole jobs before new ones; then the others.
 */
export function compareWaitingItems(
  a: WaitingItem,
  b: WaitingItem,
  wallMs: number,
): number {
  return Number(isInfeasible(a, wallMs)) - Number(isInfeasible(b, wallMs)) ||
    a.dueMs - b.dueMs || a.jobOpen - b.jobOpen;
}
