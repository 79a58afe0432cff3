/**
 * A stand-in backend server of the platform, by its published protocol: it
 * streams numbered events, goes on where a request asks, and misbehaves when
 * told to.
 */
import http from "node:http";
import type { AddressInfo } from "node:net";

/** How the next requests are treated; those not listed are served. */
export type Behaviour =
  /** Answers that it did not run the request. */
  | "full"
  /** Another server stands at its address. */
  | "other"
  /** Resets the connection before any answer. */
  | "reset"
  /** Breaks off in the midst of the second event. */
  | "break"
  /** Runs the request and fails. */
  | "fail"
  /** Can never do it. */
  | "impossible"
  /** Answers to another request. */
  | "mixed"
  /** Takes the request and says nothing. */
  | "silent";

/** One request as the server saw it. */
export interface ReceivedRequest {
  readonly id: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** It began to work on it. */
  ran: boolean;
  /** The connection was closed before the answer was whole. */
  left: boolean;
}

/** Events of a whole answer. */
export const EVENT_COUNT = 5;

/** Text of one event's data. */
export function getEventData(id: string, number: number): string {
  return `${id}-${number}`;
}

/** The whole text that a request's events make, one a line. */
export function getCompleteText(id: string): string {
  return Array.from(
    { length: EVENT_COUNT },
    (_, index) => getEventData(id, index + 1),
  ).join("\n");
}

/** A running stand-in. */
export class PlatformServer {
  readonly id: string;
  readonly receivedRequests: ReceivedRequest[] = [];
  /** How its next requests are treated. */
  readonly behaviours: Behaviour[] = [];
  /** How the next requests at any server of the fleet are treated. */
  readonly #sharedBehaviours: Behaviour[];
  /** Time between events, in milliseconds. */
  eventIntervalMs = 2;
  #server: http.Server | undefined;
  #sequence = 0;
  #runningCount = 0;
  address = "";

  constructor(id: string, sharedBehaviours: Behaviour[]) {
    this.id = id;
    this.#sharedBehaviours = sharedBehaviours;
  }

  get running(): number {
    return this.#runningCount;
  }

  async start(): Promise<void> {
    const server = http.createServer((req, res) => this.#serve(req, res));
    this.#server = server;
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /** What it says of itself. */
  createRegistration(overrides: Record<string, unknown> = {}): string {
    this.#sequence += 1;
    return JSON.stringify({
      Service: "s",
      Address: this.address,
      Zone: "dc-1",
      Version: "v1",
      Slots: 4,
      State: "ready",
      ColdLeftMs: 0,
      Seq: this.#sequence,
      born: 1_000,
      ...overrides,
    });
  }

  #serve(req: http.IncomingMessage, res: http.ServerResponse): void {
    const chunks: Buffer[] = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => {
      const request: ReceivedRequest = {
        id: String(req.headers["x-request-id"] ?? ""),
        path: req.url ?? "",
        headers: req.headers,
        body: Buffer.concat(chunks).toString("latin1"),
        ran: false,
        left: false,
      };
      this.receivedRequests.push(request);
      this.#runningCount += 1;
      res.on("close", () => {
        this.#runningCount -= 1;
        if (!res.writableFinished) request.left = true;
      });
      const behaviour = this.behaviours.shift() ??
        this.#sharedBehaviours.shift();
      this.#respond(request, res, behaviour);
    });
  }

  #respond(
    request: ReceivedRequest,
    res: http.ServerResponse,
    behaviour: Behaviour | undefined,
  ): void {
    const headers = { "x-request-id": request.id, "x-server-load": "1,0,4" };
    request.ran = behaviour !== "full" && behaviour !== "other";
    switch (behaviour) {
      case "full":
        res.writeHead(503, { ...headers, "x-not-run": "full" }).end("full");
        return;
      case "other":
        res.writeHead(421, { ...headers, "x-not-run": "other" }).end();
        return;
      case "reset":
        res.socket?.resetAndDestroy();
        return;
      case "fail":
        res.writeHead(500, { ...headers, "x-server-stamp": "st" }).end(
          "failed",
        );
        return;
      case "impossible":
        res.writeHead(422, { ...headers, "x-server-stamp": "st" }).end("never");
        return;
      case "mixed":
        res.writeHead(200, { "x-request-id": "somebody-else" }).end("theirs");
        return;
      case "silent":
        return;
      default:
        this.#streamEvents(request, res, behaviour === "break");
    }
  }

  #streamEvents(
    request: ReceivedRequest,
    res: http.ServerResponse,
    resetsMidStream: boolean,
  ): void {
    const lastEventNumber = Number(request.headers["last-event-id"] ?? 0);
    res.writeHead(200, {
      "x-request-id": request.id,
      "x-server-stamp": `stamp-${this.id}`,
      "content-type": "text/event-stream",
    });
    const send = (number: number) => {
      if (res.destroyed) return;
      const event = `id: ${number}\ndata: ${
        getEventData(request.id, number)
      }\n\n`;
      if (resetsMidStream && number === lastEventNumber + 2) {
        res.write(event.slice(0, event.length / 2));
        setTimeout(() => res.socket?.resetAndDestroy(), this.eventIntervalMs);
        return;
      }
      res.write(event);
      if (number === EVENT_COUNT) res.end();
      else setTimeout(() => send(number + 1), this.eventIntervalMs);
    };
    send(lastEventNumber + 1);
  }
}
