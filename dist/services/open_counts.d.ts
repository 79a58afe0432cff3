/** What all entries of the fleet have open. */
import { type EntryRegistration } from "../schema/mod.ts";
import { type RpcCredentials } from "../sys/rpc.ts";
/** Open streams and held items, and the entries that did not answer. */
export interface OpenCounts {
    readonly streams: number;
    readonly claims: number;
    readonly unreachable: string[];
}
/** Asks each entry once. */
export declare function countOpen(entries: readonly EntryRegistration[], credentials: RpcCredentials): Promise<OpenCounts>;
