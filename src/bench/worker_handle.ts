/** One worker thread of the bench, seen from outside. */
import { Worker } from "node:worker_threads";
import type {
  WorkerCounts,
  WorkerReply,
  WorkerRequest,
  WorkerRole,
} from "./worker_messages.ts";

/** One worker thread. */
export class WorkerHandle {
  readonly #worker: Worker;
  #pendingReplies: ((reply: WorkerReply) => void)[] = [];

  constructor(role: WorkerRole) {
    this.#worker = new Worker(new URL("./worker_main.js", import.meta.url), {
      workerData: role,
    });
    this.#worker.on("message", (reply: WorkerReply) => {
      this.#pendingReplies.shift()?.(reply);
    });
    this.#worker.on("error", (error) => {
      throw error;
    });
  }

  receiveReply(): Promise<WorkerReply> {
    return new Promise((resolve) => this.#pendingReplies.push(resolve));
  }

  async start(): Promise<string[]> {
    const reply = await this.receiveReply();
    return reply.kind === "ready" ? reply.addresses : [];
  }

  async count(): Promise<WorkerCounts> {
    const reply = this.receiveReply();
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
