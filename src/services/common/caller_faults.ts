/**
 * Guards the callers' side of a process, and counts and logs what it refuses or
 * cuts. A flood of refusals logs one line for each cause and second.
 */
import { CallerBudget, deriveBudgetLimits } from "../../sys/caller_budget.ts";
import { type CallerFault, CallerGuard } from "../../sys/caller_guard.ts";
import { getHeapLimitBytes } from "../../sys/memory.ts";
import { MetricName } from "../../sys/metrics.ts";
import type { ProcessContext } from "./process_context.ts";

const BYTES_PER_MB = 1 << 20;

/** Memory of a process beside its heap if its settings do not tell, in bytes. */
const MEMORY_BESIDE_HEAP_BYTES = 100 * BYTES_PER_MB;

/** Time for which faults are counted before a line is logged, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Counts and logs faults of callers. */
export class CallerFaults {
  readonly #context: Pick<ProcessContext, "clock" | "log" | "metrics">;
  readonly #counts = new Map<CallerFault, number>();

  constructor(context: Pick<ProcessContext, "clock" | "log" | "metrics">) {
    this.#context = context;
  }

  /** The first fault of a cause is logged at once, others after the interval. */
  report(fault: CallerFault, address: string): void {
    const { metrics, clock } = this.#context;
    metrics.count(MetricName.callerFaults, 1, { cause: fault });
    const count = this.#counts.get(fault);
    this.#counts.set(fault, (count ?? 0) + 1);
    if (count !== undefined) return;
    this.#log(fault, address, 1);
    this.#counts.set(fault, 0);
    clock.startTimer(LOG_INTERVAL_MS, () => this.#endInterval(fault, address));
  }

  #endInterval(fault: CallerFault, address: string): void {
    const count = this.#counts.get(fault) ?? 0;
    this.#counts.delete(fault);
    if (count === 0) return;
    this.#log(fault, address, count);
    this.#counts.set(fault, 0);
    this.#context.clock.startTimer(
      LOG_INTERVAL_MS,
      () => this.#endInterval(fault, address),
    );
  }

  #log(fault: CallerFault, address: string, count: number): void {
    this.#context.log.warn("caller_fault", { cause: fault, count, address });
  }
}

/** Creates the guard of a process from what its host gives it. */
export function createCallerGuard(
  context: Pick<ProcessContext, "clock" | "log" | "metrics">,
  options: {
    /** 0 for the limit of the heap and 100 MB. */
    memoryMb?: number;
    /** 0 for no limit of connections. */
    maxFiles?: number;
    largestBodyBytes?: number;
  } = {},
): CallerGuard {
  const { memoryMb = 0, maxFiles = 0, largestBodyBytes } = options;
  const faults = new CallerFaults(context);
  const limits = deriveBudgetLimits({
    processBytes: memoryMb > 0
      ? memoryMb * BYTES_PER_MB
      : getHeapLimitBytes() + MEMORY_BESIDE_HEAP_BYTES,
    maxFiles,
    largestBodyBytes,
  });
  return new CallerGuard(
    new CallerBudget(limits),
    (fault, address) => faults.report(fault, address),
  );
}
