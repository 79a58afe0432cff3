/** Connections of the command line to processes of the fleet. */
import { RpcClient } from "../sys/rpc.ts";
/** Options that every command with a connection takes. */
export interface ConnectionOptions {
    /** gRPC address of any entry or state host. */
    readonly server: string;
    readonly certificate?: string;
    readonly key?: string;
    readonly authority?: string;
}
/** Opens a connection, with certificates where they are given. */
export declare function connect(options: ConnectionOptions): RpcClient;
