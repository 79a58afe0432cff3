import { type StateSettings } from "../schema/mod.ts";
import type { ProcessContext } from "./process_context.ts";
import { StateClient } from "./state_client.ts";
import type { StateHost } from "./state_host.ts";
/** Adds the operators' service to a state host, before it listens. */
export declare function addStateOperators(host: StateHost, settings: StateSettings, context: ProcessContext): StateClient;
