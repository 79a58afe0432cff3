/**
 * How many batch sequences fit on a server. Batch fills what online requests
 * leave below the target, less a reserve that follows the recent height of
 * online bursts.
 */
import { Emphasis } from "../schema/mod.ts";

/** What the room for batch depends on. */
export interface BatchStanding {
  /** Online sequences on the server, by all entries. */
  readonly online: number;
  /** Highest number of online sequences over the last seconds. */
  readonly onlinePeak: number;
  readonly ownBatch: number;
  readonly sequenceTarget: number;
}

/** How batch and online are weighed against each other. */
export interface BatchWeighing {
  readonly emphasis: Emphasis;
  /** Sequences that the operator wants kept free in any case. */
  readonly reserve: number;
}

/** Part of the distance to the recent peak that is kept free. */
const PEAK_SHARE = {
  [Emphasis.EMPHASIS_UNSPECIFIED]: 0.5,
  [Emphasis.LATENCY]: 1,
  [Emphasis.THROUGHPUT]: 0,
} as const;

/** Sequences kept free of batch. */
export function getReserve(
  standing: BatchStanding,
  weighing: BatchWeighing,
): number {
  const distance = Math.max(0, standing.onlinePeak - standing.online);
  const adaptive = Math.ceil(distance * PEAK_SHARE[weighing.emphasis]);
  return Math.max(weighing.reserve, adaptive);
}

/** Batch sequences that may be added; negative when some have to leave. */
export function getBatchRoom(
  standing: BatchStanding,
  weighing: BatchWeighing,
): number {
  const used = standing.online + standing.ownBatch;
  const over = standing.sequenceTarget - used;
  if (over < 0) return over;
  return Math.max(0, over - getReserve(standing, weighing));
}
