/**
 * Sessions of entries in an item group. A session's epoch rises with each
 * opening, so that the late writes of a lost or replaced entry are refused.
 */
import { create } from "@bufbuild/protobuf";
import {
  type ItemRef,
  type OpenSession,
  type Session,
  SessionSchema,
} from "../../schema/mod.ts";

/** Open sessions by epoch. */
export class Sessions {
  #sessions = new Map<number, Session>();
  #nextEpoch = 1;

  get nextEpoch(): number {
    return this.#nextEpoch;
  }

  /** All open sessions. */
  getAll(): Session[] {
    return [...this.#sessions.values()];
  }

  isOpen(epoch: number): boolean {
    return this.#sessions.has(epoch);
  }

  /** The session that this start of an entry has already, if any. */
  tryFindExisting(request: OpenSession): Session | undefined {
    return this.getAll().find((session) =>
      session.entry === request.entry &&
      session.incarnation === request.incarnation
    );
  }

  /** Sessions of earlier starts of an entry. */
  getPrevious(request: OpenSession): Session[] {
    return this.getAll().filter((session) =>
      session.entry === request.entry &&
      session.incarnation !== request.incarnation
    );
  }

  /** Opens a session under the next epoch. */
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

  /** What the session's newest claim got, when it is the claim `sequence`. */
  tryGetRecordedClaim(epoch: number, sequence: bigint): ItemRef[] | undefined {
    const session = this.#sessions.get(epoch);
    return session?.claimSequence === sequence ? session.claimed : undefined;
  }

  /** Records what a claim got. */
  recordClaim(epoch: number, sequence: bigint, claimed: ItemRef[]): void {
    const session = this.#sessions.get(epoch);
    if (session === undefined) return;
    const updated = { ...session, claimSequence: sequence, claimed };
    this.#sessions.set(epoch, updated);
  }

  /** Ends a session; false when it was not open. */
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
