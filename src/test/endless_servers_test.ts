/**
 * A faulty server in a fleet of real processes sends bytes that are no answer, or an
 * answer without end, until its connection is closed. Gateways and store hosts must
 * close it after a bounded number of bytes, stay within their memory and go on serving
 * the requests of others. The limits of the processes are lowered.
 */
import { once } from "node:events";
import { rm } from "node:fs/promises";
import http from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { expect } from "chai";
import { createConfig, sendHttpRequest } from "./platform_fleet.ts";
import { pollUntil } from "./poll_until.ts";
import { PlatformServer } from "./platform_server.ts";
import { SoakFleet } from "./soak/soak_fleet.ts";

/** Largest answer that the processes of the test pass on, in bytes. */
const MAX_ANSWER_BYTES = 1 << 20;

/**
 * Bytes that the faulty server may write on one connection: some of them are in the
 * buffers of the system when the connection is closed.
 */
const MAX_SENT_BYTES = 16 << 20;

/** Bytes of one answer that may reach a caller. */
const MAX_RECEIVED_BYTES = 4 * MAX_ANSWER_BYTES;

/** Bytes after which the faulty server and the callers of the test give up. */
const GIVE_UP_BYTES = 64 << 20;

/** Time limit of all requests, in milliseconds. */
const REQUEST_TIMEOUT_MS = 3_000;

const HEARTBEAT_INTERVAL_MS = 400;

/** Time of a test on a machine that is ten times as slow, in milliseconds. */
const TIMEOUT_MS = 240_000;

const GATEWAY = "gateway-1";

/** Paths of all kinds of requests; see createConfig. */
const PATHS = ["/p/", "/n/", "/s/", "/l/"];

/** What the faulty server sends: a beginning, and a part that it repeats. */
interface EndlessAnswer {
  readonly name: string;
  readonly head: string;
  readonly repeated: string;
}

const OK = "HTTP/1.1 200 OK\r\n";
const PLAIN = "Content-Type: text/plain\r\n";
const EVENTS = "Content-Type: text/event-stream\r\n";
const CHUNKED = "Transfer-Encoding: chunked\r\n";
const JUNK = "x".repeat(16 * 1024);

/** A chunk of a body in chunks. */
const frame = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** The id of the request stands for `{id}`. */
const NAMED = "X-Request-Id: {id}\r\nX-Server-Stamp: st\r\n";

const ANSWERS: readonly EndlessAnswer[] = [
  { name: "bytes that are no answer", head: "", repeated: JUNK },
  { name: "a status line", head: "HTTP/1.1 200 ", repeated: JUNK },
  { name: "one header", head: `${OK}X-Junk: `, repeated: JUNK },
  { name: "headers", head: OK, repeated: "X-Junk: x\r\n".repeat(1_000) },
  {
    name: "informational answers",
    head: "",
    repeated: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(300),
  },
  {
    name: "a chunk size",
    head: `${OK}${NAMED}${PLAIN}${CHUNKED}\r\n`,
    repeated: "0".repeat(JUNK.length),
  },
  {
    name: "a chunk extension",
    head: `${OK}${NAMED}${PLAIN}${CHUNKED}\r\n5;x=`,
    repeated: JUNK,
  },
  {
    name: "trailers",
    head: `${OK}${NAMED}${PLAIN}${CHUNKED}\r\n5\r\nhello\r\n0\r\n`,
    repeated: "X-Junk: x\r\n".repeat(1_000),
  },
  {
    name: "a body in chunks",
    head: `${OK}${NAMED}${PLAIN}${CHUNKED}\r\n`,
    repeated: frame(JUNK),
  },
  {
    name: "a body without a length",
    head: `${OK}${NAMED}${PLAIN}\r\n`,
    repeated: JUNK,
  },
  {
    name: "a body of 100 GB",
    head: `${OK}${NAMED}${PLAIN}Content-Length: 100000000000\r\n\r\n`,
    repeated: JUNK,
  },
  {
    name: "the body of an error",
    head: `HTTP/1.1 500 Failed\r\n${NAMED}${PLAIN}\r\n`,
    repeated: JUNK,
  },
  {
    name: "one event",
    head: `${OK}${NAMED}${EVENTS}\r\nid: 1\ndata: `,
    repeated: JUNK,
  },
  {
    name: "comments",
    head: `${OK}${NAMED}${EVENTS}\r\n`,
    repeated: ": x\n".repeat(4_000),
  },
  {
    name: "comments that are events",
    head: `${OK}${NAMED}${EVENTS}\r\n`,
    repeated: ": x\n\n".repeat(4_000),
  },
  {
    name: "events",
    head: `${OK}${NAMED}${EVENTS}\r\n`,
    repeated: "data: x\n\n".repeat(2_000),
  },
];

/** A server that answers each request without end. */
class EndlessServer extends PlatformServer {
  answer: EndlessAnswer | undefined;
  /** Bytes written on each connection that got a request. */
  readonly sentBytes: number[] = [];
  /** Number of online requests, and of items. */
  readonly counts = { online: 0, items: 0 };
  openCount = 0;
  readonly #sockets = new Set<Socket>();
  readonly #server = createServer((socket) => this.#accept(socket));

  override async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    this.address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  override close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    socket.once("data", (bytes) => {
      this.counts[/^POST \/b\//.test(String(bytes)) ? "items" : "online"] += 1;
      const [, id = ""] = /x-request-id: (\S+)/i.exec(String(bytes)) ?? [];
      if (this.answer === undefined) socket.destroy();
      else this.#send(socket, this.answer, id);
    });
  }

