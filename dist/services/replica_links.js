/** Links from one state host to the others; they carry all groups' messages. */
import { Replicas } from "../schema/mod.js";
import { ReplicaTransport } from "../state/mod.js";
import { RpcClient } from "../sys/rpc.js";
/** Messages to one host that wait for their turn; more are dropped. */
const MAX_QUEUED_MESSAGES = 10_000;
/** Sends replicas' messages over gRPC, all of one turn in one batch. */
export class ReplicaLinks extends ReplicaTransport {
    #credentials;
    #getAddress;
    #links = new Map();
    #flushing = false;
    #closed = false;
    constructor(options) {
        super();
        this.#credentials = options.credentials;
        this.#getAddress = options.getAddress;
    }
    send(message) {
        const address = this.#getAddress(message.to);
        if (address === undefined || this.#closed)
            return;
        const link = this.#getLink(address);
        if (link.queue.length >= MAX_QUEUED_MESSAGES)
            return;
        link.queue.push(message);
        if (this.#flushing)
            return;
        this.#flushing = true;
        setImmediate(() => this.#flush());
    }
    close() {
        this.#closed = true;
        this.#links.forEach((link) => {
            link.sender?.close();
            link.client.close();
        });
        this.#links.clear();
    }
    #getLink(address) {
        const known = this.#links.get(address);
        if (known !== undefined)
            return known;
        const client = new RpcClient(address, this.#credentials);
        const link = { client, queue: [] };
        this.#links.set(address, link);
        return link;
    }
    #flush() {
        this.#flushing = false;
        this.#links.forEach((link) => this.#flushLink(link));
    }
    #flushLink(link) {
        const messages = link.queue;
        if (messages.length === 0 || this.#closed)
            return;
        link.queue = [];
        const sender = link.sender ?? this.#openSender(link);
        // The protocol makes up for lost messages; a queue to a host that doesn't
        // read would only grow old.
        if (sender.isFull)
            return;
        sender.send({ messages });
    }
    #openSender(link) {
        const sender = link.client.openSender(Replicas.method.exchange, () => {
            if (link.sender === sender)
                link.sender = undefined;
        });
        link.sender = sender;
        return sender;
    }
}
//# sourceMappingURL=replica_links.js.map