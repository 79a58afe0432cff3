/** The group of the configuration, orders and entries. */
export declare const CONTROL_GROUP = 0;
/** All item groups. */
export declare function getItemGroups(count: number): number[];
/** The item group that holds a job or a keyed request. */
export declare function getItemGroup(key: string, count: number): number;
/** Placement key of a keyed request. */
export declare function getRequestPlacement(caller: string, key: string): string;
