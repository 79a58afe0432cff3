/**
 * A link to one host: connections and datagrams that are delayed, reset, lost
 * in one direction or lost in both, as the soak says.
 */
import { createSocket, type Socket as DatagramSocket } from "node:dgram";
import { connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { LinkMode } from "./fault_plan.ts";

/** Delay of a slow link, in milliseconds each way. */
const DELAY_MS = 150;

/** Where a link begins and ends; both sides on one port. */
export interface LinkEndpoints {
  readonly listenHost: string;
  readonly targetHost: string;
  readonly port: number;
}

/** One link. */
export class LinkProxy {
  readonly #endpoints: LinkEndpoints;
  readonly #sockets = new Set<Socket>();
  readonly #upstreamSockets = new Map<string, DatagramSocket>();
  #server: Server | undefined;
  #datagramSocket: DatagramSocket | undefined;
  #mode: LinkMode = LinkMode.pass;

  constructor(endpoints: LinkEndpoints) {
    this.#endpoints = endpoints;
  }

  async start(options: { forwardsDatagrams: boolean }): Promise<void> {
    const { listenHost: listenHost, port } = this.#endpoints;
    const server = createServer((socket) => this.#accept(socket));
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, listenHost, () => resolve());
    });
    if (options.forwardsDatagrams) await this.#openDatagramSocket();
  }

  /** Connections that are open when a link heals stay lost. */
  setMode(mode: LinkMode): void {
    // A stream that lacks bytes must not go on as if it were whole.
    const hasLostBytes = mode !== this.#mode && this.#isLossy;
    this.#mode = mode;
    if (mode === LinkMode.reset || hasLostBytes) this.#resetConnections();
  }

  close(): void {
    this.#server?.close();
    this.#resetConnections();
    this.#datagramSocket?.close();
    this.#upstreamSockets.forEach((socket) => socket.close());
  }

  get #isLossy(): boolean {
    return this.#mode === LinkMode.silent || this.#mode === LinkMode.cutIn ||
      this.#mode === LinkMode.cutOut;
  }

  #resetConnections(): void {
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    this.#sockets.clear();
  }

  #accept(clientSocket: Socket): void {
    if (this.#mode === LinkMode.reset) {
      clientSocket.resetAndDestroy();
      return;
    }
    const targetSocket = connect(
      this.#endpoints.port,
      this.#endpoints.targetHost,
    );
    this.#forward(
      clientSocket,
      targetSocket,
      () => this.#mode === LinkMode.cutIn,
    );
    this.#forward(
      targetSocket,
      clientSocket,
      () => this.#mode === LinkMode.cutOut,
    );
  }

  #forward(from: Socket, to: Socket, isDirectionCut: () => boolean): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    const isLost = () => this.#mode === LinkMode.silent || isDirectionCut();
    let previousAction = Promise.resolve();
    const enqueue = (action: () => void) => {
      if (isLost()) return;
      const ms = this.#mode === LinkMode.delay ? DELAY_MS : 0;
      const delayed = ms === 0 ? Promise.resolve() : delay(ms);
      // What comes later never overtakes what came before.
      previousAction = Promise.all([previousAction, delayed]).then(() =>
        action()
      );
    };
    from.on("data", (bytes) => enqueue(() => to.destroyed || to.write(bytes)));
    from.on("end", () => enqueue(() => to.end()));
    from.on("error", () => enqueue(() => to.resetAndDestroy()));
    from.on("close", () => {
      this.#sockets.delete(from);
      enqueue(() => to.end());
    });
  }

  async #openDatagramSocket(): Promise<void> {
    const { listenHost: listenHost, port } = this.#endpoints;
    const socket = createSocket("udp4");
    this.#datagramSocket = socket;
    socket.on("error", () => {});
    socket.on("message", (bytes, sender) => {
      const key = `${sender.address}:${sender.port}`;
      const upstream = this.#upstreamSockets.get(key) ??
        this.#createUpstreamSocket(key, sender.address, sender.port);
      const isLost = this.#mode !== LinkMode.pass &&
        this.#mode !== LinkMode.cutOut;
      if (!isLost) upstream.send(bytes, port, this.#endpoints.targetHost);
    });
    await new Promise<void>((resolve) =>
      socket.bind(port, listenHost, () => resolve())
    );
  }

  /** Answers go back to whom the datagrams came from. */
  #createUpstreamSocket(
    key: string,
    address: string,
    port: number,
  ): DatagramSocket {
    const upstream = createSocket("udp4");
    upstream.on("error", () => {});
    upstream.on("message", (bytes) => {
      const isLost = this.#mode !== LinkMode.pass &&
        this.#mode !== LinkMode.cutIn;
      if (!isLost) this.#datagramSocket?.send(bytes, port, address);
    });
    this.#upstreamSockets.set(key, upstream);
    return upstream;
  }
}
