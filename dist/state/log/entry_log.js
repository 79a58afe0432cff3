/** Entries after a snapshot, addressed by index. */
export class EntryLog {
    #markIndex;
    #markTerm;
    #entries;
    constructor(mark, entries) {
        this.#markIndex = Number(mark.index);
        this.#markTerm = Number(mark.term);
        this.#entries = [...entries];
    }
    /** Index of the snapshot below the entries. */
    get markIndex() {
        return this.#markIndex;
    }
    get lastIndex() {
        return this.#markIndex + this.#entries.length;
    }
    get lastTerm() {
        return this.tryGetTerm(this.lastIndex) ?? 0;
    }
    /** Term of the entry at `index`; undefined when it is not here. */
    tryGetTerm(index) {
        if (index === this.#markIndex)
            return this.#markTerm;
        const entry = this.tryGet(index);
        return entry === undefined ? undefined : Number(entry.term);
    }
    tryGet(index) {
        return this.#entries[index - this.#markIndex - 1];
    }
    /** Entries from `index` on, at most `maxEntries` and about `maxBytes`. */
    slice(index, maxEntries, maxBytes) {
        const start = index - this.#markIndex - 1;
        const window = this.#entries.slice(start, start + maxEntries);
        let bytes = 0;
        const end = window.findIndex((entry) => {
            bytes += getEntryBytes(entry);
            return bytes > maxBytes;
        });
        return end <= 0
            ? window.slice(0, end === 0 ? 1 : undefined)
            : window.slice(0, end);
    }
    /** All entries after `index`. */
    getAfter(index) {
        return this.#entries.slice(Math.max(0, index - this.#markIndex));
    }
    append(entry) {
        this.#entries.push(entry);
    }
    /** Removes the entry at `index` and all after it. */
    truncateFrom(index) {
        this.#entries.length = Math.max(0, index - this.#markIndex - 1);
    }
    /** Drops entries up to `index`, which a snapshot now holds. */
    compactTo(index, term) {
        this.#entries = this.getAfter(index);
        this.#markIndex = index;
        this.#markTerm = term;
    }
    /** Starts anew after a snapshot from elsewhere. */
    reset(index, term) {
        this.#entries = [];
        this.#markIndex = index;
        this.#markTerm = term;
    }
    /** The newest entry that satisfies `test`. */
    tryFindLast(test) {
        return this.#entries.findLast(test);
    }
}
const ENTRY_OVERHEAD_BYTES = 32;
/** Approximate bytes of an entry on the wire. */
export function getEntryBytes(entry) {
    const command = entry.payload.case === "command"
        ? entry.payload.value.length
        : 0;
    return command + ENTRY_OVERHEAD_BYTES;
}
//# sourceMappingURL=entry_log.js.map