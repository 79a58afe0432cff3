/** Numbers of the fleet's replicated groups. */

/** The group of the routes and the hosts, on control hosts. */
export const FLEET_GROUP = 0;

/** The group of jobs, on store hosts. */
export const STORE_GROUP = 1;
