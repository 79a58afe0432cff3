/** Numbers of the fleet's replication groups. */

/** The group that replicates routes and host records, on control hosts. */
export const FLEET_GROUP = 0;

/** The group that replicates jobs, on store hosts. */
export const STORE_GROUP = 1;
