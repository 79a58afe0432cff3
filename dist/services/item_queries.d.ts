/** Reads from the state of an item group. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { InFlightCounts, QueryReplySchema, QueryRequest } from "../schema/mod.ts";
import type { ItemMachine } from "../state/mod.ts";
/** Answer to a query. */
export type QueryAnswer = MessageInitShape<typeof QueryReplySchema>;
/** Counts as plain numbers, for the dump. */
export declare function formatCounts(counts: InFlightCounts): {
    jobs: number;
    accepted: number;
    dispatched: number;
    finished: number;
    requestsDispatched: number;
};
/** Answers a query of an item group from its state. */
export declare function queryItems(machine: ItemMachine, req: QueryRequest): QueryAnswer;
