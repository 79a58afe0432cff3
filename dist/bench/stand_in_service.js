import { listenHttp, readBody, } from "../sys/http.js";
import { Announcer } from "./announcer.js";
/** What happens to the next requests. */
export const ServiceFault = {
    none: "none",
    /** The request runs but the connection is cut before the answer. */
    loseAnswer: "lose answer",
};
const DEFAULT_ANNOUNCE_MS = 500;
const DEFAULT_LEASE_MS = 2_000;
const MAX_BODY_BYTES = 1 << 20;
/** A running stand-in service. */
export class StandInService {
    #options;
    #announcer;
    ledger;
    #listener;
    address = "";
    fault = ServiceFault.none;
    /** Milliseconds that each request takes. */
    delayMs = 0;
    constructor(options) {
        this.#options = options;
        this.ledger = options.ledger ?? new Map();
        const incarnation = BigInt(Math.floor(options.clock.getWallMs()));
        this.#announcer = new Announcer({
            entries: options.entries,
            clock: options.clock,
            intervalMs: options.announceMs ?? DEFAULT_ANNOUNCE_MS,
            fields: () => ({
                name: options.name,
                incarnation,
                address: this.address,
                deployment: options.deployment,
                dataCentre: options.dataCentre,
                leaseMs: options.leaseMs ?? DEFAULT_LEASE_MS,
            }),
        });
    }
    async start() {
        this.#listener = await listenHttp("127.0.0.1:0", (req, res) => {
            if (req.url === "/health") {
                res.end("ok");
                return;
            }
            readBody(req, MAX_BODY_BYTES)
                .then((body) => this.#run(body.toString(), res))
                .catch(() => res.destroy());
        });
        this.address = this.#listener.address;
        await this.#announcer.start();
    }
    leave() {
        return this.#announcer.leave();
    }
    /** Ends at once. */
    crash() {
        this.#announcer.stop();
        this.#listener?.close();
    }
    async #run(body, res) {
        if (this.delayMs > 0)
            await this.#options.clock.delay(this.delayMs);
        const receipt = getReceipt(body);
        const count = (this.ledger.get(receipt) ?? 0) + 1;
        this.ledger.set(receipt, count);
        if (this.fault === ServiceFault.loseAnswer) {
            res.destroy();
            return;
        }
        res.writeHead(200, { "content-type": "application/json" });
        res.end(JSON.stringify({ receipt, count, server: this.#options.name }));
    }
}
function getReceipt(body) {
    try {
        return String(JSON.parse(body).receipt ?? body);
    }
    catch {
        return body;
    }
}
//# sourceMappingURL=stand_in_service.js.map