/**
 * Links from one state host to the others. The messages of all groups to a host
 * share its links: one carries entries and snapshots, the other the rest. A
 * receiver reads at most one flow-control window per turn of its event loop, so
 * heartbeats on a shared connection would wait behind entries.
 */
import { type ReplicaMessage, Replicas } from "../../schema/mod.ts";
import { ReplicaTransport } from "../../state/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import {
  RpcClient,
  type RpcCredentials,
  type RpcSender,
} from "../../sys/rpc.ts";

interface Link {
  readonly client: RpcClient;
  readonly openedMs: number;
  sender?: RpcSender<{ messages: ReplicaMessage[] }>;
  queue: ReplicaMessage[];
}

/** Links by the address of the host. */
type Links = Map<string, Link>;

/** Maximum number of queued messages per link; excess messages are dropped. */
const MAX_QUEUED_MESSAGES = 10_000;

/**
 * Time without messages from a host after which the connections to it are
 * replaced, in milliseconds: two election timeouts of 600 ms plus a margin.
 */
const LINK_TIMEOUT_MS = 1_500;

/**
 * Sends messages of replicas over gRPC. Messages that are sent over a link in
 * the same turn of the event loop share a batch.
 */
export class ReplicaLinks extends ReplicaTransport {
  readonly #credentials: RpcCredentials;
  readonly #getAddress: (id: string) => string | undefined;
  readonly #bulkLinks: Links = new Map();
  readonly #promptLinks: Links = new Map();
  readonly #clock: Clock;
  readonly #lastReceivedMs = new Map<string, number>();
  #isFlushScheduled = false;
  #closed = false;

  constructor(options: {
    credentials: RpcCredentials;
    getAddress: (id: string) => string | undefined;
    clock: Clock;
  }) {
    super();
    this.#clock = options.clock;
    this.#credentials = options.credentials;
    this.#getAddress = options.getAddress;
  }

  override send(message: ReplicaMessage): void {
    const isBulk = message.body.case === "appendRequest" ||
      message.body.case === "snapshotRequest";
    this.#enqueue(message, isBulk ? this.#bulkLinks : this.#promptLinks);
  }

  override sendHeartbeat(message: ReplicaMessage): void {
    this.#enqueue(message, this.#promptLinks);
  }

  #enqueue(message: ReplicaMessage, links: Links): void {
    const address = this.#getAddress(message.to);
    if (address === undefined || this.#closed) return;
    const link = this.#getLink(address, links);
    if (link.queue.length >= MAX_QUEUED_MESSAGES) return;
    link.queue.push(message);
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setImmediate(() => this.#flush());
  }

  override isCongested(id: string): boolean {
    const address = this.#getAddress(id);
    const link = address === undefined
      ? undefined
      : this.#bulkLinks.get(address);
    return link !== undefined &&
      (link.queue.length > 0 || link.sender?.isBufferFull === true);
  }

  /** Records that a message from replica `id` arrived: its host is alive. */
  recordReceived(id: string): void {
    const address = this.#getAddress(id);
    if (address === undefined) return;
    this.#lastReceivedMs.set(address, this.#clock.getMonotonicMs());
  }

  close(): void {
    this.#closed = true;
    [this.#promptLinks, this.#bulkLinks].forEach((links) => {
      links.forEach((link) => {
        link.sender?.close();
        link.client.close();
      });
      links.clear();
    });
  }

  #getLink(address: string, links: Links): Link {
    const current = links.get(address);
    const nowMs = this.#clock.getMonotonicMs();
    if (current !== undefined && !this.#isSilent(address, current, nowMs)) {
      return current;
    }
    // The other one may have broken as well, and messages on this one would hide it.
    if (current !== undefined) this.#closeLinks(address);
    const client = new RpcClient(address, this.#credentials);
    const link: Link = { client, queue: [], openedMs: nowMs };
    links.set(address, link);
    return link;
  }

  #closeLinks(address: string): void {
    [this.#promptLinks, this.#bulkLinks].forEach((links) => {
      const link = links.get(address);
      link?.sender?.close();
      link?.client.close();
      links.delete(address);
    });
  }

  /**
   * Whether nothing has arrived from the host for LINK_TIMEOUT_MS. Nothing else
   * reveals a connection that broke without a reset.
   */
  #isSilent(address: string, link: Link, nowMs: number): boolean {
    const lastReceivedMs = this.#lastReceivedMs.get(address) ?? -Infinity;
    return nowMs - Math.max(lastReceivedMs, link.openedMs) > LINK_TIMEOUT_MS;
  }

  #flush(): void {
    this.#isFlushScheduled = false;
    [this.#promptLinks, this.#bulkLinks].forEach((links) =>
      links.forEach((link) => this.#flushLink(link))
    );
  }

  #flushLink(link: Link): void {
    const messages = link.queue;
    if (messages.length === 0 || this.#closed) return;
    link.queue = [];
    const sender = link.sender ?? this.#openSender(link);
    // The protocol tolerates lost messages, so these are dropped. If they were
    // queued for a host that does not read, they would only become stale.
    if (sender.isBufferFull) return;
    sender.send({ messages });
  }

  #openSender(link: Link): RpcSender<{ messages: ReplicaMessage[] }> {
    const sender = link.client.openSender(Replicas.method.exchange, () => {
      if (link.sender === sender) link.sender = undefined;
    });
    link.sender = sender;
    return sender;
  }
}
