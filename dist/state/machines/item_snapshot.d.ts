/** Snapshots of an item group, encoded in parts while commands go on. */
import { type MessageInitShape } from "@bufbuild/protobuf";
import { type Item, ItemSnapshotSchema, type Job, type KeyedRequest } from "../../schema/mod.ts";
import type { JobItems } from "./job_items.ts";
/** State of a group as of one command; nothing of it changes in place. */
export interface Captured {
    readonly head: MessageInitShape<typeof ItemSnapshotSchema>;
    readonly requests: readonly KeyedRequest[];
    readonly jobs: readonly {
        job: Job;
        items: ReturnType<JobItems["capture"]>;
    }[];
    readonly staged: readonly {
        jobId: string;
        chunks: [number, readonly Item[]][];
    }[];
}
/** The parts of a snapshot, each encoded when it is asked for. */
export declare function encodeCaptured(captured: Captured): Iterable<Uint8Array>;
