/**
 * Streams of completions with blocks that are no events, in any form of line ends, from
 * engines of the product's own entries.
 */
import { expect } from "chai";
import {
  type AttemptOutcome,
  EventLog,
  runEngineAttempt,
} from "../relay/mod.ts";
import { ScriptedServer } from "./scripted_server.ts";

const TIMEOUT_MS = 4_000;
const BYTE_ORDER_MARK = "\uFEFF";
const EVENTS = ["a", "b"].map((text) =>
  `data: ${JSON.stringify({ choices: [{ text }] })}\n\n`
);
const DONE = "data: [DONE]\n\n";
const PLAIN = [...EVENTS, DONE].join("");

/** Streams that end as whole, and the bytes that a caller gets. */
const SOUND_STREAMS = {
  "line feeds": PLAIN,
  "carriage returns": PLAIN.replaceAll("\n", "\r"),
  "carriage returns and line feeds": PLAIN.replaceAll("\n", "\r\n"),
  "comments": `: begin\n\n${EVENTS.join(": working\n\n")}${DONE}`,
  "a mark of the byte order": `${BYTE_ORDER_MARK}${PLAIN}`,
} as const;

/** Blocks that end an answer of an engine. */
const FOREIGN_BLOCKS = {
  "the head of another answer": "HTTP/1.1 500 F\nServer: x\n\n",
  "data that is no part of a completion": "data: failed\n\n",
} as const;

describe("blocks of a completion", () => {
  let server: ScriptedServer;

  beforeEach(async () => {
    server = new ScriptedServer();
    await server.start();
  });

  afterEach(() => server.close());

  /** Reads the answer `body` in pieces of `pieceBytes`. */
  const run = async (
    body: string,
    pieceBytes: number,
    isContinuation = false,
  ) => {
    server.serve = (_, socket) => {
      socket.write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
      );
      const bytes = Buffer.from(body);
      const write = (at: number) => {
        if (at >= bytes.length) socket.end();
        else {
          socket.write(
            bytes.subarray(at, at + pieceBytes),
            () => setImmediate(() => write(at + pieceBytes)),
          );
        }
      };
      write(0);
    };
    const log = new EventLog();
    let count = 0;
    const outcome: AttemptOutcome = await runEngineAttempt({
      address: server.address,
      path: "/v1/completions",
      body: { model: "m", prompt: "p" },
      progress: { text: "", tokens: 0 },
      requestId: "request",
      usesNewConnection: true,
      isContinuation,
      stallTimeoutMs: TIMEOUT_MS,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    }, {
      onEvents: (blocks, events) => {
        log.append(blocks);
        count += events;
        return true;
      },
      whenReady: () => Promise.resolve(),
    });
    const bytes = Buffer.from(log.getBytes()).toString("utf8");
    return { kind: outcome.kind, ...log.getProgress(), bytes, count };
  };

  // Guards against streams whose bytes are changed on the way, and against comments
  // that count as events.
  Object.entries(SOUND_STREAMS).forEach(([name, body]) =>
    it(`reach a caller byte for byte with ${name}`, async () => {
      for (const pieceBytes of [Infinity, 1]) {
        expect(await run(body, pieceBytes), `${pieceBytes} bytes at a time`)
          .deep.equal({
            kind: "done",
            text: "ab",
            tokens: 2,
            bytes: body,
            count: EVENTS.length + 1,
          });
      }
    })
  );

  // Guards against bytes of a spoiled answer in front of the next engine's output.
  Object.entries(FOREIGN_BLOCKS).forEach(([name, block]) =>
    it(`end an answer with ${name}`, async () => {
      for (const pieceBytes of [Infinity, 1]) {
        expect(
          await run(`${EVENTS[0]}${block}${PLAIN}`, pieceBytes),
          `${pieceBytes} bytes at a time`,
        ).deep.equal({
          kind: "broken",
          text: "a",
          tokens: 1,
          bytes: EVENTS[0],
          count: 1,
        });
      }
    })
  );

  // Guards against an event that is lost, because a mark inside a stream is taken for a
  // part of its first field.
  it("go on without a mark of the byte order", async () => {
    const body = SOUND_STREAMS["a mark of the byte order"];
    expect((await run(body, 1, true)).bytes).equal(PLAIN);
  });
});
