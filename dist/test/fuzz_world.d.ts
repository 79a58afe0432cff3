/** Thrown with the name of the promise that was broken. */
export declare class BrokenPromise extends Error {
}
/** Names of the promises, as failures report them. */
export declare const PromiseName: {
    readonly exactlyOnce: "an accepted item completes exactly once and stays readable";
    readonly cancelled: "a cancelled job stops";
    readonly notRun: "a refusal that says not run is true";
    readonly atMostOnce: "a non-idempotent request runs at most once";
    readonly leaving: "a leaving server receives no new work";
    readonly stop: "a planned stop loses no work";
    readonly configuration: "an accepted configuration never reverts";
};
/** The world. */
export declare class FuzzWorld {
    #private;
    constructor(entries?: number);
    /** Every process with state starts again from its snapshot. */
    restart(): void;
    submit(job: number, size: number, nonIdempotent: boolean): void;
    cancel(job: number): void;
    /** An entry claims; its answer may be lost, and then it asks again. */
    claim(place: number, count: number, isLost: boolean): void;
    /** An entry runs its first item; the answer comes, is lost, or is late. */
    work(place: number, fate: "answered" | "lost" | "not run" | "late"): void;
    /** A message from before arrives, late or once more. */
    deliverLate(place: number): void;
    /** The lease of an entry ran out; it may not know it yet. */
    expire(place: number): void;
    /** An entry dies and starts again. */
    crash(place: number): void;
    /** An entry stops as planned: it hands its items back. */
    stop(place: number): void;
    /** A keyed request through an entry, which may have a lost begin. */
    request(place: number, key: number, fate: "answered" | "lost" | "not run" | "held"): void;
    /** An operator's order on a version it knows, perhaps an old one. */
    order(id: number, back: number, reserve: number): void;
    /** A configuration reaches an entry, in any order. */
    deliverConfiguration(place: number): void;
    /** An announcement of a server arrives, new or from before. */
    announce(server: number, incarnation: number, sequence: number, leaving: boolean): void;
    /** What has to hold after each step. */
    check(): void;
    /** Lets everything come to its end and checks that nothing is left. */
    drain(): void;
}
