/** Messages between a benchmark and its worker threads. */
import type { StandInEngineOptions } from "./stand_in_engine.ts";

/** What a worker thread runs. */
export type WorkerRole =
  | {
    readonly kind: "states";
    readonly settings: readonly Record<string, unknown>[];
  }
  | { readonly kind: "entry"; readonly settings: Record<string, unknown> }
  | {
    readonly kind: "engines";
    readonly engines: readonly Omit<StandInEngineOptions, "clock">[];
  };

/** Requests to a worker thread. */
export type WorkerRequest =
  | { readonly kind: "count" }
  | { readonly kind: "crash"; readonly engines: number }
  | { readonly kind: "close" };

/** Counts of a worker thread, since its start unless noted. */
export interface WorkerCounts {
  readonly tokens: number;
  /** Utilization of the event loop since the previous count, from 0 to 1. */
  readonly busy: number;
  readonly heapBytes: number;
  readonly sentBytes: number;
  readonly sentMessages: number;
  readonly metrics: Record<string, number>;
}

/** Replies of a worker thread. */
export type WorkerReply =
  | { readonly kind: "ready"; readonly addresses: string[] }
  | { readonly kind: "counts"; readonly counts: WorkerCounts };
