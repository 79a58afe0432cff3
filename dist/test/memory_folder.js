/**
 * A folder in memory that behaves as a disk does in a crash: what was not
 * synced may be gone or cut short.
 */
import { Folder } from "../sys/files.js";
/** A disk that can fail on request. */
export class MemoryFolder extends Folder {
    path;
    #files;
    #folders;
    /** Writes fail from now on, as on a full disk. */
    isFull = false;
    /** Steps of writing that still succeed before the machine stops. */
    stepsLeft = Infinity;
    syncCount = 0;
    constructor(path = "memory") {
        super();
        this.path = path;
        this.#files = new Map();
        this.#folders = new Map();
    }
    list() {
        return Promise.resolve([...this.#files.keys()].sort());
    }
    tryRead(name) {
        const bytes = this.#files.get(name)?.bytes;
        return Promise.resolve(bytes && Uint8Array.from(bytes));
    }
    replace(name, bytes) {
        return this.#step(() => {
            const content = Buffer.from(bytes);
            this.#files.set(name, { bytes: content, syncedBytes: content.length });
        });
    }
    remove(name) {
        return this.#step(() => this.#files.delete(name));
    }
    openAppend(name, keepBytes) {
        const file = this.#files.get(name) ??
            { bytes: Buffer.alloc(0), syncedBytes: 0 };
        file.bytes = file.bytes.subarray(0, keepBytes);
        file.syncedBytes = keepBytes;
        this.#files.set(name, file);
        return Promise.resolve({
            append: (bytes) => this.#step(() => {
                file.bytes = Buffer.concat([file.bytes, bytes]);
            }),
            sync: () => this.#step(() => {
                this.syncCount += 1;
                file.syncedBytes = file.bytes.length;
            }),
            close: () => Promise.resolve(),
        });
    }
    openFolder(name) {
        const known = this.#folders.get(name) ?? new MemoryFolder(name);
        this.#folders.set(name, known);
        return Promise.resolve(known);
    }
    /** The machine stops: of what was not synced only `keepBytes` remain. */
    crash(keepBytes) {
        this.stepsLeft = Infinity;
        this.#files.forEach((file) => {
            const kept = Math.min(file.bytes.length, file.syncedBytes + keepBytes);
            file.bytes = file.bytes.subarray(0, kept);
            file.syncedBytes = kept;
        });
    }
    /** Changes one byte of a file. */
    damage(name, offset) {
        const file = this.#files.get(name);
        if (file === undefined)
            throw new Error(`no file ${name}`);
        file.bytes = Buffer.from(file.bytes);
        file.bytes[offset] = (file.bytes[offset] ?? 0) ^ 0xff;
    }
    getSize(name) {
        return this.#files.get(name)?.bytes.length ?? 0;
    }
    #step(action) {
        if (this.isFull)
            return Promise.reject(new Error("no space left"));
        if (this.stepsLeft <= 0)
            return Promise.reject(new Error("stopped"));
        this.stepsLeft -= 1;
        action();
        return Promise.resolve();
    }
}
//# sourceMappingURL=memory_folder.js.map