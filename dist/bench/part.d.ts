import type { WorkerCounts, WorkerPart, WorkerReply, WorkerRequest } from "./worker_messages.ts";
/** One worker thread. */
export declare class Part {
    #private;
    constructor(part: WorkerPart);
    receive(): Promise<WorkerReply>;
    start(): Promise<string[]>;
    count(): Promise<WorkerCounts>;
    send(request: WorkerRequest): void;
    close(): Promise<void>;
}
