/** A backend server as the policy sees it. */
import type { BackendServer } from "../membership/mod.ts";
import type { ServerStanding } from "../policy/mod.ts";
/** What routing needs to know of a server. */
export declare function getStanding(server: BackendServer): ServerStanding;
/** Sequences that online requests may fill. */
export declare function getSequenceLimit(server: BackendServer): number;
/** Whether the server has the model, or does not say. */
export declare function isLoaded(server: BackendServer, model: string): boolean;
