/** Commands of the groups as bytes of the log. */
import { type MessageInitShape } from "@bufbuild/protobuf";
import { ControlCommandSchema, ItemCommandSchema } from "../schema/mod.ts";
/** A command of the control group. */
export declare function encodeControlCommand(command: MessageInitShape<typeof ControlCommandSchema>["command"]): Uint8Array;
/** A command of an item group. */
export declare function encodeItemCommand(command: MessageInitShape<typeof ItemCommandSchema>["command"]): Uint8Array;
