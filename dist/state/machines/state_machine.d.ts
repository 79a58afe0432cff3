/** The state that a replicated log builds. */
/** Where a command stands in the log. */
export interface CommandContext {
    readonly index: number;
    readonly term: number;
    /** Wall clock of the leader that proposed the command, in milliseconds. */
    readonly timeMs: number;
}
/**
 * Deterministic state of one group. Equal commands in equal order give equal
 * state and equal replies on every replica.
 */
export declare abstract class StateMachine {
    /** Applies a command and returns the reply for its proposer. */
    abstract apply(command: Uint8Array, context: CommandContext): Uint8Array;
    /**
     * The state as of now, in parts. Parts are encoded lazily while commands go
     * on being applied, so a capture shares nothing that later changes in place.
     */
    abstract capture(): Iterable<Uint8Array>;
    /** Replaces the state by captured parts; no parts give the empty state. */
    abstract restore(parts: readonly Uint8Array[]): void;
}
