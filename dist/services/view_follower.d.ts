import type { FleetView } from "../membership/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Folder } from "../sys/files.ts";
import type { Log } from "../sys/log.ts";
import { type RpcCredentials } from "../sys/rpc.ts";
import type { StateClient } from "./state_client.ts";
/** How a {@linkcode ViewFollower} is made. */
export interface ViewFollowerOptions {
    readonly entryId: string;
    readonly view: FleetView;
    readonly state: StateClient;
    /** Entries that settings name. */
    readonly neighbours: readonly string[];
    readonly cache: Folder | undefined;
    readonly credentials: RpcCredentials;
    readonly clock: Clock;
    readonly log: Log;
    readonly onChanged: () => void;
}
/** Follows the configuration for one entry. */
export declare class ViewFollower {
    #private;
    constructor(options: ViewFollowerOptions);
    /** Reads the folder and asks the neighbours once, then follows. */
    start(): Promise<void>;
    close(): void;
}
