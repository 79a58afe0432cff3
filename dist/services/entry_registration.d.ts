/** Keeps an entry registered among the entries of the fleet. */
import type { EntryRegistration } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { StateClient } from "./state_client.ts";
/** Registers one entry and renews its place. */
export declare class Registrar {
    #private;
    constructor(options: {
        entry: Omit<EntryRegistration, "$typeName">;
        state: StateClient;
        clock: Clock;
    });
    start(): void;
    /** Takes the entry out of the fleet. */
    close(): Promise<void>;
    /** Stops renewing; the entry leaves the fleet when its lease ends. */
    halt(): void;
}
