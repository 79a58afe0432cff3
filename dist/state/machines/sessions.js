/**
 * Sessions of entries in an item group. A session's epoch rises with each
 * opening, so that the late writes of a lost or replaced entry are refused.
 */
import { create } from "@bufbuild/protobuf";
import { SessionSchema, } from "../../schema/mod.js";
/** Open sessions by epoch. */
export class Sessions {
    #sessions = new Map();
    #nextEpoch = 1;
    get nextEpoch() {
        return this.#nextEpoch;
    }
    /** All open sessions. */
    getAll() {
        return [...this.#sessions.values()];
    }
    isOpen(epoch) {
        return this.#sessions.has(epoch);
    }
    /** The session that this start of an entry has already, if any. */
    tryFind(open) {
        return this.getAll().find((session) => session.entry === open.entry && session.incarnation === open.incarnation);
    }
    /** Sessions of earlier starts of an entry. */
    getOlder(open) {
        return this.getAll().filter((session) => session.entry === open.entry && session.incarnation !== open.incarnation);
    }
    /** Opens a session under the next epoch. */
    open(open) {
        const epoch = this.#nextEpoch;
        this.#nextEpoch += 1;
        const session = create(SessionSchema, {
            epoch: BigInt(epoch),
            entry: open.entry,
            incarnation: open.incarnation,
        });
        this.#sessions.set(epoch, session);
        return epoch;
    }
    /** What the session's newest claim got, when it is the claim `sequence`. */
    tryGetClaimed(epoch, sequence) {
        const session = this.#sessions.get(epoch);
        return session?.claimSequence === sequence ? session.claimed : undefined;
    }
    /** Records what a claim got. */
    recordClaim(epoch, sequence, claimed) {
        const session = this.#sessions.get(epoch);
        if (session === undefined)
            return;
        const updated = { ...session, claimSequence: sequence, claimed };
        this.#sessions.set(epoch, updated);
    }
    /** Ends a session; false when it was not open. */
    end(epoch) {
        return this.#sessions.delete(epoch);
    }
    restore(sessions, nextEpoch) {
        this.#sessions = new Map(sessions.map((session) => [Number(session.epoch), session]));
        this.#nextEpoch = Math.max(1, nextEpoch);
    }
}
//# sourceMappingURL=sessions.js.map