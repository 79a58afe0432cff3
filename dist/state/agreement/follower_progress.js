/**
 * What a leader knows of the other members: how far their logs match and when
 * they were surely in contact. Rounds of messages are numbered, so that a reply
 * proves contact at the time its round was sent, not when it arrived.
 */
/** Rounds for which a late reply still counts as contact. */
const ROUNDS_KEPT = 256;
/** Progress of all other members in one term. */
export class FollowerProgress {
    #rows = new Map();
    #roundSentMs = new Map();
    #round = 0;
    /** Number of the newest round. */
    get round() {
        return this.#round;
    }
    tryGet(id) {
        return this.#rows.get(id);
    }
    forEach(action) {
        this.#rows.forEach(action);
    }
    /** Keeps a row for exactly the given members. */
    sync(ids, first) {
        [...this.#rows.keys()].filter((id) => !ids.includes(id))
            .forEach((id) => this.#rows.delete(id));
        ids.filter((id) => !this.#rows.has(id)).forEach((id) => this.#rows.set(id, {
            ...first,
            matchIndex: 0,
            sentIndex: 0,
            sentMs: 0,
            snapshotSentMs: -Infinity,
        }));
    }
    startRound(nowMs) {
        this.#round += 1;
        this.#roundSentMs.set(this.#round, nowMs);
        this.#roundSentMs.delete(this.#round - ROUNDS_KEPT);
    }
    /** A member answered a message of a round. */
    noteReply(progress, round) {
        const sentMs = this.#roundSentMs.get(round) ?? -Infinity;
        progress.contactMs = Math.max(progress.contactMs, sentMs);
    }
    /** Forgets everything, at the start and the end of a term. */
    clear() {
        this.#rows.clear();
        this.#roundSentMs.clear();
        this.#round = 0;
    }
}
//# sourceMappingURL=follower_progress.js.map