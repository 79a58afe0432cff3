/** Announces a stand-in to entries, as a backend server would. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { AnnouncementSchema } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
/** Fields of an announcement that the stand-in fills anew each time. */
export type AnnouncementFields = Partial<Omit<MessageInitShape<typeof AnnouncementSchema>, "$typeName">>;
/** How an {@linkcode Announcer} is made. */
export interface AnnouncerOptions {
    /** Addresses of entries; each announcement goes to the next of them. */
    readonly entries: readonly string[];
    readonly clock: Clock;
    readonly intervalMs: number;
    readonly fields: () => AnnouncementFields;
}
/** Sends announcements until it is stopped. */
export declare class Announcer {
    #private;
    constructor(options: AnnouncerOptions);
    /** Goes on with other entries. */
    useEntries(entries: readonly string[]): void;
    start(): Promise<void>;
    /** Says that the server takes no new work. */
    leave(): Promise<void>;
    /** Falls silent, as a crash would. */
    stop(): void;
}
