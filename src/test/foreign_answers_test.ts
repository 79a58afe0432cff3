/**
 * Bytes of faulty servers that belong to no request, most of them at the point
 * where the next answer is due: nobody gets them as an answer, and what they say
 * counts for nothing.
 */
import { expect } from "chai";
import type { Socket } from "node:net";
import { PlatformBackendDialect } from "../../platform/backend_dialect.ts";
import { BackendClient } from "../fleet/backend_client.ts";
import { runItemAttempt } from "../fleet/item_attempt.ts";
import { ItemProgress } from "../fleet/item_progress.ts";
import { createHttpAgent, type HttpAgent, readBody } from "../sys/http.ts";
import { SeededRandom } from "../sys/random.ts";
import { createPermit } from "./backend_calls.ts";
import {
  createAnswer,
  createResponse,
  ScriptedServer,
} from "./scripted_server.ts";

const IDLE_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 5_000;
const MAX_BODY_BYTES = 1_000;

const FIRST = "first";
const SECOND = "second";

describe("bytes that belong to no request", () => {
  let server: ScriptedServer;
  let agent: HttpAgent;
  /** What the client was told of the server, by name. */
  let reported: string[];

  beforeEach(async () => {
    server = new ScriptedServer();
    agent = createHttpAgent({ idleTimeoutMs: IDLE_TIMEOUT_MS });
    reported = [];
    await server.start();
  });

  afterEach(() => {
    agent.destroy();
    server.close();
  });

  const createClient = () =>
    new BackendClient({
      dialect: new PlatformBackendDialect(),
      agent,
      onLoad: (_, total) => reported.push(`load ${total}`),
      onWrongServer: () => reported.push("wrong server"),
      onLeaving: () => reported.push("leaving"),
      onLimit: (_, limitPerS) => reported.push(`limit ${limitPerS}`),
      onUnreachable: () => {},
      onActivity: () => {},
    });

  const createAttempt = (id: string) => ({
    request: {
      requestId: id,
      method: "POST",
      target: "/x",
      headers: ["Host", "a.example", "X-Request-Id", id],
      body: Buffer.alloc(0),
    },
    permit: createPermit(server.address),
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
  });

  const sendRequest = (id: string) =>
    createClient().send({
      ...createAttempt(id),
      remainingMs: REQUEST_TIMEOUT_MS,
      resumeAfter: undefined,
      useNewConnection: false,
    });

  /** Sends a request; returns the body of its answer, or how it ended. */
  const send = async (id: string): Promise<string> => {
    const result = await sendRequest(id);
    if (result.kind !== "response") return result.kind;
    const body = await readBody(result.response.body, MAX_BODY_BYTES);
    const isComplete = await result.response.isComplete();
    return isComplete ? body.toString() : "incomplete";
  };

  const runItem = (id: string, progress: ItemProgress) =>
    runItemAttempt({
      ...createAttempt(id),
      backendClient: createClient(),
      timeoutMs: REQUEST_TIMEOUT_MS,
      progress,
    });

  /** Writes `bytes` where the answer to the second request is due. */
  const writeBeforeSecond = (bytes: string) => {
    server.serve = (id: string, socket: Socket) =>
      socket.write((id === SECOND ? bytes : "") + createAnswer(id));
  };

  const NOT_RUN = "X-Not-Run: full";
  const STAMP = "X-Server-Stamp: st";
  const unnamed = [
    { what: "a success", bytes: createResponse("200 OK", [], "left over") },
    { what: "an empty success", bytes: createResponse("200 OK") },
    {
      what: "a success with a proof",
      bytes: createResponse("200 OK", [STAMP], "left over"),
    },
    {
      what: "a success with an empty id",
      bytes: createResponse("200 OK", ["X-Request-Id:", STAMP], "left over"),
    },
    { what: "a refusal", bytes: createResponse("503 Full", [NOT_RUN]) },
    { what: "a bare refusal", bytes: createResponse("429 Too Many") },
    { what: "a wrong server", bytes: createResponse("421 Other", [NOT_RUN]) },
    { what: "a failure", bytes: createResponse("500 Failed", [], "failed") },
    { what: "an impossible", bytes: createResponse("422 Never", [], "never") },
    { what: "a bad request", bytes: "HTTP/1.1 400 Bad Request\r\n\r\n" },
  ];

  // Guards against an extra response that a caller gets as the request's own, or
  // that promises of a running request that it doesn't run.
  unnamed.forEach(({ what, bytes }) => {
    it(`are no answer to the next request: ${what}`, async () => {
      writeBeforeSecond(bytes);
      expect(await send(FIRST)).equal(FIRST);
      expect(await send(SECOND)).equal("lost");
      expect(await send("third")).equal("third");
      expect(server.connections.size).equal(2);
    });
  });

  // Guards against an item that ends with the text of an extra response, or by it.
  unnamed.forEach(({ what, bytes }) => {
    it(`end no item: ${what}`, async () => {
      writeBeforeSecond(bytes);
      expect(await send(FIRST)).equal(FIRST);
      const progress = new ItemProgress({ random: new SeededRandom(1) });
      expect((await runItem(SECOND, progress)).kind).equal("broken");
      expect(progress.last).equal(undefined);
    });
  });

  // Guards against a server that is given up, or trusted, for what an extra
  // response says.
  it("say nothing of the server", async () => {
    writeBeforeSecond(createResponse("421 Other", [
      "Server-Leaving: 1",
      "Server-Limit: 0.5",
      "X-Server-Load: 9,9,9",
      NOT_RUN,
    ]));
    await send(FIRST);
    reported = [];
    expect(await send(SECOND)).equal("lost");
    expect(reported).deep.equal([]);
  });

  // Guards against a request without an id, which any extra response would fit.
  it("are no answer to a request without an id", async () => {
    const served = new Set<Socket>();
    server.serve = (id, socket) => {
      const extra = served.has(socket) ? createResponse("200 OK", [STAMP]) : "";
      served.add(socket);
      socket.write(extra + createResponse("200 OK", [STAMP], `to "${id}"`));
    };
    await send("");
    expect(await send("")).equal('to ""');
  });

  // Guards against a request that ends in no way that anybody waits for, and keeps
  // its slot for good.
  it("end an attempt if they change the protocol", async () => {
    writeBeforeSecond(
      "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n" +
        "Upgrade: x\r\n\r\n",
    );
    expect(await send(FIRST)).equal(FIRST);
    expect(await send(SECOND)).equal("lost");
    expect(await send("third")).equal("third");
  });

  /** Waits until the client has closed the only connection. */
  const waitUntilClosed = async () => {
    const [socket] = server.connections;
    if (socket === undefined || socket.closed) return;
    await new Promise((resolve) => socket.once("close", resolve));
  };

  const extra = [
    ...unnamed,
    { what: "garbage", bytes: "\0\x01 no answer \r\n\r\n" },
    { what: "a proper answer", bytes: createAnswer("other") },
    { what: "an interim response", bytes: "HTTP/1.1 100 Continue\r\n\r\n" },
  ];

  // Guards against an answer that is spoilt by what follows it in its segment, and
  // against a connection that stays in use after that.
  extra.forEach(({ what, bytes }) => {
    it(`don't spoil the answer that they follow: ${what}`, async () => {
      server.serve = (id, socket) =>
        socket.write(createAnswer(id) + (id === FIRST ? bytes : ""));
      expect(await send(FIRST)).equal(FIRST);
      await waitUntilClosed();
      expect(await send(SECOND)).equal(SECOND);
    });
  });

  // Guards against a response whose parts are taken for one or the other request's.
  it("are no answer if a part follows each of two answers", async () => {
    const bytes = createAnswer("other");
    const half = bytes.length / 2;
    server.serve = (id, socket) =>
      socket.write(
        id === FIRST
          ? createAnswer(id) + bytes.slice(0, half)
          : (id === SECOND ? bytes.slice(half) : "") + createAnswer(id),
      );
    expect(await send(FIRST)).equal(FIRST);
    expect(await send(SECOND)).oneOf([SECOND, "lost"]);
    expect(await send("third")).equal("third");
  });

  const partial = [
    { what: "half a head", bytes: "HTTP/1.1 200 OK\r\nX-Req" },
    { what: "a line break", bytes: "\r\n" },
  ];

  // Guards against an idle connection that stays in use after extra bytes, the rest
  // of which meet the next request.
  [...extra, ...partial].forEach(({ what, bytes }) => {
    it(`close the idle connection on which they arrive: ${what}`, async () => {
      server.serve = (id, socket) => socket.write(createAnswer(id));
      expect(await send(FIRST)).equal(FIRST);
      server.connections.forEach((socket) => socket.write(bytes));
      await waitUntilClosed();
      expect(await send(SECOND)).equal(SECOND);
    });
  });

  // Guards against a connection that is closed for the answer to its next request.
  it("are not the answers to later requests on a connection", async () => {
    server.serve = (id, socket) => socket.write(createAnswer(id));
    for (const id of [FIRST, SECOND, "third"]) {
      expect(await send(id)).equal(id);
    }
    expect(server.connections.size).equal(1);
  });

  // Guards against a request for which interim responses count as its answer.
  it("may be interim responses, which the answer follows", async () => {
    writeBeforeSecond(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n",
    );
    expect(await send(FIRST)).equal(FIRST);
    expect(await send(SECOND)).equal(SECOND);
  });
});
