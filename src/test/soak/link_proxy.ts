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
export interface LinkEnds {
  readonly fromHost: string;
  readonly toHost: string;
  readonly port: number;
}

/** One link. */
export class LinkProxy {
  readonly #ends: LinkEnds;
  readonly #sockets = new Set<Socket>();
  readonly #relays = new Map<string, DatagramSocket>();
  #server: Server | undefined;
  #datagrams: DatagramSocket | undefined;
  #mode: LinkMode = LinkMode.pass;

  constructor(ends: LinkEnds) {
    this.#ends = ends;
  }

  async start(options: { datagrams: boolean }): Promise<void> {
    const { fromHost, port } = this.#ends;
    const server = createServer((socket) => this.#accept(socket));
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, fromHost, () => resolve());
    });
    if (options.datagrams) await this.#openDatagrams();
  }

  /** Connections that are open when a link heals stay lost. */
  setMode(mode: LinkMode): void {
    // A stream that lacks bytes must not go on as if it were whole.
    const lacksBytes = mode !== this.#mode && this.#isLossy;
    this.#mode = mode;
    if (mode === LinkMode.reset || lacksBytes) this.#resetAll();
  }

  close(): void {
    this.#server?.close();
    this.#resetAll();
    this.#datagrams?.close();
    this.#relays.forEach((relay) => relay.close());
  }

  get #isLossy(): boolean {
    return this.#mode === LinkMode.silent || this.#mode === LinkMode.cutIn ||
      this.#mode === LinkMode.cutOut;
  }

  #resetAll(): void {
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    this.#sockets.clear();
  }

  #accept(near: Socket): void {
    if (this.#mode === LinkMode.reset) {
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.#ends.port, this.#ends.toHost);
    this.#join(near, far, () => this.#mode === LinkMode.cutIn);
    this.#join(far, near, () => this.#mode === LinkMode.cutOut);
  }

  #join(from: Socket, to: Socket, isCut: () => boolean): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    const isLost = () => this.#mode === LinkMode.silent || isCut();
    let passed = Promise.resolve();
    const pass = (action: () => void) => {
      if (isLost()) return;
      const ms = this.#mode === LinkMode.delay ? DELAY_MS : 0;
      const due = ms === 0 ? Promise.resolve() : delay(ms);
      // What comes later never overtakes what came before.
      passed = Promise.all([passed, due]).then(() => action());
    };
    from.on("data", (bytes) => pass(() => to.destroyed || to.write(bytes)));
    from.on("end", () => pass(() => to.end()));
    from.on("error", () => pass(() => to.resetAndDestroy()));
    from.on("close", () => {
      this.#sockets.delete(from);
      pass(() => to.end());
    });
  }

  async #openDatagrams(): Promise<void> {
    const { fromHost, port } = this.#ends;
    const socket = createSocket("udp4");
    this.#datagrams = socket;
    socket.on("error", () => {});
    socket.on("message", (bytes, from) => {
      const key = `${from.address}:${from.port}`;
      const relay = this.#relays.get(key) ??
        this.#createRelay(key, from.address, from.port);
      const isLost = this.#mode !== LinkMode.pass &&
        this.#mode !== LinkMode.cutOut;
      if (!isLost) relay.send(bytes, port, this.#ends.toHost);
    });
    await new Promise<void>((resolve) =>
      socket.bind(port, fromHost, () => resolve())
    );
  }

  /** Answers go back to whom the datagrams came from. */
  #createRelay(key: string, address: string, port: number): DatagramSocket {
    const relay = createSocket("udp4");
    relay.on("error", () => {});
    relay.on("message", (bytes) => {
      const isLost = this.#mode !== LinkMode.pass &&
        this.#mode !== LinkMode.cutIn;
      if (!isLost) this.#datagrams?.send(bytes, port, address);
    });
    this.#relays.set(key, relay);
    return relay;
  }
}
