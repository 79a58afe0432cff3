/**
 * Files. Durable state is accessed only through {@linkcode Folder}, so that a
 * test can substitute the disk and simulate crashes between write and sync,
 * torn writes, and full or slow disks.
 */
import {
  type FileHandle,
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  unlink,
} from "node:fs/promises";
import path from "node:path";

/** An append-only file. */
export interface AppendFile {
  /** Appends `bytes`; they are durable only after {@linkcode sync}. */
  append(bytes: Uint8Array): Promise<void>;
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** A folder of files. */
export abstract class Folder {
  abstract readonly path: string;

  /** Returns the names of the files, sorted. */
  abstract list(): Promise<string[]>;

  /** Returns the content of a file, or undefined if it does not exist. */
  abstract tryRead(name: string): Promise<Uint8Array | undefined>;

  /**
   * Replaces a file atomically: after a crash it has either the old or the new
   * content.
   */
  abstract replace(name: string, bytes: Uint8Array): Promise<void>;

  abstract remove(name: string): Promise<void>;

  /** Truncates a file to `keepBytes` and opens it for appending. */
  abstract openAppend(name: string, keepBytes: number): Promise<AppendFile>;

  /** Opens a subfolder, creating it if it does not exist. */
  abstract openFolder(name: string): Promise<Folder>;
}

/** A folder in the file system. */
export class DiskFolder extends Folder {
  readonly path: string;

  private constructor(folderPath: string) {
    super();
    this.path = folderPath;
  }

  /** Opens the folder at `folderPath`, creating it and its parents. */
  static async open(folderPath: string): Promise<DiskFolder> {
    await mkdir(folderPath, { recursive: true });
    return new DiskFolder(folderPath);
  }

  override async list(): Promise<string[]> {
    const entries = await readdir(this.path, { withFileTypes: true });
    return entries.filter((entry) => entry.isFile()).map((entry) => entry.name)
      .sort();
  }

  override async tryRead(name: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(path.join(this.path, name));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === "ENOENT") return undefined;
      throw error;
    }
  }

  override async replace(name: string, bytes: Uint8Array): Promise<void> {
    const temporary = path.join(this.path, `${name}.new`);
    const file = await open(temporary, "w");
    try {
      await file.writeFile(bytes);
      await file.sync();
    } finally {
      await file.close();
    }
    await rename(temporary, path.join(this.path, name));
    await this.#syncFolder();
  }

  override async remove(name: string): Promise<void> {
    await unlink(path.join(this.path, name));
  }

  override async openAppend(
    name: string,
    keepBytes: number,
  ): Promise<AppendFile> {
    const file = await open(path.join(this.path, name), "a");
    await file.truncate(keepBytes);
    await file.sync();
    await this.#syncFolder();
    return new DiskAppendFile(file);
  }

  override async openFolder(name: string): Promise<Folder> {
    const folder = await DiskFolder.open(path.join(this.path, name));
    await this.#syncFolder();
    return folder;
  }

  async #syncFolder(): Promise<void> {
    const handle = await open(this.path, "r");
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}

class DiskAppendFile implements AppendFile {
  readonly #file: FileHandle;

  constructor(file: FileHandle) {
    this.#file = file;
  }

  async append(bytes: Uint8Array): Promise<void> {
    await this.#file.appendFile(bytes);
  }

  sync(): Promise<void> {
    return this.#file.datasync();
  }

  close(): Promise<void> {
    return this.#file.close();
  }
}
