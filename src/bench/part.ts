/** One worker thread of the bench, seen from outside. */
import { Worker } from "node:worker_threads";
import type {
  WorkerCounts,
  WorkerPart,
  WorkerReply,
  WorkerRequest,
} from "./worker_messages.ts";

/** One worker thread. */
export class Part {
  readonly #worker: Worker;
  #waiting: ((reply: WorkerReply) => void)[] = [];

  constructor(part: WorkerPart) {
    this.#worker = new Worker(new URL("./worker_main.js", import.meta.url), {
      workerData: part,
    });
    this.#worker.on("message", (reply: WorkerReply) => {
      this.#waiting.shift()?.(reply);
    });
    this.#worker.on("error", (error) => {
      throw error;
    });
  }

  receive(): Promise<WorkerReply> {
    return new Promise((resolve) => this.#waiting.push(resolve));
  }

  async start(): Promise<string[]> {
    const reply = await this.receive();
    return reply.kind === "ready" ? reply.addresses : [];
  }

  async count(): Promise<WorkerCounts> {
    const reply = this.receive();
    this.send({ kind: "count" });
    const { counts } = await reply as Extract<WorkerReply, { kind: "counts" }>;
    return counts;
  }

  send(request: WorkerRequest): void {
    this.#worker.postMessage(request);
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#worker.once("exit", () => resolve());
      this.send({ kind: "close" });
    });
  }
}
