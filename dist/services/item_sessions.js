/**
 * The entry's sessions in the item groups. A session is opened when it is
 * first needed and renewed as long as the process lives; one that ended is
 * replaced by a new one under a higher epoch.
 */
import { MessageCode } from "../schema/mod.js";
import { ServingError } from "../sys/errors.js";
import { pause, settle, spawnRoutine } from "../sys/routines.js";
import { getItemGroups } from "./groups.js";
const RENEW_TIMEOUT_MS = 1_000;
/** Sessions by group. */
export class ItemSessions {
    #options;
    #epochs = new Map();
    #opening = new Map();
    #starts = 0;
    #closed = false;
    constructor(options) {
        this.#options = options;
    }
    /** Starts renewing in all groups. */
    start() {
        getItemGroups(this.#options.groupCount).forEach((group) => spawnRoutine(() => this.#renewAlways(group), (error) => this.#options.log.error("renewal_failed", {
            group,
            reason: String(error),
        })));
    }
    /** The epoch of the open session, which is opened when there is none. */
    getEpoch(group) {
        const known = this.#epochs.get(group);
        if (known !== undefined)
            return Promise.resolve(known);
        const opening = this.#opening.get(group) ?? this.#open(group);
        this.#opening.set(group, opening);
        return opening;
    }
    tryGetEpoch(group) {
        return this.#epochs.get(group);
    }
    /** The state refused the epoch; the session is over. */
    noteEnded(group, epoch) {
        if (this.#epochs.get(group) !== epoch)
            return;
        this.#epochs.delete(group);
        this.#options.log.warn("session_ended", { group, epoch: Number(epoch) });
        this.#options.onEnded(group, epoch);
    }
    /** Ends all sessions, so that others take over at once. */
    async close() {
        this.#closed = true;
        const ending = [...this.#epochs].map(([group, epoch]) => this.#options.state.runItemCommand(group, {
            case: "endSession",
            value: { epoch },
        }, RENEW_TIMEOUT_MS));
        await Promise.allSettled(ending);
    }
    /** Stops renewing; the sessions end when their leases do. */
    halt() {
        this.#closed = true;
        this.#epochs.clear();
    }
    async #open(group) {
        const { entryId, incarnation, state } = this.#options;
        this.#starts += 1;
        try {
            const reply = await state.runItemCommand(group, {
                case: "openSession",
                value: {
                    entry: entryId,
                    incarnation: `${incarnation}/${this.#starts}`,
                },
            });
            this.#epochs.set(group, reply.epoch);
            return reply.epoch;
        }
        finally {
            this.#opening.delete(group);
        }
    }
    *#renewAlways(group) {
        const { clock, renewIntervalMs } = this.#options;
        while (!this.#closed) {
            const epoch = yield* settle(this.getEpoch(group));
            if (epoch.ok && !this.#closed)
                yield* this.#renew(group, epoch.value);
            yield* pause(clock, renewIntervalMs);
        }
    }
    *#renew(group, epoch) {
        const { state, getJobIds, onRenewed } = this.#options;
        const reply = yield* settle(state.renew(group, epoch, getJobIds(group), RENEW_TIMEOUT_MS));
        if (!reply.ok || this.#closed)
            return;
        if (reply.value.code === MessageCode.STALE_EPOCH) {
            this.noteEnded(group, epoch);
        }
        else
            onRenewed(group, reply.value);
    }
}
/** Whether an error says that the session is over. */
export function isStaleEpoch(error) {
    return error instanceof ServingError &&
        error.code === MessageCode.STALE_EPOCH;
}
//# sourceMappingURL=item_sessions.js.map