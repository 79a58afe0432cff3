/**
 * Sends updates from one entry to others: announcements and batch loads to the
 * entries that use a backend server, suspicions of requests and parts of prompts
 * to all entries, and requests to preempt batch sequences to the server's owner, the one entry that runs batch
 * items there. Updates to an entry within a short time share a batch.
 */
import { create, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import type { FleetView } from "../../membership/mod.ts";
import {
  type Announcement,
  Entries,
  type EntryRegistration,
  type PromptPartSuspicion,
  SpreadBatchSchema,
  type Suspicion,
} from "../../schema/mod.ts";
import { type Clock, type Timer } from "../../sys/clock.ts";
import { MetricName, type Metrics } from "../../sys/metrics.ts";
import { RpcClientPool, type RpcCredentials } from "../../sys/rpc.ts";

interface PendingUpdates {
  announcements: Map<string, Announcement>;
  suspicions: Map<string, Suspicion>;
  promptParts: Map<string, PromptPartSuspicion>;
  yields: Map<string, number>;
  batchLoads: Map<string, number>;
}

/** Options of a {@linkcode PeerUpdateSender}. */
export interface PeerUpdateSenderOptions {
  readonly entryId: string;
  readonly view: FleetView;
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

const FLUSH_DELAY_MS = 20;
const CALL_TIMEOUT_MS = 1_000;

function createPendingUpdates(): PendingUpdates {
  return {
    announcements: new Map(),
    suspicions: new Map(),
    promptParts: new Map(),
    yields: new Map(),
    batchLoads: new Map(),
  };
}

/** Sends updates to other entries. */
export class PeerUpdateSender {
  readonly #options: PeerUpdateSenderOptions;
  readonly #pendingByAddress = new Map<string, PendingUpdates>();
  readonly #clients: RpcClientPool;
  #flushTimer: Timer | undefined;
  #closed = false;

  constructor(options: PeerUpdateSenderOptions) {
    this.#options = options;
    this.#clients = new RpcClientPool(options.credentials);
  }

  /** Sends a server's announcement to the other entries that use the server. */
  sendAnnouncement(announcement: Announcement): void {
    const users = this.#options.view.getEntriesForServer(announcement);
    this.#excludeSelf(users).forEach((entry) =>
      this.#getPendingUpdates(entry).announcements.set(
        announcement.name,
        announcement,
      )
    );
  }

  /** Sends a suspicion to all other entries. */
  sendSuspicion(suspicion: Suspicion): void {
    this.#excludeSelf(this.#options.view.entries).forEach((entry) =>
      this.#getPendingUpdates(entry).suspicions.set(
        suspicion.fingerprint,
        suspicion,
      )
    );
  }

  /** Sends what is known of a part of prompts to all other entries. */
  sendPromptPart(suspicion: PromptPartSuspicion): void {
    this.#excludeSelf(this.#options.view.entries).forEach((entry) =>
      this.#getPendingUpdates(entry).promptParts.set(suspicion.part, suspicion)
    );
  }

  /**
   * Sends the batch load of each server that this entry owns to the other
   * entries that use it.
   */
  sendBatchLoads(
    loads: readonly { backendServer: string; sequences: number }[],
  ): void {
    const { view, entryId } = this.#options;
    loads.forEach((load) => {
      const server = view.backends.tryGet(load.backendServer)?.announcement;
      if (server === undefined) return;
      if (view.tryGetOwner(server)?.id !== entryId) return;
      this.#excludeSelf(view.getEntriesForServer(server)).forEach((entry) =>
        this.#getPendingUpdates(entry).batchLoads.set(
          load.backendServer,
          load.sequences,
        )
      );
    });
  }

  /**
   * Requests that a server's owner preempt batch sequences there. Sends the
   * pending updates to the owner at once, so that the request is not delayed.
   */
  sendPreemptionRequest(ownerId: string, server: string, count: number): void {
    const entry = this.#options.view.entries.find((candidate) =>
      candidate.id === ownerId
    );
    if (entry === undefined) return;
    const { yields } = this.#getPendingUpdates(entry);
    yields.set(server, (yields.get(server) ?? 0) + count);
    this.#flush(entry.address);
  }

  close(): void {
    this.#closed = true;
    this.#flushTimer?.cancel();
    this.#clients.close();
  }

  #excludeSelf(entries: readonly EntryRegistration[]): EntryRegistration[] {
    return entries.filter((entry) => entry.id !== this.#options.entryId);
  }

  #getPendingUpdates(entry: EntryRegistration): PendingUpdates {
    this.#flushTimer ??= this.#options.clock.startTimer(FLUSH_DELAY_MS, () => {
      this.#flushTimer = undefined;
      [...this.#pendingByAddress.keys()].forEach((address) =>
        this.#flush(address)
      );
    });
    const pending = this.#pendingByAddress.get(entry.address) ??
      createPendingUpdates();
    this.#pendingByAddress.set(entry.address, pending);
    return pending;
  }

  #flush(address: string): void {
    const pending = this.#pendingByAddress.get(address);
    this.#pendingByAddress.delete(address);
    if (pending === undefined || this.#closed) return;
    const batch = create(SpreadBatchSchema, toBatch(pending));
    batch.from = this.#options.entryId;
    const { metrics } = this.#options;
    metrics.count(MetricName.spreadMessages);
    metrics.count(
      MetricName.spreadBytes,
      toBinary(SpreadBatchSchema, batch).length,
    );
    // A lost batch is not resent; the next update of the same kind replaces it.
    this.#clients.get(address)
      .call(Entries.method.spread, batch, { timeoutMs: CALL_TIMEOUT_MS })
      .catch(() => {});
  }
}

function toBatch(
  pending: PendingUpdates,
): MessageInitShape<typeof SpreadBatchSchema> {
  const toSequenceCount = ([backendServer, sequences]: [string, number]) => ({
    backendServer,
    sequences,
  });
  return {
    announcements: [...pending.announcements.values()],
    suspicions: [...pending.suspicions.values()],
    promptParts: [...pending.promptParts.values()],
    yields: [...pending.yields].map(toSequenceCount),
    batchLoads: [...pending.batchLoads].map(toSequenceCount),
  };
}
