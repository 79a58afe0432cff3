/** The use of one sequence on a backend server. */
import type { BackendServer } from "../../membership/mod.ts";

/** How the use of a server ended. */
export interface PlacementResult {
  /** The server failed, as opposed to the request. */
  readonly isServerFailure: boolean;
}

/** A sequence on a server. */
export interface Placement {
  readonly server: BackendServer;
  /** Incarnation of the server when the placement began. */
  readonly incarnation: bigint;
  readonly isBatch: boolean;
  /** Aborted when the placement has to end. */
  readonly signal: AbortSignal;
  readonly isPreempted: boolean;
  release(result: PlacementResult): void;
}

/** A placement as the pool keeps it. */
export class ActivePlacement implements Placement {
  readonly #abortController = new AbortController();
  readonly #onRelease: (
    placement: ActivePlacement,
    result: PlacementResult,
  ) => void;
  readonly server: BackendServer;
  readonly incarnation: bigint;
  readonly isBatch: boolean;
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
