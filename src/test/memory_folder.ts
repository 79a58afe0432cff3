/**
 * In-memory folder that simulates a disk crash: unsynced data may be lost or
 * truncated.
 */
import {
  type AppendFile,
  Folder,
  getTemporaryName,
  isTemporaryName,
  type ReadFile,
} from "../sys/files.ts";

interface StoredFile {
  bytes: Buffer;
  syncedBytes: number;
}

/** In-memory folder with injected faults. */
export class MemoryFolder extends Folder {
  readonly path: string;
  readonly #files: Map<string, StoredFile>;
  readonly #folders: Map<string, MemoryFolder>;
  /** Makes all writes fail, as on a full disk. */
  isFull = false;
  /** Number of write operations that succeed before all fail. */
  operationsLeft = Infinity;
  syncCount = 0;

  constructor(path = "memory") {
    super();
    this.path = path;
    this.#files = new Map();
    this.#folders = new Map();
  }

  override list(): Promise<string[]> {
    const names = [...this.#files.keys()];
    return Promise.resolve(
      names.filter((name) => !isTemporaryName(name)).sort(),
    );
  }

  override removeTemporaryFiles(): Promise<void> {
    [...this.#files.keys()].filter(isTemporaryName)
      .forEach((name) => this.#files.delete(name));
    return Promise.resolve();
  }

  override tryRead(name: string): Promise<Uint8Array | undefined> {
    const bytes = this.#files.get(name)?.bytes;
    return Promise.resolve(bytes && Uint8Array.from(bytes));
  }

  override tryOpenRead(name: string): Promise<ReadFile | undefined> {
    const stored = this.#files.get(name)?.bytes;
    if (stored === undefined) return Promise.resolve(undefined);
    const content = Uint8Array.from(stored);
    return Promise.resolve({
      bytes: content.length,
      read: (offset, length) =>
        Promise.resolve(content.slice(offset, offset + length)),
      close: () => Promise.resolve(),
    });
  }

  /** Takes a step for each chunk and one that renames the temporary file. */
  override async replaceInChunks(
    name: string,
    chunks: Iterable<Uint8Array>,
  ): Promise<number> {
    const temporary = getTemporaryName(name);
    const file: StoredFile = { bytes: Buffer.alloc(0), syncedBytes: 0 };
    for (const chunk of chunks) {
      await this.#step(() => {
        file.bytes = Buffer.concat([file.bytes, chunk]);
        this.#files.set(temporary, file);
      });
    }
    await this.#step(() => {
      file.syncedBytes = file.bytes.length;
      this.#files.delete(temporary);
      this.#files.set(name, file);
    });
    return file.bytes.length;
  }

  override remove(name: string): Promise<void> {
    return this.#step(() => this.#files.delete(name));
  }

  override openAppend(name: string, keepBytes: number): Promise<AppendFile> {
    const file = this.#files.get(name) ??
      { bytes: Buffer.alloc(0), syncedBytes: 0 };
    file.bytes = file.bytes.subarray(0, keepBytes);
    file.syncedBytes = keepBytes;
    this.#files.set(name, file);
    return Promise.resolve({
      append: (bytes: Uint8Array) =>
        this.#step(() => {
          file.bytes = Buffer.concat([file.bytes, bytes]);
        }),
      sync: () =>
        this.#step(() => {
          this.syncCount += 1;
          file.syncedBytes = file.bytes.length;
        }),
      close: () => Promise.resolve(),
    });
  }

  override openFolder(name: string): Promise<Folder> {
    const folder = this.#folders.get(name) ?? new MemoryFolder(name);
    this.#folders.set(name, folder);
    return Promise.resolve(folder);
  }

  /** Simulates a crash that keeps `unsyncedBytesKept` of each unsynced tail. */
  crash(unsyncedBytesKept: number): void {
    this.operationsLeft = Infinity;
    this.#files.forEach((file) => {
      const kept = Math.min(
        file.bytes.length,
        file.syncedBytes + unsyncedBytesKept,
      );
      file.bytes = file.bytes.subarray(0, kept);
      file.syncedBytes = kept;
    });
  }

  /** Inverts all bits of one byte of a file. */
  corruptByte(name: string, offset: number): void {
    const file = this.#files.get(name);
    if (file === undefined) throw new Error(`no file ${name}`);
    file.bytes = Buffer.from(file.bytes);
    file.bytes[offset] = (file.bytes[offset] ?? 0) ^ 0xff;
  }

  getSize(name: string): number {
    return this.#files.get(name)?.bytes.length ?? 0;
  }

  #step(action: () => void): Promise<void> {
    if (this.isFull) return Promise.reject(new Error("no space left"));
    if (this.operationsLeft <= 0) return Promise.reject(new Error("stopped"));
    this.operationsLeft -= 1;
    action();
    return Promise.resolve();
  }
}
