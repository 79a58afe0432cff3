/**
 * Client of the replicated state: finds each group's leader and repeats calls
 * until their deadline. Commands are made so that a repeated one has the
 * effect of one.
 */
import { type MessageInitShape } from "@bufbuild/protobuf";
import { type ItemCommandSchema, type ItemReply, type Order, type OrderOutcome, type QueryReply, type RenewReply, State, type ViewUpdate } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { type RpcCredentials } from "../sys/rpc.ts";
/** How a {@linkcode StateClient} is made. */
export interface StateClientOptions {
    readonly addresses: readonly string[];
    readonly credentials: RpcCredentials;
    readonly clock: Clock;
}
type QueryInit = NonNullable<MessageInitShape<typeof State.method.query.input>["query"]>;
/** A connection to all state hosts. */
export declare class StateClient {
    #private;
    constructor(options: StateClientOptions);
    /** Submits an order; a resent one gets its first answer. */
    submit(order: Order, timeoutMs?: number): Promise<OrderOutcome>;
    /** Runs a command of an item group; a refusal is thrown with its code. */
    runItemCommand(group: number, command: MessageInitShape<typeof ItemCommandSchema>["command"], timeoutMs?: number): Promise<ItemReply>;
    /** Replicates a command and returns the reply of the state machine. */
    propose(group: number, command: Uint8Array, timeoutMs?: number): Promise<Uint8Array>;
    /** Reads from a group's leader. */
    query(group: number, query: QueryInit, timeoutMs?: number): Promise<QueryReply>;
    /** Renews a session. */
    renew(group: number, epoch: bigint, jobIds: readonly string[], timeoutMs?: number): Promise<RenewReply>;
    /** Renews an entry's place in the fleet; false when it has none. */
    renewEntry(entry: string, timeoutMs?: number): Promise<boolean>;
    /** Follows the configuration and the entries at any one state host. */
    watch(from: {
        entry: string;
        version: bigint;
        entriesVersion: bigint;
    }, on: {
        update: (update: ViewUpdate) => void;
        end: () => void;
    }): {
        cancel(): void;
    };
    /** Place of a group's leader among the addresses, as last known. */
    getLeaderIndex(group: number): number;
    close(): void;
}
export {};
