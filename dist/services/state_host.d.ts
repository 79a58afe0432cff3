import { type Member, type StateSettings } from "../schema/mod.ts";
import { type RpcCredentials, RpcServer } from "../sys/rpc.ts";
import type { ProcessContext } from "./process_context.ts";
/** A running state host. */
export declare class StateHost {
    #private;
    readonly server: RpcServer;
    address: string;
    /** Called once when a replica can't go on. */
    onFailure: (error: unknown) => void;
    constructor(settings: StateSettings, context: ProcessContext);
    get credentials(): RpcCredentials;
    get configuration(): import("../schema/mod.ts").Configuration;
    /** The host takes part in its groups and knows a leader of each. */
    get isReady(): boolean;
    /** Opens the port; the real address is known afterwards. */
    listen(): Promise<string>;
    /** Proves the identity and starts all replicas. */
    start(): Promise<void>;
    /** Hands leadership over and stops. */
    stop(): Promise<void>;
    /** Ends at once, as a crash would, but for open files. */
    halt(): Promise<void>;
    /** Changes the membership of a group; resolves once it is committed. */
    changeMember(group: number, change: {
        add?: Member;
        promote?: string;
        remove?: string;
    }): Promise<void>;
    /** Address of the leader of a group; empty when unknown. */
    getLeaderAddress(group: number): string;
    getDump(): Record<string, unknown>;
}
