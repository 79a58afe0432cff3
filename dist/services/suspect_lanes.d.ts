/**
 * Lanes for suspects: the owner of a backend server lets one suspect at a time
 * run there, whichever entry it came to. A second server that dies then has
 * one cause, and innocent requests are never refused with it.
 */
import type { BackendServer, FleetView } from "../membership/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Random } from "../sys/random.ts";
import { type RpcCredentials } from "../sys/rpc.ts";
/** How {@linkcode SuspectLanes} are made. */
export interface SuspectLanesOptions {
    readonly entryId: string;
    readonly view: FleetView;
    readonly credentials: RpcCredentials;
    readonly clock: Clock;
    readonly random: Random;
}
/** Gives a lane back. */
export type LaneEnd = () => void;
/** Lanes that this entry owns, and those that it asks others for. */
export declare class SuspectLanes {
    #private;
    constructor(options: SuspectLanesOptions);
    /** Grants the lane of an owned server unless another holds it. */
    grant(server: string, holder: string, leaseMs: number): boolean;
    /** Takes a lane back from its holder. */
    end(server: string, holder: string): void;
    /** Holds the lane of a server that this entry owns. */
    tryHoldOwn(server: string): LaneEnd | undefined;
    /** Holds the lane of any server by asking its owner. */
    tryHold(server: BackendServer, leaseMs: number): Promise<LaneEnd | undefined>;
    close(): void;
}
