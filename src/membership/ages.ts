/** Times since an event, as sent to other processes. */

/** Largest value of an unsigned 32-bit field. */
export const MAX_UINT32 = 2 ** 32 - 1;

/** Whole milliseconds from `atMs` to `nowMs`, as far as a field can hold them. */
export function getAgeMs(atMs: number, nowMs: number): number {
  return Math.min(MAX_UINT32, Math.max(0, Math.round(nowMs - atMs)));
}
