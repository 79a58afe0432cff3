/**
 * Which entries use a backend server. Each server is used by a bounded number
 * of entries, so that the announcements an entry takes part in stay the same
 * however large the fleet is.
 */
import type { EntryRegistration } from "../schema/mod.ts";
/** What places a backend server among the entries. */
export interface ServerPlace {
    readonly name: string;
    readonly dataCentre: string;
}
/** Entries that use a server, those of its data centre first. */
export declare function selectUsers(server: ServerPlace, entries: readonly EntryRegistration[]): EntryRegistration[];
