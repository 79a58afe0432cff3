/**
 * A folder in memory that behaves as a disk does in a crash: what was not
 * synced may be gone or cut short.
 */
import { type AppendFile, Folder } from "../sys/files.ts";
/** A disk that can fail on request. */
export declare class MemoryFolder extends Folder {
    #private;
    readonly path: string;
    /** Writes fail from now on, as on a full disk. */
    isFull: boolean;
    /** Steps of writing that still succeed before the machine stops. */
    stepsLeft: number;
    syncCount: number;
    constructor(path?: string);
    list(): Promise<string[]>;
    tryRead(name: string): Promise<Uint8Array | undefined>;
    replace(name: string, bytes: Uint8Array): Promise<void>;
    remove(name: string): Promise<void>;
    openAppend(name: string, keepBytes: number): Promise<AppendFile>;
    openFolder(name: string): Promise<Folder>;
    /** The machine stops: of what was not synced only `keepBytes` remain. */
    crash(keepBytes: number): void;
    /** Changes one byte of a file. */
    damage(name: string, offset: number): void;
    getSize(name: string): number;
}
