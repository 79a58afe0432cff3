/** What the bench and its worker threads tell each other. */
import type { StandInEngineOptions } from "./stand_in_engine.ts";

/** What a worker runs. */
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

/** Requests to a worker. */
export type WorkerRequest =
  | { readonly kind: "count" }
  | { readonly kind: "crash"; readonly engines: number }
  | { readonly kind: "close" };

/** Counts of a worker since its start. */
export interface WorkerCounts {
  readonly tokens: number;
  /** Part of the time in which the event loop was busy, since the last count. */
  readonly busy: number;
  readonly heapBytes: number;
  readonly sentBytes: number;
  readonly sentMessages: number;
  readonly metrics: Record<string, number>;
}

/** Answers of a worker. */
export type WorkerReply =
  | { readonly kind: "ready"; readonly addresses: string[] }
  | { readonly kind: "counts"; readonly counts: WorkerCounts };
