/**
 * Answers without a length whose connection is reset together with their last bytes, which
 * the runtime reports as an orderly end. What arrived is a part, on new and on reused
 * connections, also while a long request is still being written. An answer whose
 * connection was closed in an orderly way is whole, even if it is reset afterwards.
 */
import { expect } from "chai";
import type { Socket } from "node:net";
import { runItemAttempt } from "../fleet/item_attempt.ts";
import { ItemProgress } from "../fleet/item_progress.ts";
import {
  createHttpAgent,
  type HttpAgent,
  readBody,
  sendHttp,
} from "../sys/http.ts";
import { SeededRandom } from "../sys/random.ts";
import {
  createBackendClient,
  createBackendRequest,
  createPermit,
} from "./backend_calls.ts";
import { createConfig, PlatformFleet } from "./platform_fleet.ts";
import { createAnswer, ScriptedServer } from "./scripted_server.ts";

const REPEATS = 16;

const MAX_BODY_BYTES = 1 << 20;

/** Size of a request that is still being written when its answer comes, in bytes. */
const UPLOAD_BYTES = 2 << 20;

const FIRST_HALF = "first half;";
const WHOLE = `${FIRST_HALF}second half`;

/** Size of a request that arrives whole, but isn't read at once, in bytes. */
const PARTLY_READ_BYTES = 150_000;

/** Time for which a part of an upload stays unread, in milliseconds. */
const UNREAD_MS = 5;

const REQUEST_TIMEOUT_MS = 5_000;

function createUnframedAnswer(
  id: string,
  body: string,
  headers: readonly string[] = [],
): string {
  return [
    "HTTP/1.1 200 OK",
    `X-Request-Id: ${id}`,
    "X-Server-Stamp: st",
    ...headers,
    "",
    body,
  ].join("\r\n");
}

/** Resets at once; the public method closes in an orderly way before. */
function reset(socket: Socket): void {
  const { _handle: handle } = socket as unknown as {
    _handle: { reset(done: () => void): void } | null;
  };
  handle?.reset(() => {});
  socket.destroy();
}

/** Keeps this process from reading until all that was sent has arrived. */
function block(): void {
  const endMs = performance.now() + UNREAD_MS;
  while (performance.now() < endMs);
}

/** Ways in which a server ends its connection after the bytes that it sends. */
const ENDS: Readonly<
  Record<string, { isWhole: boolean; end: (socket: Socket) => void }>
> = {
  "reset at once": { isWhole: false, end: reset },
  "reset some ms later": {
    isWhole: false,
    end: (socket) => setTimeout(() => reset(socket), UNREAD_MS),
  },
  "closed in an orderly way": { isWhole: true, end: (socket) => socket.end() },
  // The rest of an upload resets the connection after its end.
  "closed before the request is read": {
    isWhole: true,
    end: (socket) => {
      socket.pause();
      socket.end(() => socket.destroy());
    },
  },
};

