/**
 * The entry's sessions in the item groups. A session is opened when it is
 * first needed and renewed as long as the process lives; one that ended is
 * replaced by a new one under a higher epoch.
 */
import { type RenewReply } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Log } from "../sys/log.ts";
import type { StateClient } from "./state_client.ts";
/** How {@linkcode ItemSessions} are made. */
export interface ItemSessionsOptions {
    readonly entryId: string;
    readonly incarnation: string;
    readonly groupCount: number;
    readonly renewIntervalMs: number;
    readonly state: StateClient;
    readonly clock: Clock;
    readonly log: Log;
    /** Jobs of which this entry holds items. */
    readonly getJobIds: (group: number) => string[];
    readonly onRenewed: (group: number, reply: RenewReply) => void;
    /** The session's work belongs to others now. */
    readonly onEnded: (group: number, epoch: bigint) => void;
}
/** Sessions by group. */
export declare class ItemSessions {
    #private;
    constructor(options: ItemSessionsOptions);
    /** Starts renewing in all groups. */
    start(): void;
    /** The epoch of the open session, which is opened when there is none. */
    getEpoch(group: number): Promise<bigint>;
    tryGetEpoch(group: number): bigint | undefined;
    /** The state refused the epoch; the session is over. */
    noteEnded(group: number, epoch: bigint): void;
    /** Ends all sessions, so that others take over at once. */
    close(): Promise<void>;
    /** Stops renewing; the sessions end when their leases do. */
    halt(): void;
}
/** Whether an error says that the session is over. */
export declare function isStaleEpoch(error: unknown): boolean;
