/**
 * Snapshots of an item group, encoded in parts while further commands are
 * applied.
 */
import { create, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import {
  type Item,
  ItemSnapshotSchema,
  type Job,
  type KeyedRequest,
} from "../../schema/mod.ts";
import type { JobItems } from "./job_items.ts";

/** Maximum number of committed items or keyed requests per part. */
const SNAPSHOT_CHUNK_ITEMS = 256;

/** Copy of the state of an item group, which later commands don't modify. */
export interface CapturedItemState {
  readonly header: MessageInitShape<typeof ItemSnapshotSchema>;
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

function encodePart(part: MessageInitShape<typeof ItemSnapshotSchema>) {
  return toBinary(ItemSnapshotSchema, create(ItemSnapshotSchema, part));
}

function getChunkRanges(length: number): { index: number; start: number }[] {
  const count = Math.ceil(length / SNAPSHOT_CHUNK_ITEMS);
  return Array.from({ length: count }, (_, index) => ({
    index,
    start: index * SNAPSHOT_CHUNK_ITEMS,
  }));
}

/** Encodes the parts of a snapshot lazily, one per iteration. */
export function* encodeSnapshotParts(
  captured: CapturedItemState,
): Iterable<Uint8Array> {
  yield encodePart(captured.header);
  for (const { start } of getChunkRanges(captured.requests.length)) {
    const requests = captured.requests.slice(
      start,
      start + SNAPSHOT_CHUNK_ITEMS,
    );
    yield encodePart({ requests });
  }
  for (const { jobId, chunks } of captured.staged) {
    for (const [index, items] of chunks) {
      yield encodePart({ chunks: [{ jobId, index, items: [...items] }] });
    }
  }
  for (const { job, items } of captured.jobs) {
    for (const { index, start } of getChunkRanges(items.length)) {
      const count = Math.min(SNAPSHOT_CHUNK_ITEMS, items.length - start);
      const chunk = Array.from(
        { length: count },
        (_, i) => items.getItem(start + i),
      );
      yield encodePart({ chunks: [{ jobId: job.id, index, items: chunk }] });
    }
    yield encodePart({ jobs: [job] });
  }
}
