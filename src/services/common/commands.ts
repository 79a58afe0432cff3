/** Commands of the groups as bytes of the log. */
import { create, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import { ControlCommandSchema, ItemCommandSchema } from "../../schema/mod.ts";

/** A command of the control group. */
export function encodeControlCommand(
  command: MessageInitShape<typeof ControlCommandSchema>["command"],
): Uint8Array {
  return toBinary(
    ControlCommandSchema,
    create(ControlCommandSchema, { command }),
  );
}

/** A command of an item group. */
export function encodeItemCommand(
  command: MessageInitShape<typeof ItemCommandSchema>["command"],
): Uint8Array {
  return toBinary(ItemCommandSchema, create(ItemCommandSchema, { command }));
}
