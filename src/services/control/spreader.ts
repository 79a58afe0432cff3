/**
 * Spreads news between entries: announcements to the users of a backend
 * server, suspicions to all, requests to give way to a server's batch owner.
 * News of one short while goes in one batch.
 */
import { create, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import type { FleetView } from "../../membership/mod.ts";
import {
  type Announcement,
  Entries,
  type EntryRegistration,
  SpreadBatchSchema,
  type Suspicion,
} from "../../schema/mod.ts";
import { type Clock, type Timer } from "../../sys/clock.ts";
import { MetricName, type Metrics } from "../../sys/metrics.ts";
import { RpcClientPool, type RpcCredentials } from "../../sys/rpc.ts";

interface Outbox {
  announcements: Map<string, Announcement>;
  suspicions: Map<string, Suspicion>;
  yields: Map<string, number>;
  batchLoads: Map<string, number>;
}

/** How a {@linkcode Spreader} is made. */
export interface SpreaderOptions {
  readonly entryId: string;
  readonly view: FleetView;
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

const FLUSH_MS = 20;
const CALL_TIMEOUT_MS = 1_000;

function createOutbox(): Outbox {
  return {
    announcements: new Map(),
    suspicions: new Map(),
    yields: new Map(),
    batchLoads: new Map(),
  };
}

/** Sends news to other entries. */
export class Spreader {
  readonly #options: SpreaderOptions;
  readonly #outboxes = new Map<string, Outbox>();
  readonly #clients: RpcClientPool;
  #timer: Timer | undefined;
  #closed = false;

  constructor(options: SpreaderOptions) {
    this.#options = options;
    this.#clients = new RpcClientPool(options.credentials);
  }

  /** Passes a server's announcement to the other entries that use it. */
  spreadAnnouncement(announcement: Announcement): void {
    const users = this.#options.view.getUsers(announcement);
    this.#getOthers(users).forEach((entry) =>
      this.#getOutbox(entry).announcements.set(announcement.name, announcement)
    );
  }

  /** Passes a suspicion to all other entries. */
  spreadSuspicion(news: Suspicion): void {
    this.#getOthers(this.#options.view.entries).forEach((entry) =>
      this.#getOutbox(entry).suspicions.set(news.fingerprint, news)
    );
  }

  /** Tells the other users of owned servers what batch runs there. */
  spreadBatchLoads(
    loads: readonly { backendServer: string; sequences: number }[],
  ): void {
    const { view, entryId } = this.#options;
    loads.forEach((load) => {
      const server = view.backends.tryGet(load.backendServer)?.announcement;
      if (server === undefined) return;
      if (view.tryGetOwner(server)?.id !== entryId) return;
      this.#getOthers(view.getUsers(server)).forEach((entry) =>
        this.#getOutbox(entry).batchLoads.set(
          load.backendServer,
          load.sequences,
        )
      );
    });
  }

  /** Asks an entry to end batch sequences on a server, without delay. */
  sendYield(owner: string, server: string, count: number): void {
    const entry = this.#options.view.entries.find((one) => one.id === owner);
    if (entry === undefined) return;
    const { yields } = this.#getOutbox(entry);
    yields.set(server, (yields.get(server) ?? 0) + count);
    this.#flush(entry.address);
  }

  close(): void {
    this.#closed = true;
    this.#timer?.cancel();
    this.#clients.close();
  }

  #getOthers(entries: readonly EntryRegistration[]): EntryRegistration[] {
    return entries.filter((entry) => entry.id !== this.#options.entryId);
  }

  #getOutbox(entry: EntryRegistration): Outbox {
    this.#timer ??= this.#options.clock.startTimer(FLUSH_MS, () => {
      this.#timer = undefined;
      [...this.#outboxes.keys()].forEach((address) => this.#flush(address));
    });
    const outbox = this.#outboxes.get(entry.address) ?? createOutbox();
    this.#outboxes.set(entry.address, outbox);
    return outbox;
  }

  #flush(address: string): void {
    const outbox = this.#outboxes.get(address);
    this.#outboxes.delete(address);
    if (outbox === undefined || this.#closed) return;
    const batch = create(SpreadBatchSchema, toBatch(outbox));
    batch.from = this.#options.entryId;
    const { metrics } = this.#options;
    metrics.count(MetricName.spreadMessages);
    metrics.count(
      MetricName.spreadBytes,
      toBinary(SpreadBatchSchema, batch).length,
    );
    // News that is lost is replaced by the next of its kind.
    this.#clients.get(address)
      .call(Entries.method.spread, batch, { timeoutMs: CALL_TIMEOUT_MS })
      .catch(() => {});
  }
}

function toBatch(outbox: Outbox): MessageInitShape<typeof SpreadBatchSchema> {
  const toRow = ([backendServer, sequences]: [string, number]) => ({
    backendServer,
    sequences,
  });
  return {
    announcements: [...outbox.announcements.values()],
    suspicions: [...outbox.suspicions.values()],
    yields: [...outbox.yields].map(toRow),
    batchLoads: [...outbox.batchLoads].map(toRow),
  };
}
