import { encodeSnapshot, tryDecodeSnapshot, } from "../log/replica_store.js";
import { SNAPSHOT_PART_BYTES } from "./timing.js";
/** The parts of a snapshot, in order. */
export function splitSnapshot(image) {
    const bytes = encodeSnapshot(image);
    const count = Math.ceil(bytes.length / SNAPSHOT_PART_BYTES);
    return Array.from({ length: count }, (_, part) => {
        const offset = part * SNAPSHOT_PART_BYTES;
        const end = offset + SNAPSHOT_PART_BYTES;
        return {
            mark: image.mark,
            state: bytes.subarray(offset, end),
            offset,
            last: end >= bytes.length,
        };
    });
}
/** Puts the parts of one snapshot at a time together. */
export class IncomingSnapshot {
    #from = "";
    #index = 0n;
    #parts = [];
    #bytes = 0;
    /** Takes a part; the whole snapshot after the last, when none is missing. */
    tryComplete(from, request) {
        const index = request.mark?.index ?? 0n;
        if (request.offset === 0n)
            this.#start(from, index);
        const fits = this.#from === from && this.#index === index &&
            BigInt(this.#bytes) === request.offset;
        if (!fits)
            return undefined;
        this.#parts.push(request.state);
        this.#bytes += request.state.length;
        if (!request.last)
            return undefined;
        const whole = Buffer.concat(this.#parts);
        this.#start("", 0n);
        return tryDecodeSnapshot(whole);
    }
    #start(from, index) {
        this.#from = from;
        this.#index = index;
        this.#parts = [];
        this.#bytes = 0;
    }
}
//# sourceMappingURL=snapshot_transfer.js.map