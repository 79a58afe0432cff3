/** The use of one sequence on a backend server. */
import type { BackendServer } from "../../membership/mod.ts";

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
export class ActivePlacement implements Placement {
  readonly #abort = new AbortController();
  readonly #onRelease: (placement: ActivePlacement, end: PlacementEnd) => void;
  readonly server: BackendServer;
  readonly incarnation: bigint;
  readonly isBatch: boolean;
  readonly isProbe: boolean;
  #released = false;
  gaveWay = false;

  constructor(options: {
    server: BackendServer;
    isBatch: boolean;
    isProbe: boolean;
    onRelease: (placement: ActivePlacement, end: PlacementEnd) => void;
  }) {
    this.server = options.server;
    this.incarnation = options.server.announcement.incarnation;
    this.isBatch = options.isBatch;
    this.isProbe = options.isProbe;
    this.#onRelease = options.onRelease;
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  end(gaveWay: boolean): void {
    this.gaveWay ||= gaveWay;
    this.#abort.abort();
  }

  release(end: PlacementEnd): void {
    if (this.#released) return;
    this.#released = true;
    this.#onRelease(this, end);
  }
}
