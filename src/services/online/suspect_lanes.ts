/**
 * Lanes for suspects: the owner of a backend server lets one suspect at a time
 * run there, whichever entry it came to. A second server that dies then has
 * one cause, and innocent requests are never refused with it.
 */
import type { BackendServer, FleetView } from "../../membership/mod.ts";
import { Entries } from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import type { Random } from "../../sys/random.ts";
import { RpcClientPool, type RpcCredentials } from "../../sys/rpc.ts";

interface Lane {
  readonly holder: string;
  readonly endMs: number;
}

/** How {@linkcode SuspectLanes} are made. */
export interface SuspectLanesOptions {
  readonly entryId: string;
  readonly view: FleetView;
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
  readonly random: Random;
}

const CALL_TIMEOUT_MS = 500;

/** Longest time that a lane is held without a release, in milliseconds. */
const MAX_LEASE_MS = 10 * 60_000;

/** Gives a lane back. */
export type LaneEnd = () => void;

/** Lanes that this entry owns, and those that it asks others for. */
export class SuspectLanes {
  readonly #options: SuspectLanesOptions;
  readonly #lanes = new Map<string, Lane>();
  readonly #clients: RpcClientPool;

  constructor(options: SuspectLanesOptions) {
    this.#options = options;
    this.#clients = new RpcClientPool(options.credentials);
  }

  /** Grants the lane of an owned server unless another holds it. */
  grant(server: string, holder: string, leaseMs: number): boolean {
    const nowMs = this.#options.clock.getMonotonicMs();
    const lane = this.#lanes.get(server);
    const isHeld = lane !== undefined && nowMs < lane.endMs &&
      lane.holder !== holder;
    if (isHeld) return false;
    const endMs = nowMs + Math.min(leaseMs, MAX_LEASE_MS);
    this.#lanes.set(server, { holder, endMs });
    return true;
  }

  /** Takes a lane back from its holder. */
  end(server: string, holder: string): void {
    if (this.#lanes.get(server)?.holder === holder) this.#lanes.delete(server);
  }

  /** Holds the lane of a server that this entry owns. */
  tryHoldOwn(server: string): LaneEnd | undefined {
    const holder = this.#options.random.createId();
    return this.grant(server, holder, MAX_LEASE_MS)
      ? () => this.end(server, holder)
      : undefined;
  }

  /** Holds the lane of any server by asking its owner. */
  async tryHold(
    server: BackendServer,
    leaseMs: number,
  ): Promise<LaneEnd | undefined> {
    const { view, entryId, random } = this.#options;
    const owner = view.tryGetOwner(server.announcement);
    if (owner === undefined || owner.id === entryId) {
      return this.tryHoldOwn(server.name);
    }
    const client = this.#clients.get(owner.address);
    const request = {
      backendServer: server.name,
      holder: random.createId(),
      leaseMs: Math.ceil(Math.min(leaseMs, MAX_LEASE_MS)),
    };
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    const release = () => {
      client.call(Entries.method.releaseLane, request, options)
        .catch(() => {});
    };
    try {
      const { granted } = await client.call(
        Entries.method.holdLane,
        request,
        options,
      );
      return granted ? release : undefined;
    } catch {
      // The grant may have been lost on its way.
      release();
      return undefined;
    }
  }

  close(): void {
    this.#clients.close();
  }
}
