import { type Suspicion } from "../schema/mod.ts";
/** Deaths after which a request is refused. */
export declare const MAX_DEATHS = 2;
/** Deaths by fingerprint. */
export declare class Suspicions {
    #private;
    /** Different servers that died under the request. */
    getDeaths(fingerprint: string): number;
    /**
     * Whether the request has ended too many servers. Where servers that it did
     * not run on died at about the same time, one more death is needed: it may
     * have been beside whatever took them.
     */
    isRefused(fingerprint: string): boolean;
    isSuspect(fingerprint: string): boolean;
    /** Records a death; returns the news to spread. */
    record(fingerprint: string, server: string, nowMs: number): Suspicion;
    /** A suspect finished; it is one no more. Returns the news to spread. */
    tryClear(fingerprint: string): Suspicion | undefined;
    /** Merges news of another entry. */
    merge(news: Suspicion, nowMs: number): void;
    /** All suspicions, for an entry that starts. */
    getAll(): Suspicion[];
    /** Forgets what is old. */
    sweep(nowMs: number): void;
}
