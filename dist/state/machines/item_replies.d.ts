/** Replies and outcomes that an item group gives by itself. */
import { type MessageInitShape } from "@bufbuild/protobuf";
import { type ItemReplySchema, MessageCode, type Outcome } from "../../schema/mod.ts";
/** Fields of a reply. */
export type ReplyInit = MessageInitShape<typeof ItemReplySchema>;
/** A refusal with its code and text. */
export declare function createRefusal(code: MessageCode, parameters: Record<string, string | number>): ReplyInit;
/** The refusal of an epoch that has ended. */
export declare function createStaleReply(epoch: number): ReplyInit;
/** The outcome of what a lost entry had dispatched. */
export declare function createLostOutcome(): Outcome;
/** The outcome of an item that failed too often. */
export declare function createFailedOutcome(attempts: number): Outcome;
