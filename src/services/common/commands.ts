/** Encoding of commands for the replicated log. */
import { create, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import { ControlCommandSchema, ItemCommandSchema } from "../../schema/mod.ts";

/** Encodes a command of the control group. */
export function encodeControlCommand(
  command: MessageInitShape<typeof ControlCommandSchema>["command"],
): Uint8Array {
  return toBinary(
    ControlCommandSchema,
    create(ControlCommandSchema, { command }),
  );
}

/** Encodes a command of an item group. */
export function encodeItemCommand(
  command: MessageInitShape<typeof ItemCommandSchema>["command"],
): Uint8Array {
  return toBinary(ItemCommandSchema, create(ItemCommandSchema, { command }));
}
