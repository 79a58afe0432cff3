import { type Announcement } from "../schema/mod.ts";
/** Reads an announcement's JSON; a bad one is BODY_MALFORMED. */
export declare function parseAnnouncement(bytes: Uint8Array): Announcement;
