import { Fleet, type FleetOptions } from "../bench/mod.ts";
/** A quick engine: a token a millisecond or so. */
export declare const QUICK_ENGINE: {
    baseStepMs: number;
    sequenceStepMs: number;
    prefillTokenMs: number;
    announceMs: number;
    leaseMs: number;
};
/** Runs `use` with a fleet that is closed afterwards. */
export declare function withFleet(options: Omit<FleetOptions, "folder">, use: (fleet: Fleet) => Promise<void>): Promise<void>;
/** A job as callers see it. */
export interface JobStatus {
    readonly id: string;
    readonly status: string;
    readonly items: number;
    readonly finished: number;
    readonly failed: number;
    readonly cancelled: number;
    readonly unknown: number;
}
/** A line of a job's results. */
export interface ResultLine {
    readonly index: number;
    readonly custom_id?: string;
    readonly state: string;
    readonly verdict?: string;
    readonly body?: {
        readonly choices?: {
            readonly text: string;
        }[];
    };
    readonly error?: {
        readonly code: string;
    };
}
/** Submits a job of bodies. */
export declare function submitJob(address: string, bodies: readonly unknown[], options?: {
    workload?: string;
    key?: string;
}): Promise<JobStatus>;
/** A job's status. */
export declare function getJob(address: string, id: string): Promise<JobStatus>;
/** Waits until a job has ended. */
export declare function waitForJob(fleet: Fleet, address: string, id: string): Promise<JobStatus>;
/** All result lines of a job. */
export declare function getResults(address: string, id: string): Promise<ResultLine[]>;
/** Numbers from 0 on. */
export declare function range(count: number): number[];
