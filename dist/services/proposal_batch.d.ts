import type { Clock } from "../sys/clock.ts";
/** Gathers commands and sends them. */
export declare class ProposalBatch {
    #private;
    constructor(options: {
        clock: Clock;
        send: (commands: Uint8Array[], timeoutMs: number) => Promise<Uint8Array[]>;
    });
    /** Sends a command with others; its reply comes within `timeoutMs`. */
    add(command: Uint8Array, timeoutMs: number): Promise<Uint8Array>;
}
