/** Numbers of the replicated groups and which group holds what. */
import { getPlacementHash } from "../../sys/random.ts";

/** The group of the configuration, orders and entries. */
export const CONTROL_GROUP = 0;

const FIRST_ITEM_GROUP = 1;

/** All item groups. */
export function getItemGroups(count: number): number[] {
  return Array.from({ length: count }, (_, index) => FIRST_ITEM_GROUP + index);
}

/** The item group that holds a job or a keyed request. */
export function getItemGroup(key: string, count: number): number {
  return FIRST_ITEM_GROUP + getPlacementHash(key) % count;
}

/** Placement key of a keyed request. */
export function getRequestPlacementKey(caller: string, key: string): string {
  return `${caller}/${key}`;
}
