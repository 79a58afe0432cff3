/**
 * A stand-in for a plain service with non-idempotent requests. It counts the
 * executions of each receipt, so that tests can detect duplicates.
 */
import type { Clock } from "../sys/clock.ts";
import { sendUnframed, sendWhole } from "../sys/framed_response.ts";
import {
  type HttpListener,
  listenHttp,
  readBody,
  type ServerResponse,
} from "../sys/http.ts";
import { Announcer } from "./announcer.ts";

/** Options of a {@linkcode StandInService}. */
export interface StandInServiceOptions {
  readonly name: string;
  readonly deployment: string;
  readonly dataCentre: string;
  readonly entries: readonly string[];
  readonly clock: Clock;
  readonly announceMs?: number;
  readonly leaseMs?: number;
  /** Executions of each receipt, if several servers share the counts. */
  readonly receiptCounts?: Map<string, number>;
}

/** Faults that a service can simulate. */
export const ServiceFault = {
  none: "none",
  /** The request runs, but the connection is closed before the response. */
  loseAnswer: "lose answer",
  /** The answer has neither a length nor chunks. */
  omitLength: "omit length",
  /** The answer has neither a length nor chunks, and the service ends within it. */
  endInAnswer: "end in answer",
  /** The request runs, and the connection is closed within the head of the answer. */
  truncateHead: "truncate head",
} as const;

/** A value of {@linkcode ServiceFault}. */
export type ServiceFault = typeof ServiceFault[keyof typeof ServiceFault];

const DEFAULT_ANNOUNCE_MS = 500;
const DEFAULT_LEASE_MS = 2_000;
const MAX_BODY_BYTES = 1 << 20;

/** Runs a stand-in service and announces it to entries. */
export class StandInService {
  readonly #options: StandInServiceOptions;
  readonly #announcer: Announcer;
  readonly receiptCounts: Map<string, number>;
  #listener: HttpListener | undefined;
  address = "";
  /** Fault of all requests from now on. */
  fault: ServiceFault = ServiceFault.none;
  /** Delay before each request runs, in milliseconds. */
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

  /** Announces that the server is leaving, but keeps serving. */
  announceLeaving(): Promise<void> {
    return this.#announcer.announceLeaving();
  }

  /** Closes all connections immediately. */
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
    if (this.fault === ServiceFault.truncateHead) {
      res.socket?.end("HTTP/1.1 200 OK\r\nContent-Length: 1");
      return;
    }
    const answer = JSON.stringify({
      receipt,
      count,
      server: this.#options.name,
    });
    const headers = { "content-type": "application/json" };
    switch (this.fault) {
      case ServiceFault.omitLength:
        sendUnframed(res, 200, headers, answer);
        return;
      case ServiceFault.endInAnswer:
        sendUnframed(res, 200, headers, answer.slice(0, answer.length / 2));
        this.crash();
        return;
      default:
        sendWhole(res, 200, headers, answer);
    }
  }
}

function getReceipt(body: string): string {
  try {
    return String(JSON.parse(body).receipt ?? body);
  } catch {
    return body;
  }
}