  #send(socket: Socket, answer: EndlessAnswer, id: string): void {
    const index = this.sentBytes.push(0) - 1;
    const repeated = Buffer.from(answer.repeated);
    this.openCount += 1;
    socket.on("close", () => {
      this.openCount -= 1;
    });
    socket.write(answer.head.replaceAll("{id}", id));
    const sendMore = () => {
      const sent = this.sentBytes[index] ?? 0;
      if (socket.destroyed) return;
      if (sent > GIVE_UP_BYTES) {
        socket.destroy();
        return;
      }
      this.sentBytes[index] = sent + repeated.length;
      if (socket.write(repeated)) setImmediate(sendMore);
      else socket.once("drain", () => setImmediate(sendMore));
    };
    sendMore();
  }
}

describe("servers that answer without end", () => {
  const fleet = new SoakFleet(
    { controls: 3, stores: 3, gateways: 1, servers: 2 },
    { max_answer_bytes: MAX_ANSWER_BYTES },
  );
  const faulty = new EndlessServer("faulty", []);
  let heartbeats: ReturnType<typeof setInterval> | undefined;
  let sentCount = 0;

  const createId = () => {
    sentCount += 1;
    return `r${sentCount}`;
  };

  const register = () =>
    [...fleet.servers, faulty].forEach((server) => {
      sendHttpRequest(
        fleet.getAddress("control-1"),
        "PUT",
        `/-/instances/${server.id}`,
        { headers: {}, body: server.createRegistration() },
      );
    });

  const submit = async () => {
    const job = createId();
    const { status } = await sendHttpRequest(
      fleet.getAddress(GATEWAY),
      "POST",
      "/b/",
      {
        headers: { "Host": "a.example", "X-Request-Id": job },
        body: JSON.stringify({
          Items: Array.from({ length: 6 }, (_, index) => ({
            Id: `${job}-${index}`,
            Path: `/b/${job}`,
            Headers: {},
            Body: "",
            Tokens: 1,
          })),
        }),
      },
    );
    return { job, status };
  };

  const end = (job: string) =>
    sendHttpRequest(fleet.getAddress(GATEWAY), "DELETE", `/-/lots/${job}`, {
      headers: { Host: "a.example" },
    });

  /** Sends a request and returns its status and the bytes of the answer. */
  const send = (path: string) =>
    new Promise<{ status: number; bytes: number }>((resolve) => {
      let status = 0;
      let bytes = 0;
      const req = http.request(
        `http://${fleet.getAddress(GATEWAY)}${path}`,
        {
          method: "POST",
          agent: false,
          headers: {
            "Host": "a.example",
            "X-Request-Id": createId(),
            "X-Deadline-Ms": String(REQUEST_TIMEOUT_MS),
          },
        },
        (res) => {
          status = res.statusCode ?? 0;
          res.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > GIVE_UP_BYTES) req.destroy();
          });
          res.on("error", () => {});
        },
      );
      req.on("error", () => {});
      req.on("close", () => resolve({ status, bytes }));
      req.end("body");
    });

  before(async function () {
    this.timeout(TIMEOUT_MS);
    await fleet.start();
    await faulty.start();
    heartbeats = setInterval(register, HEARTBEAT_INTERVAL_MS);
    await pollUntil("the configuration to be acknowledged", async () => {
      const { status } = await sendHttpRequest(
        fleet.getAddress("control-1"),
        "PUT",
        "/-/config",
        { headers: {}, body: createConfig(1) },
      );
      return status === 200;
    });
    for (const path of PATHS) {
      await pollUntil(
        `${path} to be served`,
        async () => (await send(path)).status === 200,
      );
    }
  });

  after(async () => {
    clearInterval(heartbeats);
    faulty.close();
    await fleet.close({ keepFolder: true });
    await rm(fleet.folder, { recursive: true, force: true });
  });

  ANSWERS.forEach((answer) => {
    // Guards against processes that read or pass on such bytes until they end.
    it(`send ${answer.name}`, async () => {
      faulty.answer = answer;
      faulty.sentBytes.length = 0;
      Object.assign(faulty.counts, { online: 0, items: 0 });
      const jobs: string[] = [];
      let largest = 0;
      const sendToEach = async () => {
        const { job, status } = await submit();
        if (status === 202) jobs.push(job);
        const answers = await Promise.all(PATHS.map(send));
        largest = Math.max(largest, ...answers.map(({ bytes }) => bytes));
      };
      await pollUntil("requests to reach the faulty server", async () => {
        await sendToEach();
        return faulty.counts.online >= 2 && faulty.counts.items >= 1;
      });
      expect(jobs).not.deep.equal([]);
      await Promise.all(jobs.map(end));
      await pollUntil(
        "the connections to be closed",
        () => faulty.openCount === 0,
      );
      expect(Math.max(...faulty.sentBytes), "bytes sent").below(MAX_SENT_BYTES);
      expect(largest, "bytes received").below(MAX_RECEIVED_BYTES);
      fleet.processes.forEach(({ name, isRunning, unexpectedExits }) => {
        expect(isRunning, name).equal(true);
        expect(unexpectedExits, name).deep.equal([]);
      });
      expect(fleet.getMemoryViolations()).deep.equal([]);
      await pollUntil("an ordinary request to be served", async () => {
        const { status, bytes } = await send("/p/");
        return status === 200 && bytes < MAX_ANSWER_BYTES;
      });
    }).timeout(TIMEOUT_MS);
  });
});
