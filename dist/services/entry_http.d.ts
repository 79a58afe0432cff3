/** HTTP of an entry: health, announcements and callers' requests by path. */
import { AnnouncementEffect, type FleetView } from "../membership/mod.ts";
import { type Announcement } from "../schema/mod.ts";
import { type IncomingMessage, type ServerResponse } from "../sys/http.ts";
import type { CallerLimits } from "./caller_limits.ts";
import { type CompletionService } from "./completion_service.ts";
import { type JobService } from "./job_service.ts";
import type { PlainService } from "./plain_service.ts";
import type { ProcessContext } from "./process_context.ts";
/** Path that backend servers announce themselves at. */
export declare const ANNOUNCE_PATH = "/v1/backend-servers/announce";
/** How an {@linkcode EntryHttp} is made. */
export interface EntryHttpOptions {
    readonly context: ProcessContext;
    readonly view: FleetView;
    readonly callers: CallerLimits;
    readonly jobs: JobService;
    readonly completions: CompletionService;
    readonly plain: PlainService;
    readonly isReady: () => boolean;
    readonly isStopping: () => boolean;
    readonly onAnnouncement: (announcement: Announcement) => AnnouncementEffect;
}
/** Serves an entry's HTTP port. */
export declare class EntryHttp {
    #private;
    constructor(options: EntryHttpOptions);
    /** Takes one request and answers it in any case. */
    serve(req: IncomingMessage, res: ServerResponse): void;
}
