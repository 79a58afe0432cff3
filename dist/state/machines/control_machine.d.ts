import { type Configuration, type EntryRegistration } from "../../schema/mod.ts";
import { type CommandContext, StateMachine } from "./state_machine.ts";
/** The control group's state. */
export declare class ControlMachine extends StateMachine {
    #private;
    get configuration(): Configuration;
    get entries(): EntryRegistration[];
    /** Rises with each change of the entries. */
    get entriesVersion(): number;
    apply(command: Uint8Array, context: CommandContext): Uint8Array;
    capture(): Iterable<Uint8Array>;
    restore(parts: readonly Uint8Array[]): void;
}
