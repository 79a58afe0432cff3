/**
 * How many batch sequences fit on a server. Batch fills what online requests
 * leave below a limit, less the reserve that the operator wants.
 */
import { Emphasis } from "../schema/mod.ts";

/** What the room for batch depends on. */
export interface ServerOccupancy {
  /** Online sequences on the server, by all entries. */
  readonly online: number;
  /** Highest number of online sequences over the last seconds. */
  readonly onlinePeak: number;
  readonly ownBatch: number;
  readonly sequenceTarget: number;
}

/** How batch and online are weighed against each other. */
export interface BatchPolicy {
  readonly emphasis: Emphasis;
  /** Sequences that the operator wants kept free in any case. */
  readonly reserve: number;
}

/** Share of the online peak that all sequences may reach together. */
const PEAK_FRACTION = 0.7;

/** Share of a server's target that batch may fill however low the peak is. */
const MIN_FILL_FRACTION = 0.25;

/**
 * Sequences of all kinds up to which batch fills a server. Where online tail
 * latency weighs more, a step never grows longer than in the recent online
 * bursts, so that the tail stays what online requests make it themselves.
 */
export function getFillLimit(
  occupancy: ServerOccupancy,
  emphasis: Emphasis,
): number {
  const { onlinePeak, sequenceTarget } = occupancy;
  if (emphasis !== Emphasis.LATENCY) return sequenceTarget;
  const minimum = sequenceTarget * MIN_FILL_FRACTION;
  const limit = Math.floor(Math.max(onlinePeak * PEAK_FRACTION, minimum));
  return Math.min(sequenceTarget, limit);
}

/** Batch sequences that may be added; negative when some have to leave. */
export function getBatchCapacity(
  occupancy: ServerOccupancy,
  policy: BatchPolicy,
): number {
  const used = occupancy.online + occupancy.ownBatch;
  const capacity = getFillLimit(occupancy, policy.emphasis) - used;
  return capacity < 0 ? capacity : Math.max(0, capacity - policy.reserve);
}
