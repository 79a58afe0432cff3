/**
 * Exclusive leases for suspect requests, which were in flight when a backend
 * server crashed. A server's owner grants one lease at a time to all entries, so
 * that only one suspect runs there. If the server crashes, the crash can be
 * attributed to this suspect, and unrelated requests are not refused for it.
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

/** Options of {@linkcode SuspectLeases}. */
export interface SuspectLeasesOptions {
  readonly entryId: string;
  readonly view: FleetView;
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
  readonly random: Random;
}

const RPC_TIMEOUT_MS = 500;

/** Maximum duration of a lease that is not released, in milliseconds. */
const MAX_LEASE_MS = 10 * 60_000;

/** Releases a lease. */
export type ReleaseLease = () => void;

/**
 * Grants leases on the servers that this entry owns, and requests leases on
 * other servers from their owners.
 */
export class SuspectLeases {
  readonly #options: SuspectLeasesOptions;
  readonly #leases = new Map<string, Lease>();
  readonly #clients: RpcClientPool;

  constructor(options: SuspectLeasesOptions) {
    this.#options = options;
    this.#clients = new RpcClientPool(options.credentials);
  }

  /** Grants the lease on an owned server unless another holder has it. */
  grant(name: string, holder: string, leaseMs: number): boolean {
    const nowMs = this.#options.clock.getMonotonicMs();
    const lease = this.#leases.get(name);
    const isHeld = lease !== undefined && nowMs < lease.expiresMs &&
      lease.holder !== holder;
    if (isHeld) return false;
    const expiresMs = nowMs + Math.min(leaseMs, MAX_LEASE_MS);
    this.#leases.set(name, { holder, expiresMs });
    return true;
  }

  /** Releases the lease on an owned server if `holder` has it. */
  release(name: string, holder: string): void {
    if (this.#leases.get(name)?.holder === holder) this.#leases.delete(name);
  }

  /** Acquires the lease on a server that this entry owns. */
  tryAcquireOwned(name: string): ReleaseLease | undefined {
    const holder = this.#options.random.createId();
    return this.grant(name, holder, MAX_LEASE_MS)
      ? () => this.release(name, holder)
      : undefined;
  }

  /** Acquires the lease on any server, from the server's owner. */
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
      // The lease may have been granted although the reply was lost.
      release();
      return undefined;
    }
  }

  close(): void {
    this.#clients.close();
  }
}
