/** The use of one sequence on a backend server. */
import type { BackendServer } from "../membership/mod.ts";
/** How the use of a server ended. */
export interface PlacementEnd {
    /** The server failed, as opposed to the request. */
    readonly isFailure: boolean;
}
/** A sequence on a server. */
export interface Placement {
    readonly server: BackendServer;
    /** Incarnation of the server when the placement began. */
    readonly incarnation: bigint;
    readonly isBatch: boolean;
    /** Aborted when the placement has to end. */
    readonly signal: AbortSignal;
    readonly gaveWay: boolean;
    release(end: PlacementEnd): void;
}
/** A placement as the pool keeps it. */
export declare class ActivePlacement implements Placement {
    #private;
    readonly server: BackendServer;
    readonly incarnation: bigint;
    readonly isBatch: boolean;
    readonly isProbe: boolean;
    gaveWay: boolean;
    constructor(options: {
        server: BackendServer;
        isBatch: boolean;
        isProbe: boolean;
        onRelease: (placement: ActivePlacement, end: PlacementEnd) => void;
    });
    get signal(): AbortSignal;
    end(gaveWay: boolean): void;
    release(end: PlacementEnd): void;
}
