/**
 * Scheduling of batch items by the runners of the store group: which items
 * start next, how many slots of a backend server they leave free, and which of
 * them are preempted for online requests. The policy assumes online bursts
 * every few seconds over a low base load. Batch fills nearly all slots between
 * bursts and is preempted as a burst builds up.
 */
import type { ServerCandidate } from "./server_selection.ts";

/** A running item of a batch job. */
export interface BatchRun {
  readonly item: string;
  readonly startedMs: number;
  /** Wall-clock time at which the job's results are due. */
  readonly dueMs: number;
  /** Wall-clock time from which the item is urgent. */
  readonly urgentFromMs: number;
  /** Estimated remaining run time, in milliseconds. */
  readonly remainingMs: number;
  /** Priority if its job has an organisation; 0 is the highest. */
  readonly priority?: number;
}

/**
 * Fraction of the time between submission and due time during which items are
 * not urgent. The platform's jobs are due after 18 s, so this is half of the
 * interval between its bursts.
 */
const NON_URGENT_FRACTION = 0.15;

/**
 * Slots of each server that items leave free for online requests while they are
 * not urgent. With two slots, jobs fall behind in the scale scenarios; even one
 * costs an eighth of the batch capacity (docs/design/platform.md).
 */
const NON_URGENT_RESERVE = 1;

/** Time from which an item is urgent, on the same clock as the arguments. */
export function getUrgentFromMs(submittedMs: number, dueMs: number): number {
  return submittedMs + (dueMs - submittedMs) * NON_URGENT_FRACTION;
}

/** Deadline and remaining run time of an item. */
export type ItemTiming = Pick<
  BatchRun,
  "dueMs" | "urgentFromMs" | "remainingMs"
>;

/** Whether an item can no longer finish by its due time. */
export function isInfeasible(item: ItemTiming, wallMs: number): boolean {
  return wallMs + item.remainingMs > item.dueMs;
}

/** Whether an item is urgent and can still finish by its due time. */
export function isUrgent(item: ItemTiming, wallMs: number): boolean {
  return item.urgentFromMs <= wallMs && !isInfeasible(item, wallMs);
}

/** Slots that an item must leave free on the server where it starts. */
export function getReservedSlots(item: ItemTiming, wallMs: number): number {
  return isUrgent(item, wallMs) ? 0 : NON_URGENT_RESERVE;
}

/**
 * Number of runs to preempt on a server now. Urgent ones are preempted when
 * requests queue there, others as soon as no slot is free.
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
 * Selects the runs to preempt: those of the lowest priority, then those that can't finish by their due time,
 * then those due last, and among these the most recently started.
 */
export function selectRunsToPreempt<R extends BatchRun>(
  runs: readonly R[],
  count: number,
  wallMs: number,
): R[] {
  return [...runs]
    .sort((a, b) =>
      (b.priority ?? 0) - (a.priority ?? 0) ||
      Number(isInfeasible(b, wallMs)) - Number(isInfeasible(a, wallMs)) ||
      b.dueMs - a.dueMs || b.startedMs - a.startedMs
    )
    .slice(0, count);
}

/** A waiting item of a batch job. */
export interface WaitingItem extends ItemTiming {
  /** Number of items of its job that have no result yet. */
  readonly openJobItems: number;
  /** Priority if its job has an organisation; 0 is the highest. */
  readonly priority?: number;
  /** Whether its organisation uses much more than its share of the slots. */
  readonly isOverShare?: boolean;
}

/**
 * Compares waiting items by the order in which they start: by the priority of their
 * organisations, then those that can finish by their due time, then those of
 * organisations within their share, then by due time, and then by the number of open
 * items of the job, so that jobs are completed before new ones start.
 */
export function compareWaitingItems(
  a: WaitingItem,
  b: WaitingItem,
  wallMs: number,
): number {
  return (a.priority ?? 0) - (b.priority ?? 0) ||
    Number(isInfeasible(a, wallMs)) - Number(isInfeasible(b, wallMs)) ||
    Number(a.isOverShare ?? false) - Number(b.isOverShare ?? false) ||
    a.dueMs - b.dueMs || a.openJobItems - b.openJobItems;
}
