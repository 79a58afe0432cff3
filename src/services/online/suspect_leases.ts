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

interface Lease {
  readonly holder: string;
  readonly expiresMs: number;
}

/** How {@linkcode SuspectLeases} are made. */
export interface SuspectLeasesOptions {
  readonly entryId: string;
  readonly view: FleetView;
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
  readonly random: Random;
}

const RPC_TIMEOUT_MS = 500;

/** Longest time that a lane is held without a release, in milliseconds. */
const MAX_LEASE_MS = 10 * 60_000;

/** Gives a lane back. */
export type ReleaseLease = () => void;

/** Lanes that this entry owns, and those that it asks others for. */
export class SuspectLeases {
  readonly #options: SuspectLeasesOptions;
  readonly #leases = new Map<string, Lease>();
  readonly #clients: RpcClientPool;

  constructor(options: SuspectLeasesOptions) {
    this.#options = options;
    this.#clients = new RpcClientPool(options.credentials);
  }

  /** Grants the lane of an owned server unless another holds it. */
  grant(name: string, holder: string, leaseMs: number): boolean {
    const nowMs = this.#options.clock.getMonotonicMs();
    const lease = this.#leases.get(name);
    const isHeld = lease !== undefined && nowMs < lease.expiresMs &&
      lease.holder !== holder;
    if (isHeld) return false;
    const expiresMs = nowMs + Math.min(leaseMs, MAX_LEASE_MS);
    this.#leases.set(name, { holder, expiresMs: expiresMs });
    return true;
  }

  /** Takes a lane back from its holder. */
  release(name: string, holder: string): void {
    if (this.#leases.get(name)?.holder === holder) this.#leases.delete(name);
  }

  /** Holds the lane of a server that this entry owns. */
  tryAcquireOwned(name: string): ReleaseLease | undefined {
    const holder = this.#options.random.createId();
    return this.grant(name, holder, MAX_LEASE_MS)
      ? () => this.release(name, holder)
      : undefined;
  }

  /** Holds the lane of any server by asking its owner. */
  async tryAcquire(
    server: BackendServer,
    leaseMs: number,
  ): Promise<ReleaseLease | undefined> {
    const { view, entryId, random } = this.#options;
    const owner = view.tryGetOwner(server.announcement);
    if (owner === undefined || owner.id === entryId) {
      return this.tryAcquireOwned(server.name);
    }
    const client = this.#clients.get(owner.address);
    const request = {
      backendServer: server.name,
      holder: random.createId(),
      leaseMs: Math.ceil(Math.min(leaseMs, MAX_LEASE_MS)),
    };
    const options = { timeoutMs: RPC_TIMEOUT_MS };
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
