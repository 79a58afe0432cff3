import { create, toJson } from "@bufbuild/protobuf";
import { AnnouncementSchema } from "../schema/mod.js";
import { sendHttp } from "../sys/http.js";
const ANNOUNCE_TIMEOUT_MS = 1_000;
/** Sends announcements until it is stopped. */
export class Announcer {
    #options;
    #entries;
    #timer;
    #sequence = 0;
    #turn = 0;
    constructor(options) {
        this.#options = options;
        this.#entries = options.entries;
    }
    /** Goes on with other entries. */
    useEntries(entries) {
        this.#entries = entries;
    }
    async start() {
        const { clock, intervalMs } = this.#options;
        this.#timer = clock.startInterval(intervalMs, () => {
            this.#announce({}).catch(() => { });
        });
        await this.#announce({});
    }
    /** Says that the server takes no new work. */
    async leave() {
        this.#timer?.cancel();
        await this.#announce({ leaving: true });
    }
    /** Falls silent, as a crash would. */
    stop() {
        this.#timer?.cancel();
    }
    async #announce(fields) {
        const entries = this.#entries;
        this.#sequence += 1;
        const announcement = create(AnnouncementSchema, {
            sequence: BigInt(this.#sequence),
            ...this.#options.fields(),
            ...fields,
        });
        const body = JSON.stringify(toJson(AnnouncementSchema, announcement));
        // The balancer takes another entry when one can't be reached.
        for (let attempt = 0; attempt < entries.length; attempt += 1) {
            const address = entries[this.#turn % entries.length] ?? "";
            this.#turn += 1;
            try {
                const answer = await sendHttp({
                    address,
                    method: "POST",
                    path: "/v1/backend-servers/announce",
                    headers: { "content-type": "application/json" },
                    body,
                    headTimeoutMs: ANNOUNCE_TIMEOUT_MS,
                });
                answer.body.resume();
                if (answer.status === 200)
                    return;
            }
            catch {
                // Tried at the next entry.
            }
        }
    }
}
//# sourceMappingURL=announcer.js.map