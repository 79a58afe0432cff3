/** Interface of the state machines to which a replicated log is applied. */

import {
  type DescMessage,
  fromBinary,
  type MessageShape,
} from "@bufbuild/protobuf";
import { MessageCode, Verdict } from "../../schema/mod.ts";
import { getReason, ServingError } from "../../sys/errors.ts";

/** Decodes a command that is to be proposed; throws if that is not possible. */
export function decodeProposedCommand<S extends DescMessage>(
  schema: S,
  command: Uint8Array,
): MessageShape<S> {
  try {
    return fromBinary(schema, command);
  } catch (error) {
    throw new ServingError(MessageCode.INTERNAL, {
      verdict: Verdict.NOT_RUN,
      parameters: {
        reason: `the command cannot be decoded: ${getReason(error)}`,
      },
    });
  }
}

/** Log position and time of a command. */
export interface CommandContext {
  readonly index: number;
  readonly term: number;
  /**
   * Time of the proposal by the wall clock of the leader, in milliseconds.
   * State machines must not read a clock themselves.
   */
  readonly timeMs: number;
}

/**
 * State machine of one replica group. It must be deterministic: replicas that
 * apply the same commands in the same order reach the same state and return
 * the same replies.
 */
export abstract class StateMachine {
  /** Newest version of the commands that this build applies. */
  readonly commandVersion: number = 0;

  /**
   * Throws unless the command can be decoded. A command from another process is
   * checked before it is proposed: once it is in the log, one that no replica can
   * apply ends all of them, at each start.
   */
  checkCommand(_command: Uint8Array): void {}

  /**
   * Is told at a start of each command in the log after the snapshot. It is applied
   * later if it is found to be committed, so this must not change the state.
   */
  foreseeCommand(_command: Uint8Array): void {}

  /** Applies a committed command and returns the reply to its proposer. */
  abstract apply(command: Uint8Array, context: CommandContext): Uint8Array;

  /**
   * Returns a snapshot of the state at the time of the call, in parts. Parts are
   * encoded lazily while further commands are applied, so a snapshot must not
   * share data that those commands modify in place.
   */
  abstract capture(): Iterable<Uint8Array>;

  /** Replaces the state by the parts of a snapshot; no parts reset it. */
  abstract restore(parts: readonly Uint8Array[]): void;
}