describe("answers that are reset", () => {
  let server: ScriptedServer;
  let agent: HttpAgent;
  let count = 0;

  beforeEach(async () => {
    server = new ScriptedServer();
    await server.start();
    agent = createHttpAgent({ idleTimeoutMs: 10_000 });
  });

  afterEach(() => {
    agent.destroy();
    server.close();
  });

  const send = async (
    options: { body?: Buffer; usesNewConnection?: boolean } = {},
  ) => {
    count += 1;
    const requestId = `r${count}`;
    const { body = Buffer.alloc(0), usesNewConnection = false } = options;
    const response = await sendHttp({
      address: server.address,
      method: "POST",
      path: "/x",
      headers: {
        "X-Request-Id": requestId,
        "Content-Length": String(body.length),
      },
      body,
      requestId,
      agent,
      usesNewConnection,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const text = await readBody(response.body, MAX_BODY_BYTES)
      .then(String, () => "broken");
    return { text, isComplete: await response.isComplete() };
  };

  /** Number of answers that are taken for whole. */
  const countWhole = async (sendOne: () => ReturnType<typeof send>) => {
    let whole = 0;
    for (let index = 0; index < REPEATS; index += 1) {
      const result = await sendOne().catch(() => undefined);
      if (result?.isComplete === true) whole += 1;
    }
    return whole;
  };

  Object.entries(ENDS).forEach(([how, { isWhole, end }]) => {
    const sent = isWhole ? WHOLE : FIRST_HALF;
    const expected = isWhole ? REPEATS : 0;

    // Guards against MIXED: half of an answer that is passed on as a whole one.
    it(`are ${isWhole ? "whole" : "parts"} if ${how} on a new connection`, async () => {
      server.serve = (id, socket) => {
        socket.write(createUnframedAnswer(id, sent));
        end(socket);
        block();
      };
      const whole = await countWhole(() => send({ usesNewConnection: true }));
      expect(whole).equal(expected);
    });

    it(`are ${isWhole ? "whole" : "parts"} if ${how} on a reused connection`, async () => {
      let isFirst = true;
      server.serve = (id, socket) => {
        if (isFirst) socket.write(createAnswer(id));
        else {
          socket.write(createUnframedAnswer(id, sent));
          end(socket);
          block();
        }
        isFirst = !isFirst;
      };
      const whole = await countWhole(async () => {
        await send();
        return await send();
      });
      expect(whole).equal(expected);
      expect(server.connections.size).equal(REPEATS);
    });

    // Guards against MIXED: an early answer to a long upload that is cut by a reset.
    it(`are ${isWhole ? "whole" : "parts"} if ${how} during an upload`, async () => {
      server.serve = (id, socket) => {
        if (id === "") return;
        socket.write(createUnframedAnswer(id, sent));
        end(socket);
        block();
      };
      const body = Buffer.alloc(UPLOAD_BYTES);
      const whole = await countWhole(() => send({ body }));
      expect(whole).equal(expected);
    });
  });

  [PARTLY_READ_BYTES, UPLOAD_BYTES].forEach((bytes) =>
    it(`are parts if closed with a part of ${bytes} bytes unread`, async () => {
      server.serve = (id, socket) => {
        if (id === "") return;
        socket.pause();
        socket.write(createUnframedAnswer(id, FIRST_HALF));
        // The rest of the request arrives meanwhile.
        setTimeout(() => socket.destroy(), UNREAD_MS);
      };
      const body = Buffer.alloc(bytes);
      const whole = await countWhole(() => send({ body }));
      expect(whole).equal(0);
    })
  );

  // Guards against MIXED: the text of an item that lacks its last events, as streams that
  // were reset at once counted as ends without output.
  it("don't end the text of an item", async () => {
    const headers = ["Content-Type: text/event-stream"];
    let answered = 0;
    server.serve = (id, socket) => {
      answered += 1;
      const events = answered === 1 ? "id: 1\ndata: a\n\n" : "";
      socket.write(createUnframedAnswer(id, events, headers));
      reset(socket);
    };
    const client = createBackendClient(agent);
    const progress = new ItemProgress({ random: new SeededRandom(1) });
    for (let attempt = 0; attempt < REPEATS; attempt += 1) {
      const { kind } = await runItemAttempt({
        backendClient: client,
        request: createBackendRequest(),
        permit: createPermit(server.address),
        timeoutMs: REQUEST_TIMEOUT_MS,
        progress,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      expect(kind).equal("broken");
    }
    expect(answered).equal(REPEATS);
  });

  // Guards against ORDER: a stream that ends as complete before its last piece.
  (["/s/x", "/l/x", "/p/x", "/n/x"] as const).forEach((path) =>
    it(`don't reach callers of ${path} as whole`, async () => {
      const fleet = new PlatformFleet();
      try {
        await fleet.start({ servers: 1, gateways: 1 });
        const headers = ["Content-Type: text/event-stream"];
        server.serve = (id, socket) => {
          const part = path === "/s/x" || path === "/l/x"
            ? createUnframedAnswer(
              id,
              "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
              headers,
            )
            : createUnframedAnswer(id, FIRST_HALF);
          socket.write(part);
          reset(socket);
        };
        const [registered] = fleet.servers;
        if (registered === undefined) throw new Error("no server");
        await fleet.registerServer(registered, { Address: server.address });
        await fleet.putConfig(createConfig(2));
        let whole = 0;
        for (let index = 0; index < REPEATS; index += 1) {
          const { status, isComplete } = await fleet.sendRequest(
            `r${index}`,
            path,
          );
          if (status === 200 && isComplete) whole += 1;
        }
        expect(server.connections.size).greaterThan(REPEATS / 2);
        expect(whole).equal(0);
      } finally {
        await fleet.close();
      }
    })
  );
});
