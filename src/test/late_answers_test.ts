/**
 * Connections to backend servers on which a second copy of an answer arrives
 * late. The connection may be idle or in use for another request by then, which
 * must not get that answer.
 */
import { expect } from "chai";
import type { Socket } from "node:net";
import { createHttpAgent, type HttpAgent, readBody } from "../sys/http.ts";
import { createBackendClient, createPermit } from "./backend_calls.ts";
import { createAnswer, ScriptedServer } from "./scripted_server.ts";

const IDLE_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 5_000;
const MAX_BODY_BYTES = 1_000;

/** Time for bytes to arrive at the client, in milliseconds. */
const ARRIVAL_MS = 30;

const FIRST = "first";
const SECOND = "second";

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe("late answers", () => {
  let server: ScriptedServer;
  let agent: HttpAgent;

  beforeEach(async () => {
    server = new ScriptedServer();
    agent = createHttpAgent({ idleTimeoutMs: IDLE_TIMEOUT_MS });
    await server.start();
  });

  afterEach(() => {
    agent.destroy();
    server.close();
  });

  /** Sends a request; returns the body of its answer, or how it ended. */
  async function send(id: string): Promise<string> {
    const client = createBackendClient(agent);
    const result = await client.send({
      request: {
        requestId: id,
        method: "POST",
        target: "/x",
        headers: ["Host", "a.example", "X-Request-Id", id],
        body: Buffer.alloc(0),
      },
      permit: createPermit(server.address),
      remainingMs: REQUEST_TIMEOUT_MS,
      resumeAfter: undefined,
      useNewConnection: false,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    if (result.kind !== "response") return result.kind;
    const body = await readBody(result.response.body, MAX_BODY_BYTES);
    return body.toString();
  }

  const copy = createAnswer(FIRST);
  const half = Math.floor(copy.length / 2);
  const cases = [
    {
      when: "with the answer itself",
      serve: (id: string, socket: Socket) => {
        socket.write(createAnswer(id) + (id === FIRST ? copy : ""));
      },
    },
    {
      when: "while the connection is idle",
      serve: (id: string, socket: Socket) => {
        socket.write(createAnswer(id));
        if (id === FIRST) setTimeout(() => socket.write(copy), ARRIVAL_MS);
      },
    },
    {
      when: "after the next request has been read",
      serve: (id: string, socket: Socket) => {
        socket.write((id === SECOND ? copy : "") + createAnswer(id));
      },
    },
    {
      when: "in two parts, before and after the next request",
      serve: (id: string, socket: Socket) => {
        if (id === SECOND) socket.write(copy.slice(half) + createAnswer(id));
        else {
          socket.write(createAnswer(id));
          setTimeout(() => socket.write(copy.slice(0, half)), ARRIVAL_MS);
        }
      },
    },
  ];

  // Guards against an answer that was given to the next caller of a connection.
  cases.forEach(({ when, serve }) => {
    it(`gives nobody a copy that arrives ${when}`, async () => {
      server.serve = serve;
      expect(await send(FIRST)).equal(FIRST);
      await delay(3 * ARRIVAL_MS);
      expect(await send(SECOND)).oneOf([SECOND, "lost"]);
      await delay(ARRIVAL_MS);
      expect(await send("third")).oneOf(["third", "lost"]);
    });
  });

  it("closes a connection whose answers can't be told apart any more", async () => {
    server.serve = (id, socket) =>
      socket.write((id === SECOND ? copy : "") + createAnswer(id));
    await send(FIRST);
    expect(await send(SECOND)).equal("lost");
    expect(await send("third")).equal("third");
    expect(server.connections.size).equal(2);
  });
});
