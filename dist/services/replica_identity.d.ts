import { type Introduction } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import type { Folder } from "../sys/files.ts";
import type { Random } from "../sys/random.ts";
import { type RpcCredentials } from "../sys/rpc.ts";
/** The identity record of one data folder. */
export declare class IdentityRecord {
    #private;
    private constructor();
    /** Reads the record, or makes it for an empty folder. */
    static open(folder: Folder, options: {
        id: string;
        random: Random;
    }): Promise<IdentityRecord>;
    get isConfirmed(): boolean;
    get introduction(): {
        id: string;
        folderId: string;
    };
    /** Whether `other` shows the folder it showed first; remembers a new one. */
    accept(other: Introduction): Promise<boolean>;
    confirm(): Promise<void>;
}
/**
 * Introduces a replica to the other members until enough of them accept it:
 * all of the first members, or a majority when it joins a running group.
 * Throws IDENTITY_LOST when one of them knows another folder under its name.
 */
export declare function introduceReplica(record: IdentityRecord, options: {
    addresses: readonly string[];
    needed: number;
    credentials: RpcCredentials;
    clock: Clock;
    isStopping: () => boolean;
    folderPath: string;
}): Promise<void>;
