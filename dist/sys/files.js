/**
 * Files. Durable state passes through this class, so that a test replaces the
 * disk whole: crashes between write and sync, torn tails, full or slow disks.
 */
import { mkdir, open, readdir, readFile, rename, unlink, } from "node:fs/promises";
import path from "node:path";
/** A folder of flat files. */
export class Folder {
}
/** A folder on the machine's disk. */
export class DiskFolder extends Folder {
    path;
    constructor(folderPath) {
        super();
        this.path = folderPath;
    }
    /** Opens the folder at `folderPath`, making it and its parents. */
    static async open(folderPath) {
        await mkdir(folderPath, { recursive: true });
        return new DiskFolder(folderPath);
    }
    async list() {
        const entries = await readdir(this.path, { withFileTypes: true });
        return entries.filter((entry) => entry.isFile()).map((entry) => entry.name)
            .sort();
    }
    async tryRead(name) {
        try {
            return await readFile(path.join(this.path, name));
        }
        catch (error) {
            if (error.code === "ENOENT")
                return undefined;
            throw error;
        }
    }
    async replace(name, bytes) {
        const temporary = path.join(this.path, `${name}.new`);
        const file = await open(temporary, "w");
        try {
            await file.writeFile(bytes);
            await file.sync();
        }
        finally {
            await file.close();
        }
        await rename(temporary, path.join(this.path, name));
        await this.#syncFolder();
    }
    async remove(name) {
        await unlink(path.join(this.path, name));
    }
    async openAppend(name, keepBytes) {
        const file = await open(path.join(this.path, name), "a");
        await file.truncate(keepBytes);
        await file.sync();
        await this.#syncFolder();
        return new DiskAppendFile(file);
    }
    async openFolder(name) {
        const folder = await DiskFolder.open(path.join(this.path, name));
        await this.#syncFolder();
        return folder;
    }
    async #syncFolder() {
        const handle = await open(this.path, "r");
        try {
            await handle.sync();
        }
        finally {
            await handle.close();
        }
    }
}
class DiskAppendFile {
    #file;
    constructor(file) {
        this.#file = file;
    }
    async append(bytes) {
        await this.#file.appendFile(bytes);
    }
    sync() {
        return this.#file.datasync();
    }
    close() {
        return this.#file.close();
    }
}
//# sourceMappingURL=files.js.map