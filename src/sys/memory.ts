/** Limits of the memory of this process. */
import { getHeapStatistics } from "node:v8";

/** Largest size of the JavaScript heap, in bytes. */
export function getHeapLimitBytes(): number {
  return getHeapStatistics().heap_size_limit;
}
