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
  rm,
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

/**
 * End of the names of temporary files and folders. Older builds write the new
 * content of a file to one of this name; a folder is never seen by them, since
 * they list only files.
 */
const TEMPORARY_SUFFIX = ".new";

/** Whether a file or folder holds content that is yet to replace a file. */
export function isTemporaryName(name: string): boolean {
  return name.endsWith(TEMPORARY_SUFFIX);
}

/** Name of the temporary folder for the new content of `name`. */
export function getTemporaryName(name: string): string {
  return `${name}.folder${TEMPORARY_SUFFIX}`;
}

/** File in a temporary folder. */
const CONTENT_FILE = "content";

/** A file that is open for reading; it stays readable after its removal. */
export interface ReadFile {
  readonly bytes: number;
  /** Reads `length` bytes from `offset` on, fewer at the end of the file. */
  read(offset: number, length: number): Promise<Uint8Array>;
  close(): Promise<void>;
}

/** A folder of files. */
export abstract class Folder {
  abstract readonly path: string;

  /** Returns the names of the files, sorted, without temporary ones. */
  abstract list(): Promise<string[]>;

  /**
   * Removes the temporary files of replacements that a crash cut short. Only the
   * process that owns the folder may call it, before it replaces any file.
   */
  abstract removeTemporaryFiles(): Promise<void>;

  /** Returns the content of a file, or undefined if it does not exist. */
  abstract tryRead(name: string): Promise<Uint8Array | undefined>;

  /** Opens a file for reading; undefined if it does not exist. */
  abstract tryOpenRead(name: string): Promise<ReadFile | undefined>;

  /** Replaces a file atomically, as {@linkcode replaceInChunks} does. */
  async replace(name: string, bytes: Uint8Array): Promise<void> {
    await this.replaceInChunks(name, [bytes]);
  }

  /**
   * Replaces a file atomically: after a crash it has either the old or the new
   * content. Takes one chunk after the other, each once the one before is written,
   * and returns the bytes of all.
   */
  abstract replaceInChunks(
    name: string,
    chunks: Iterable<Uint8Array>,
  ): Promise<number>;

  /** Removes a file; resolves once that is durable. */
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
    const created = await mkdir(folderPath, { recursive: true });
    const parents = created === undefined
      ? []
      : getFoldersBetween(path.dirname(created), path.dirname(folderPath));
    for (const parent of parents) await syncFolder(parent);
    return new DiskFolder(folderPath);
  }

  override async list(): Promise<string[]> {
    const entries = await readdir(this.path, { withFileTypes: true });
    return entries.filter((entry) => entry.isFile()).map((entry) => entry.name)
      .filter((name) => !isTemporaryName(name)).sort();
  }

  override async removeTemporaryFiles(): Promise<void> {
    const names = await readdir(this.path);
    for (const name of names.filter(isTemporaryName)) {
      await rm(path.join(this.path, name), { recursive: true, force: true });
    }
  }

  override async tryRead(name: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(path.join(this.path, name));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === "ENOENT") return undefined;
      throw error;
    }
  }

  override async tryOpenRead(name: string): Promise<ReadFile | undefined> {
    try {
      const file = await open(path.join(this.path, name), "r");
      return new DiskReadFile(file, (await file.stat()).size);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === "ENOENT") return undefined;
      throw error;
    }
  }

  override async replaceInChunks(
    name: string,
    chunks: Iterable<Uint8Array>,
  ): Promise<number> {
    const temporary = path.join(this.path, getTemporaryName(name));
    const content = path.join(temporary, CONTENT_FILE);
    let bytes = 0;
    await mkdir(temporary, { recursive: true });
    try {
      const file = await open(content, "w");
      try {
        for (const chunk of chunks) {
          await file.appendFile(chunk);
          bytes += chunk.length;
        }
        await file.sync();
      } finally {
        await file.close();
      }
      await rename(content, path.join(this.path, name));
      // A rename between two folders is durable once both are.
      await syncFolder(temporary);
      await syncFolder(this.path);
    } finally {
      // Frees the space if the disk is full.
      await rm(temporary, { recursive: true, force: true });
    }
    return bytes;
  }

  override async remove(name: string): Promise<void> {
    await unlink(path.join(this.path, name));
    await syncFolder(this.path);
  }

  override async openAppend(
    name: string,
    keepBytes: number,
  ): Promise<AppendFile> {
    const file = await open(path.join(this.path, name), "a");
    await file.truncate(keepBytes);
    await file.sync();
    await syncFolder(this.path);
    return new DiskAppendFile(file);
  }

  override async openFolder(name: string): Promise<Folder> {
    const folder = await DiskFolder.open(path.join(this.path, name));
    // A start that was cut short may have created it.
    await syncFolder(this.path);
    return folder;
  }
}

/** Makes the names of the files in a folder durable. */
async function syncFolder(folderPath: string): Promise<void> {
  const handle = await open(folderPath, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Returns the paths from `first` to `last`, which lies in `first` or is it. */
function getFoldersBetween(first: string, last: string): string[] {
  const isFirst = path.relative(first, last) === "";
  return isFirst
    ? [first]
    : [...getFoldersBetween(first, path.dirname(last)), last];
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

class DiskReadFile implements ReadFile {
  readonly bytes: number;
  readonly #file: FileHandle;

  constructor(file: FileHandle, bytes: number) {
    this.#file = file;
    this.bytes = bytes;
  }

  async read(offset: number, length: number): Promise<Uint8Array> {
    const size = Math.max(0, Math.min(length, this.bytes - offset));
    const buffer = new Uint8Array(size);
    const { bytesRead } = await this.#file.read(buffer, 0, size, offset);
    return buffer.subarray(0, bytesRead);
  }

  close(): Promise<void> {
    return this.#file.close();
  }
}
