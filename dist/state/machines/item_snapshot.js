/** Snapshots of an item group, encoded in parts while commands go on. */
import { create, toBinary } from "@bufbuild/protobuf";
import { ItemSnapshotSchema, } from "../../schema/mod.js";
/** Items of one part. */
const SNAPSHOT_CHUNK_ITEMS = 256;
function encodePart(part) {
    return toBinary(ItemSnapshotSchema, create(ItemSnapshotSchema, part));
}
function getRanges(length) {
    const count = Math.ceil(length / SNAPSHOT_CHUNK_ITEMS);
    return Array.from({ length: count }, (_, index) => ({
        index,
        start: index * SNAPSHOT_CHUNK_ITEMS,
    }));
}
/** The parts of a snapshot, each encoded when it is asked for. */
export function* encodeCaptured(captured) {
    yield encodePart(captured.head);
    for (const { start } of getRanges(captured.requests.length)) {
        const requests = captured.requests.slice(start, start + SNAPSHOT_CHUNK_ITEMS);
        yield encodePart({ requests });
    }
    for (const { jobId, chunks } of captured.staged) {
        for (const [index, items] of chunks) {
            yield encodePart({ chunks: [{ jobId, index, items: [...items] }] });
        }
    }
    for (const { job, items } of captured.jobs) {
        for (const { index, start } of getRanges(items.length)) {
            const count = Math.min(SNAPSHOT_CHUNK_ITEMS, items.length - start);
            const chunk = Array.from({ length: count }, (_, i) => items.getItem(start + i));
            yield encodePart({ chunks: [{ jobId: job.id, index, items: chunk }] });
        }
        yield encodePart({ jobs: [job] });
    }
}
//# sourceMappingURL=item_snapshot.js.map