/** Where a gateway would send a request now, as its page for operators says. */

/** Path of the page under the metrics address. */
export const PLACEMENT_PATH = "/placement";

/** What a request would do at one service. */
export const PlacementOutcome = {
  /** It takes a free slot. */
  slot: "slot",
  /** It waits here, and may queue at the server in the end. */
  queue: "queue",
  /** No server is known or may be used. */
  none: "none",
} as const;

/** One of {@linkcode PlacementOutcome}. */
export type PlacementOutcome =
  typeof PlacementOutcome[keyof typeof PlacementOutcome];

/** A server that a request may use. */
export interface PlacementCandidate {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly busy: number;
  readonly batch: number;
  /** Whether it names a limit, so that each request needs a permission. */
  readonly isLimited: boolean;
}

/** Where a request to one service would be sent. */
export interface ServicePlacement {
  readonly service: string;
  readonly weight: number;
  readonly outcome: PlacementOutcome;
  /** Id of the server; empty for none. Equal loads are decided at random. */
  readonly server: string;
  /** Why it may leave the data centre or stays; empty if that is not limited. */
  readonly flow: string;
  /** Expected wait in this data centre, in milliseconds; null if there is no end. */
  readonly waitMs: number | null;
  /** Cost of leaving, in milliseconds. */
  readonly costMs: number;
  /** Slots that the other data centres have above their reserves. */
  readonly headroom: number;
  readonly candidates: readonly PlacementCandidate[];
}

/** Where a request would be sent. */
export interface Placement {
  /** Name of the route; empty if none matches. */
  readonly route: string;
  readonly kind: string;
  readonly dataCentre: string;
  readonly services: readonly ServicePlacement[];
}
