/**
 * A stand-in for a backend server of the platform that follows its published
 * protocol. It streams numbered events, resumes after the event that a request
 * names, and fails in the ways that a test queues.
 */
import http from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** Behaviour for one request. A request without one is served normally. */
export type Behaviour =
  /** Responds 503 and states that it did not run the request. */
  | "full"
  /**
   * Responds 503 and states that it did not run the request. If the request comes
   * again on that connection, writes the same response again and runs the request.
   */
  | "refuseAgain"
  /** Responds 421, as a different server at the same address does. */
  | "other"
  /** Resets the connection before sending a response. */
  | "reset"
  /** Resets the connection within the second event of the response. */
  | "break"
  /** Ends together with all its connections between the second and third event. */
  | "end"
  /** Responds 200 with its proof and a page of HTML. */
  | "page"
  /** Responds 200 with its proof and no event. */
  | "empty"
  /** Runs the request and responds 500. */
  | "fail"
  /** Responds 422: no retry can succeed. */
  | "impossible"
  /** Sends the response to a different request. */
  | "mixed"
  /** Runs the request and refuses it in a response that names no request. */
  | "unnamed"
  /**
   * Answers, and sends one more response, which names no request, on that connection
   * at the point where the next answer is due.
   */
  | "extra"
  /** Accepts the request and never responds. */
  | "silent";

/** What tells where a body ends. */
export const Framing = {
  chunks: "chunks",
  length: "length",
  /** The end of the connection. */
  none: "none",
} as const;

/** One of {@linkcode Framing}. */
export type Framing = typeof Framing[keyof typeof Framing];

/** One request as the server received it. */
export interface ReceivedRequest {
  readonly id: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the server started to run the request. */
  ran: boolean;
  /** Whether the connection closed before the response was complete. */
  left: boolean;
  /** Monotonic time at which it had arrived completely, in milliseconds. */
  readonly receivedMs: number;
}

/** Number of events in a complete response. */
export const EVENT_COUNT = 5;

/** A response that names no request and has no proof. */
const EXTRA_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/** Returns the bytes of a refusal of request `id`. */
function createRefusal(id: string): string {
  return `HTTP/1.1 503 Full\r\nX-Request-Id: ${id}\r\nX-Not-Run: full\r\n` +
    "Content-Length: 0\r\n\r\n";
}

/** Returns the data of one event of the response to request `id`. */
export function getEventData(id: string, number: number): string {
  return `${id}-${number}`;
}

/** Returns the data of all events of a complete response, one per line. */
export function getCompleteText(id: string): string {
  return Array.from(
    { length: EVENT_COUNT },
    (_, index) => getEventData(id, index + 1),
  ).join("\n");
}

/** The stand-in, which records the requests that it receives. */
export class PlatformServer {
  readonly id: string;
  readonly receivedRequests: ReceivedRequest[] = [];
  /** Behaviours for the next requests at this server. */
  readonly behaviours: Behaviour[] = [];
  /** Behaviours for the next requests at any server of the fleet. */
  readonly #sharedBehaviours: Behaviour[];
  /** Time between two events of a response, in milliseconds. */
  eventIntervalMs = 2;
  /** Version of the server's software. */
  version = "v1";
  /** Whether each event names the version that made it. */
  marksEvents = false;
  /** Time of its start that its registrations give, in milliseconds. */
  bornMs = 1_000;
  /** What tells where the body of an answer ends. */
  framing: Framing = Framing.chunks;
  /** Bytes that a comment adds to each event. */
  paddingBytes = 0;
  /** Whether each response says that the server leaves. */
  leaves = false;
  /**
   * Requests a second that each response says the server takes from all hosts
   * together; undefined for no limit.
   */
  limitPerS: number | undefined;
  /** Text in a request's body that ends the server; undefined for none. */
  crashText: string | undefined;
  /** Part of a prompt that ends the server before it answers; undefined for none. */
  crashPart: string | undefined;
  /** Time until the first event of a stream, in milliseconds. */
  firstEventMs = 0;
  /** Returns what the event of a number waits for; undefined for nothing. */
  getEventGate: (number: number) => Promise<void> | undefined = () => undefined;
  /** Called when a request has ended the server. */
  onCrash: () => void = () => {};
  /** Number of extra responses that it sent. */
  extraCount = 0;
  /** Connections on which an extra response is to be sent. */
  readonly #spoiltConnections = new Set<Socket>();
  /** Connections on which requests were refused and will be again, by their ids. */
  readonly #refusedOn = new Map<string, Socket>();
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

