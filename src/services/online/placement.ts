/** Placements: the sequences on backend servers that requests occupy. */
import type { BackendServer } from "../../membership/mod.ts";

/** How a placement ended. */
export interface PlacementResult {
  /** Whether the server failed, as opposed to the request. */
  readonly isServerFailure: boolean;
}

/** A sequence that a request occupies on a server. */
export interface Placement {
  readonly server: BackendServer;
  /** Incarnation of the server at the start of the placement. */
  readonly incarnation: bigint;
  readonly isBatch: boolean;
  /** Aborted when the request must leave the server. */
  readonly signal: AbortSignal;
  readonly isPreempted: boolean;
  release(result: PlacementResult): void;
}

/** A placement that the pool can abort. */
export class ActivePlacement implements Placement {
  readonly #abortController = new AbortController();
  readonly #onRelease: (
    placement: ActivePlacement,
    result: PlacementResult,
  ) => void;
  readonly server: BackendServer;
  readonly incarnation: bigint;
  readonly isBatch: boolean;
  /** Whether the request tests if a server works again after failures. */
  readonly isProbe: boolean;
  #isReleased = false;
  isPreempted = false;

  constructor(options: {
    server: BackendServer;
    isBatch: boolean;
    isProbe: boolean;
    onRelease: (placement: ActivePlacement, result: PlacementResult) => void;
  }) {
    this.server = options.server;
    this.incarnation = options.server.announcement.incarnation;
    this.isBatch = options.isBatch;
    this.isProbe = options.isProbe;
    this.#onRelease = options.onRelease;
  }

  get signal(): AbortSignal {
    return this.#abortController.signal;
  }

  abort(isPreemption: boolean): void {
    this.isPreempted ||= isPreemption;
    this.#abortController.abort();
  }

  release(result: PlacementResult): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#onRelease(this, result);
  }
}
