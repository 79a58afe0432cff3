/** Commands of the groups as bytes of the log. */
import { create, toBinary } from "@bufbuild/protobuf";
import { ControlCommandSchema, ItemCommandSchema } from "../schema/mod.js";
/** A command of the control group. */
export function encodeControlCommand(command) {
    return toBinary(ControlCommandSchema, create(ControlCommandSchema, { command }));
}
/** A command of an item group. */
export function encodeItemCommand(command) {
    return toBinary(ItemCommandSchema, create(ItemCommandSchema, { command }));
}
//# sourceMappingURL=commands.js.map