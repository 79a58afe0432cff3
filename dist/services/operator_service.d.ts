import { type ChangeMemberRequest } from "../schema/mod.ts";
import type { RpcServer } from "../sys/rpc.ts";
import type { StateClient } from "./state_client.ts";
/** How the service is bound to its process. */
export interface OperatorServiceOptions {
    readonly server: RpcServer;
    readonly state: StateClient;
    readonly groupCount: number;
    readonly isSecure: boolean;
    readonly getDump: () => Record<string, unknown>;
    /** Open streams and held items of all entries, where this process can tell. */
    readonly countEntries: () => Promise<{
        streams: number;
        claims: number;
        unreachable: string[];
    }>;
    /** Changes a membership; undefined where the process holds no replicas. */
    readonly changeMember?: (req: ChangeMemberRequest) => Promise<void>;
    readonly getLeaderAddress?: (group: number) => string;
}
/** Serves operators on a process's gRPC server. */
export declare function addOperatorService(options: OperatorServiceOptions): void;
