/**
 * Cuts a stream of bytes after whole events, without reading them. An event
 * that is cut short by a broken connection never passes on, so that a resumed
 * stream delivers each token once.
 */
const BOUNDARY = Buffer.from("\n\n");
const DONE = Buffer.from("data: [DONE]\n\n");
/** Joins pieces of a stream and cuts them at events. */
export class EventSplitter {
    #rest = Buffer.alloc(0);
    /** The whole events that `chunk` completes; undefined when it does none. */
    tryTake(chunk) {
        // Carriage returns may end lines of an event stream too; JSON has none.
        const plain = chunk.includes(0x0d)
            ? Buffer.from(chunk.toString("latin1").replaceAll("\r", ""), "latin1")
            : chunk;
        const all = this.#rest.length === 0
            ? plain
            : Buffer.concat([this.#rest, plain]);
        const end = all.lastIndexOf(BOUNDARY) + BOUNDARY.length;
        if (end < BOUNDARY.length) {
            this.#rest = all;
            return undefined;
        }
        this.#rest = all.subarray(end);
        const bytes = all.subarray(0, end);
        return { bytes, count: countEvents(bytes), isDone: endsWithDone(bytes) };
    }
}
function countEvents(bytes) {
    let count = 0;
    let at = bytes.indexOf(BOUNDARY);
    while (at >= 0) {
        count += 1;
        at = bytes.indexOf(BOUNDARY, at + BOUNDARY.length);
    }
    return count;
}
function endsWithDone(bytes) {
    const start = bytes.length - DONE.length;
    if (start < 0 || !bytes.subarray(start).equals(DONE))
        return false;
    return start === 0 ||
        bytes.subarray(start - BOUNDARY.length, start).equals(BOUNDARY);
}
//# sourceMappingURL=event_splitter.js.map