import { pause, settle, spawnRoutine } from "../sys/routines.js";
import { encodeControlCommand } from "./commands.js";
import { CONTROL_GROUP } from "./groups.js";
const RENEW_MS = 1_000;
const CALL_TIMEOUT_MS = 2_000;
/** Registers one entry and renews its place. */
export class Registrar {
    #entry;
    #state;
    #clock;
    #closed = false;
    constructor(options) {
        this.#entry = options.entry;
        this.#state = options.state;
        this.#clock = options.clock;
    }
    start() {
        spawnRoutine(() => this.#keepAlways(), () => { });
    }
    /** Takes the entry out of the fleet. */
    async close() {
        this.#closed = true;
        const command = encodeControlCommand({
            case: "removeEntry",
            value: this.#entry.id ?? "",
        });
        await this.#state.propose(CONTROL_GROUP, command, CALL_TIMEOUT_MS)
            .catch(() => { });
    }
    /** Stops renewing; the entry leaves the fleet when its lease ends. */
    halt() {
        this.#closed = true;
    }
    *#keepAlways() {
        yield* settle(this.#register());
        while (!this.#closed) {
            yield* pause(this.#clock, RENEW_MS);
            const isKnown = yield* settle(this.#state.renewEntry(this.#entry.id ?? "", CALL_TIMEOUT_MS));
            const isLost = isKnown.ok && !isKnown.value && !this.#closed;
            if (isLost)
                yield* settle(this.#register());
        }
    }
    #register() {
        const command = encodeControlCommand({
            case: "registerEntry",
            value: this.#entry,
        });
        return this.#state.propose(CONTROL_GROUP, command);
    }
}
//# sourceMappingURL=entry_registration.js.map