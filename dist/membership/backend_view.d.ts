/**
 * Backend servers as an entry knows them: announcements with leases, and the
 * entry's own sequences on each server, which a report that lags can't show.
 */
import { QuantileTracker } from "../policy/mod.ts";
import type { Announcement } from "../schema/mod.ts";
/** What an entry runs on a server by itself. */
export interface OwnLoad {
    online: number;
    batch: number;
}
/** One backend server. */
export interface BackendServer {
    readonly name: string;
    announcement: Announcement;
    /** Monotonic milliseconds. */
    knownSinceMs: number;
    leaseEndMs: number;
    readonly own: OwnLoad;
    /** Highest own load of the last looks, which a late report may still show. */
    readonly ownHistory: number[];
    /** Sequences of other entries, by the newest report. */
    others: number;
    /** Batch sequences among them, as the server's owner says. */
    othersBatch: number;
    sequenceTarget: number;
    onlinePeak: number;
    failures: number;
    setAsideUntilMs: number;
    isProbed: boolean;
    /** Time between tokens of this entry's streams, in milliseconds. */
    readonly gap: QuantileTracker;
}
/** What an announcement changed. */
export declare const AnnouncementEffect: {
    readonly old: "old";
    readonly refreshed: "refreshed";
    readonly joined: "joined";
    readonly restarted: "restarted";
    readonly left: "left";
};
/** What an announcement changed. */
export type AnnouncementEffect = typeof AnnouncementEffect[keyof typeof AnnouncementEffect];
/** Sequences that a server is taken to run well before it showed more. */
export declare const FIRST_SEQUENCE_TARGET = 16;
/** All known backend servers. */
export declare class BackendView {
    #private;
    /** Takes an announcement; older ones than the newest known change nothing. */
    accept(announcement: Announcement, nowMs: number): AnnouncementEffect;
    tryGet(name: string): BackendServer | undefined;
    getAll(): BackendServer[];
    /** Servers of a deployment that take new work. */
    getServing(deployment: string, nowMs: number): BackendServer[];
    /** A request failed on the server; it is left alone for a while. */
    noteFailure(name: string, nowMs: number): void;
    /** A request succeeded on the server. */
    noteSuccess(name: string): void;
    /** Notes the own load on each server; called at even times. */
    noteOwnLoads(): void;
    /** Forgets servers that have been gone for long; returns lost ones. */
    sweep(nowMs: number): BackendServer[];
}
