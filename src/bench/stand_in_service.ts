/**
 * A stand-in for a plain service whose calls may not be repeated. It keeps a
 * count for each receipt, so that a doubled one shows.
 */
import type { Clock } from "../sys/clock.ts";
import {
  type HttpListener,
  listenHttp,
  readBody,
  type ServerResponse,
} from "../sys/http.ts";
import { Announcer } from "./announcer.ts";

/** How a stand-in service behaves. */
export interface StandInServiceOptions {
  readonly name: string;
  readonly deployment: string;
  readonly dataCentre: string;
  readonly entries: readonly string[];
  readonly clock: Clock;
  readonly announceMs?: number;
  readonly leaseMs?: number;
  /** Counts of receipts that several servers share. */
  readonly receiptCounts?: Map<string, number>;
}

/** What happens to the next requests. */
export const ServiceFault = {
  none: "none",
  /** The request runs but the connection is cut before the answer. */
  loseAnswer: "lose answer",
} as const;

/** What happens to the next requests. */
export type ServiceFault = typeof ServiceFault[keyof typeof ServiceFault];

const DEFAULT_ANNOUNCE_MS = 500;
const DEFAULT_LEASE_MS = 2_000;
const MAX_BODY_BYTES = 1 << 20;

/** A running stand-in service. */
export class StandInService {
  readonly #options: StandInServiceOptions;
  readonly #announcer: Announcer;
  readonly receiptCounts: Map<string, number>;
  #listener: HttpListener | undefined;
  address = "";
  fault: ServiceFault = ServiceFault.none;
  /** Milliseconds that each request takes. */
  delayMs = 0;

  constructor(options: StandInServiceOptions) {
    this.#options = options;
    this.receiptCounts = options.receiptCounts ?? new Map();
    const incarnation = BigInt(Math.floor(options.clock.getWallMs()));
    this.#announcer = new Announcer({
      entries: options.entries,
      clock: options.clock,
      intervalMs: options.announceMs ?? DEFAULT_ANNOUNCE_MS,
      fields: () => ({
        name: options.name,
        incarnation,
        address: this.address,
        deployment: options.deployment,
        dataCentre: options.dataCentre,
        leaseMs: options.leaseMs ?? DEFAULT_LEASE_MS,
      }),
    });
  }

  async start(): Promise<void> {
    this.#listener = await listenHttp("127.0.0.1:0", (req, res) => {
      if (req.url === "/health") {
        res.end("ok");
        return;
      }
      readBody(req, MAX_BODY_BYTES)
        .then((body) => this.#handleRequest(body.toString(), res))
        .catch(() => res.destroy());
    });
    this.address = this.#listener.address;
    await this.#announcer.start();
  }

  announceLeaving(): Promise<void> {
    return this.#announcer.announceLeaving();
  }

  /** Ends at once. */
  crash(): void {
    this.#announcer.stop();
    this.#listener?.close();
  }

  async #handleRequest(body: string, res: ServerResponse): Promise<void> {
    if (this.delayMs > 0) await this.#options.clock.delay(this.delayMs);
    const receipt = getReceipt(body);
    const count = (this.receiptCounts.get(receipt) ?? 0) + 1;
    this.receiptCounts.set(receipt, count);
    if (this.fault === ServiceFault.loseAnswer) {
      res.destroy();
      return;
    }
    res.writeHead(200, { "content-type": "application/json" });
    res.end(JSON.stringify({ receipt, count, server: this.#options.name }));
  }
}

function getReceipt(body: string): string {
  try {
    return String(JSON.parse(body).receipt ?? body);
  } catch {
    return body;
  }
}
