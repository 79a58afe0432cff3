/** The log of the memory that a daemon uses. */
import type { ProcessContext } from "../services/mod.ts";
import { getReason } from "../sys/errors.ts";

/** Interval between `memory` log events, in milliseconds. */
const MEMORY_LOG_INTERVAL_MS = 10_000;

const BYTES_PER_MB = 1 << 20;

/**
 * Logs memory usage periodically, because a process that is killed for its
 * memory usage cannot log that itself.
 */
export function logMemory(
  { log, clock }: Pick<ProcessContext, "log" | "clock">,
  readMemory = () => process.memoryUsage(),
): void {
  clock.startInterval(MEMORY_LOG_INTERVAL_MS, () => {
    try {
      const { rss, heapUsed, external } = readMemory();
      log.info("memory", {
        resident_mb: Math.round(rss / BYTES_PER_MB),
        heap_mb: Math.round(heapUsed / BYTES_PER_MB),
        external_mb: Math.round(external / BYTES_PER_MB),
      });
    } catch (error) {
      // The runtime opens a file for it, which takes a descriptor.
      log.warn("memory_unknown", { reason: getReason(error) });
    }
  });
}
