/**
 * Gateways that reach backend servers, as their load reports say. A gateway is
 * dropped soon after its reports end or say that it reaches none.
 */
import { selectByRendezvous } from "../sys/random.ts";

/** A gateway that serves requests of gateways that reach no server. */
export interface KnownGateway {
  readonly address: string;
  readonly dataCentre: string;
}

/** What a load report says of its sender. */
export interface GatewayState extends KnownGateway {
  readonly name: string;
  readonly acceptsRelayed: boolean;
}

/**
 * Time after the last report for which a gateway is known, in milliseconds: more
 * than two intervals of unchanged reports.
 */
const GATEWAY_TTL_MS = 700;

/** Maximum number of gateways in a reply. */
const MAX_FOUND = 16;

/** The gateways that one merger knows. */
export class GatewayRegistry {
  readonly #gateways = new Map<string, GatewayState & { heardMs: number }>();

  record(state: GatewayState, nowMs: number): void {
    if (!state.acceptsRelayed) this.#gateways.delete(state.name);
    else this.#gateways.set(state.name, { ...state, heardMs: nowMs });
  }

  /**
   * Returns gateways other than the one that asks. Each one that asks gets others,
   * so that the requests spread.
   */
  find(sender: string, nowMs: number): KnownGateway[] {
    this.#gateways.forEach(({ heardMs }, name) => {
      if (nowMs - heardMs > GATEWAY_TTL_MS) this.#gateways.delete(name);
    });
    const others = [...this.#gateways.values()].filter(({ name }) =>
      name !== sender
    );
    return selectByRendezvous(sender, others, {
      getName: ({ name }) => name,
      count: MAX_FOUND,
    }).map(({ address, dataCentre }) => ({ address, dataCentre }));
  }
}
