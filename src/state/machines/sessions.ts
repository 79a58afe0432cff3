/**
 * Sessions of entry hosts in an item group. Each session gets a higher epoch
 * than those before it. The epoch is a fencing token: commands with the epoch
 * of an ended session, as from a lost or restarted entry, are refused.
 */
import { create } from "@bufbuild/protobuf";
import {
  type ItemRef,
  type OpenSession,
  type Session,
  SessionSchema,
} from "../../schema/mod.ts";

/** Open sessions of an item group, by epoch. */
export class Sessions {
  #sessions = new Map<number, Session>();
  #nextEpoch = 1;

  get nextEpoch(): number {
    return this.#nextEpoch;
  }

  getAll(): Session[] {
    return [...this.#sessions.values()];
  }

  isOpen(epoch: number): boolean {
    return this.#sessions.has(epoch);
  }

  /** The open session of the entry's current incarnation, if any. */
  tryFindExisting(request: OpenSession): Session | undefined {
    return this.getAll().find((session) =>
      session.entry === request.entry &&
      session.incarnation === request.incarnation
    );
  }

  /** Open sessions of other incarnations of the entry. */
  getPrevious(request: OpenSession): Session[] {
    return this.getAll().filter((session) =>
      session.entry === request.entry &&
      session.incarnation !== request.incarnation
    );
  }

  /** Opens a session under the next epoch and returns that epoch. */
  open(request: OpenSession): number {
    const epoch = this.#nextEpoch;
    this.#nextEpoch += 1;
    const session = create(SessionSchema, {
      epoch: BigInt(epoch),
      entry: request.entry,
      incarnation: request.incarnation,
    });
    this.#sessions.set(epoch, session);
    return epoch;
  }

  /**
   * Items returned for the session's last claim if its sequence number is
   * `sequence`, that is, if the claim was resent; undefined otherwise.
   */
  tryGetRecordedClaim(epoch: number, sequence: bigint): ItemRef[] | undefined {
    const session = this.#sessions.get(epoch);
    return session?.claimSequence === sequence ? session.claimed : undefined;
  }

  /** Records the items returned for a claim, replacing the previous claim. */
  recordClaim(epoch: number, sequence: bigint, claimed: ItemRef[]): void {
    const session = this.#sessions.get(epoch);
    if (session === undefined) return;
    const updated = { ...session, claimSequence: sequence, claimed };
    this.#sessions.set(epoch, updated);
  }

  /** Ends a session; returns false if it was not open. */
  end(epoch: number): boolean {
    return this.#sessions.delete(epoch);
  }

  restore(sessions: readonly Session[], nextEpoch: number): void {
    this.#sessions = new Map(
      sessions.map((session) => [Number(session.epoch), session]),
    );
    this.#nextEpoch = Math.max(1, nextEpoch);
  }
}
