/**
 * Numbers of the replicated groups, and the assignment of jobs and keyed
 * requests to them.
 */
import { getPlacementHash } from "../../sys/random.ts";

/** The group that stores the configuration, the orders and the entries. */
export const CONTROL_GROUP = 0;

const FIRST_ITEM_GROUP = 1;

/** Returns the numbers of all item groups. */
export function getItemGroups(count: number): number[] {
  return Array.from({ length: count }, (_, index) => FIRST_ITEM_GROUP + index);
}

/** Returns the item group that stores a job or a keyed request. */
export function getItemGroup(key: string, count: number): number {
  return FIRST_ITEM_GROUP + getPlacementHash(key) % count;
}

/** Returns the key that determines the item group of a keyed request. */
export function getRequestPlacementKey(caller: string, key: string): string {
  return `${caller}/${key}`;
}
