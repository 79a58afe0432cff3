/** Links from one state host to the others; they carry all groups' messages. */
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

/** Messages to one host that wait for their turn; more are dropped. */
const MAX_QUEUED_MESSAGES = 10_000;

/**
 * Silence of a host after which its connection is opened anew, in
 * milliseconds: two election timeouts of 600 ms and some.
 */
const LINK_TIMEOUT_MS = 1_500;

/** Sends replicas' messages over gRPC, all of one turn in one batch. */
export class ReplicaLinks extends ReplicaTransport {
  readonly #credentials: RpcCredentials;
  readonly #getAddress: (id: string) => string | undefined;
  readonly #links = new Map<string, Link>();
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
    const address = this.#getAddress(message.to);
    if (address === undefined || this.#closed) return;
    const link = this.#getLink(address);
    if (link.queue.length >= MAX_QUEUED_MESSAGES) return;
    link.queue.push(message);
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setImmediate(() => this.#flush());
  }

  /** A message of the replica `id` arrived, so its host lives. */
  recordReceived(id: string): void {
    const address = this.#getAddress(id);
    if (address === undefined) return;
    this.#lastReceivedMs.set(address, this.#clock.getMonotonicMs());
  }

  close(): void {
    this.#closed = true;
    this.#links.forEach((link) => {
      link.sender?.close();
      link.client.close();
    });
    this.#links.clear();
  }

  #getLink(address: string): Link {
    const current = this.#links.get(address);
    const nowMs = this.#clock.getMonotonicMs();
    if (current !== undefined && !this.#isSilent(address, current, nowMs)) {
      return current;
    }
    current?.sender?.close();
    current?.client.close();
    const client = new RpcClient(address, this.#credentials);
    const link: Link = { client, queue: [], openedMs: nowMs };
    this.#links.set(address, link);
    return link;
  }

  /** A connection that died without a reset shows by silence alone. */
  #isSilent(address: string, link: Link, nowMs: number): boolean {
    const lastReceivedMs = this.#lastReceivedMs.get(address) ?? -Infinity;
    return nowMs - Math.max(lastReceivedMs, link.openedMs) > LINK_TIMEOUT_MS;
  }

  #flush(): void {
    this.#isFlushScheduled = false;
    this.#links.forEach((link) => this.#flushLink(link));
  }

  #flushLink(link: Link): void {
    const messages = link.queue;
    if (messages.length === 0 || this.#closed) return;
    link.queue = [];
    const sender = link.sender ?? this.#openSender(link);
    // The protocol makes up for lost messages; a queue to a host that doesn't
    // read would only grow old.
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
