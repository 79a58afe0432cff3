/** A file that grows at its end. */
export interface AppendFile {
    /** Writes `bytes` at the end; they last only after {@linkcode sync}. */
    append(bytes: Uint8Array): Promise<void>;
    sync(): Promise<void>;
    close(): Promise<void>;
}
/** A folder of flat files. */
export declare abstract class Folder {
    abstract readonly path: string;
    /** Names of the files, sorted. */
    abstract list(): Promise<string[]>;
    /** Content of a file, or undefined when there is none. */
    abstract tryRead(name: string): Promise<Uint8Array | undefined>;
    /** Replaces a file so that after a crash it is wholly old or wholly new. */
    abstract replace(name: string, bytes: Uint8Array): Promise<void>;
    abstract remove(name: string): Promise<void>;
    /** Opens a file for appending after cutting it to `keepBytes`. */
    abstract openAppend(name: string, keepBytes: number): Promise<AppendFile>;
    /** A folder below this one, made when absent. */
    abstract openFolder(name: string): Promise<Folder>;
}
/** A folder on the machine's disk. */
export declare class DiskFolder extends Folder {
    #private;
    readonly path: string;
    private constructor();
    /** Opens the folder at `folderPath`, making it and its parents. */
    static open(folderPath: string): Promise<DiskFolder>;
    list(): Promise<string[]>;
    tryRead(name: string): Promise<Uint8Array | undefined>;
    replace(name: string, bytes: Uint8Array): Promise<void>;
    remove(name: string): Promise<void>;
    openAppend(name: string, keepBytes: number): Promise<AppendFile>;
    openFolder(name: string): Promise<Folder>;
}
