/** One worker thread of the bench, seen from outside. */
import { Worker } from "node:worker_threads";
/** One worker thread. */
export class Part {
    #worker;
    #waiting = [];
    constructor(part) {
        this.#worker = new Worker(new URL("./worker_main.js", import.meta.url), {
            workerData: part,
        });
        this.#worker.on("message", (reply) => {
            this.#waiting.shift()?.(reply);
        });
        this.#worker.on("error", (error) => {
            throw error;
        });
    }
    receive() {
        return new Promise((resolve) => this.#waiting.push(resolve));
    }
    async start() {
        const reply = await this.receive();
        return reply.kind === "ready" ? reply.addresses : [];
    }
    async count() {
        const reply = this.receive();
        this.send({ kind: "count" });
        const { counts } = await reply;
        return counts;
    }
    send(request) {
        this.#worker.postMessage(request);
    }
    close() {
        return new Promise((resolve) => {
            this.#worker.once("exit", () => resolve());
            this.send({ kind: "close" });
        });
    }
}
//# sourceMappingURL=part.js.map