  /** Starts on `port`, or on a free port if it is 0. */
  async start(port = 0): Promise<void> {
    const server = http.createServer((req, res) => this.#serve(req, res));
    this.#server = server;
    await new Promise<void>((resolve) =>
      server.listen(port, "127.0.0.1", () => resolve())
    );
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /** Ends at once with all connections, unless it has ended already. */
  crash(): void {
    if (this.#server?.listening !== true) return;
    this.close();
    this.onCrash();
  }

  /** Sends no extra response on connections on which one was to follow. */
  discardExtraResponses(): void {
    this.#spoiltConnections.clear();
  }

  /** Returns the body of a registration, with the next sequence number. */
  createRegistration(overrides: Record<string, unknown> = {}): string {
    this.#sequence += 1;
    return JSON.stringify({
      Service: "s",
      Address: this.address,
      Zone: "dc-1",
      Version: this.version,
      Slots: 4,
      State: "ready",
      ColdLeftMs: 0,
      Seq: this.#sequence,
      born: this.bornMs,
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
        receivedMs: performance.now(),
      };
      this.receivedRequests.push(request);
      this.#runningCount += 1;
      res.on("close", () => {
        this.#runningCount -= 1;
        if (!res.writableFinished) request.left = true;
      });
      if (this.#spoiltConnections.delete(req.socket)) {
        this.extraCount += 1;
        req.socket.write(EXTRA_RESPONSE);
      }
      if (this.#isCrashing(request)) {
        request.ran = true;
        setTimeout(() => this.crash(), this.firstEventMs);
        return;
      }
      if (this.#refusedOn.get(request.id) === req.socket) {
        req.socket.write(createRefusal(request.id));
      }
      const isRepeated = this.#refusedOn.delete(request.id);
      const behaviour = isRepeated
        ? undefined
        : this.behaviours.shift() ?? this.#sharedBehaviours.shift();
      this.#respond(request, res, behaviour);
    });
  }

  #isCrashing({ body, headers }: ReceivedRequest): boolean {
    const parts = String(headers["x-prompt-prefix"] ?? "").split(",")
      .map((part) => part.split(":")[0]);
    return (this.crashText !== undefined && body.includes(this.crashText)) ||
      (this.crashPart !== undefined && parts.includes(this.crashPart));
  }

  #respond(
    request: ReceivedRequest,
    res: http.ServerResponse,
    behaviour: Behaviour | undefined,
  ): void {
    const headers = {
      "x-request-id": request.id,
      "x-server-load": "1,0,4",
      ...this.#createStateHeaders(),
    };
    request.ran = behaviour !== "full" && behaviour !== "refuseAgain" &&
      behaviour !== "other";
    switch (behaviour) {
      case "full":
        res.writeHead(503, { ...headers, "x-not-run": "full" }).end("full");
        return;
      case "refuseAgain":
        if (res.socket !== null) this.#refusedOn.set(request.id, res.socket);
        res.writeHead(503, { ...headers, "x-not-run": "full" }).end("full");
        return;
      case "other":
        res.writeHead(421, { ...headers, "x-not-run": "other" }).end();
        return;
      case "reset":
        res.socket?.resetAndDestroy();
        return;
      case "page":
      case "empty":
        res.writeHead(200, {
          ...headers,
          "x-server-stamp": "st",
          "content-type": behaviour === "page"
            ? "text/html"
            : "text/event-stream",
        }).end(behaviour === "page" ? "<p>failed</p>\n\n" : "");
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
        res.writeHead(200, {
          "x-request-id": "somebody-else",
          ...this.#createStateHeaders(),
        }).end("theirs");
        return;
      case "unnamed":
        res.writeHead(503, { "x-not-run": "full" }).end();
        return;
      case "silent":
        return;
      case "extra":
        if (res.socket !== null) this.#spoiltConnections.add(res.socket);
        this.#streamEvents(request, res, undefined);
        return;
      default:
        this.#streamEvents(request, res, behaviour);
    }
  }

  #createStateHeaders(): Record<string, string> {
    return {
      ...this.leaves ? { "server-leaving": "1" } : {},
      ...this.limitPerS === undefined
        ? {}
        : { "server-limit": String(this.limitPerS) },
    };
  }

  #streamEvents(
    request: ReceivedRequest,
    res: http.ServerResponse,
    behaviour: Behaviour | undefined,
  ): void {
    const lastEventNumber = Number(request.headers["last-event-id"] ?? 0);
    if (this.framing !== Framing.chunks) {
      res.useChunkedEncodingByDefault = false;
    }
    res.writeHead(200, {
      "x-request-id": request.id,
      "x-server-stamp": `stamp-${this.id}`,
      ...this.#createStateHeaders(),
      "content-type": "text/event-stream",
      ...this.framing === Framing.length
        ? { "content-length": this.#getLength(request.id, lastEventNumber) }
        : {},
    });
    const send = (number: number) => {
      if (res.destroyed) return;
      if (number > EVENT_COUNT) {
        res.end();
        return;
      }
      const event = this.#createEvent(request.id, number);
      if (behaviour === "break" && number === lastEventNumber + 2) {
        res.write(event.slice(0, event.length / 2));
        setTimeout(() => res.socket?.resetAndDestroy(), this.eventIntervalMs);
        return;
      }
      if (behaviour === "end" && number === lastEventNumber + 3) {
        this.crash();
        return;
      }
      res.write(event);
      if (number === EVENT_COUNT) res.end();
      else schedule(number + 1, this.eventIntervalMs);
    };
    const schedule = (number: number, ms: number) =>
      setTimeout(async () => {
        await this.getEventGate(number);
        send(number);
      }, ms);
    schedule(lastEventNumber + 1, this.firstEventMs);
  }

  #createEvent(id: string, number: number): string {
    const mark = this.marksEvents ? `@${this.version}` : "";
    const padding = this.paddingBytes === 0
      ? ""
      : `: ${"x".repeat(this.paddingBytes)}\n`;
    return `id: ${number}\n${padding}data: ${
      getEventData(id, number)
    }${mark}\n\n`;
  }

  /** Length of the events after `lastEventNumber`, in bytes. */
  #getLength(id: string, lastEventNumber: number): number {
    const numbers = Array.from(
      { length: EVENT_COUNT - lastEventNumber },
      (_, index) => lastEventNumber + index + 1,
    );
    return numbers.map((number) => this.#createEvent(id, number).length)
      .reduce((sum, length) => sum + length, 0);
  }
}
