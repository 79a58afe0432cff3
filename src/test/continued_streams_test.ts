/**
 * Streams that began, broke off and are taken up by a server that answers with
 * something else than the rest of the stream: an error, a page, no event at all.
 */
import { expect } from "chai";
import {
  FleetName,
  getCompletion,
  streamCompletion,
  waitUntil,
} from "../bench/mod.ts";
import { CallerResponse } from "../fleet/caller_response.ts";
import { runItemAttempt } from "../fleet/item_attempt.ts";
import { ItemProgress } from "../fleet/item_progress.ts";
import { EventForwarder } from "../fleet/response_forwarders.ts";
import { createHttpAgent, type HttpAgent, listenHttp } from "../sys/http.ts";
import { SeededRandom } from "../sys/random.ts";
import {
  createBackendClient,
  createBackendRequest,
  createPermit,
} from "./backend_calls.ts";
import { range, withFleet } from "./fleet_helpers.ts";
import { PlatformFleet, sendHttpRequest } from "./platform_fleet.ts";
import { getCompleteText, getEventData } from "./platform_server.ts";
import { createResponse, ScriptedServer } from "./scripted_server.ts";

const IDLE_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 5_000;

const ID = "X-Request-Id: r";
const STAMP = "X-Server-Stamp: st";
const EVENTS_TYPE = "Content-Type: text/event-stream";
const BEGUN = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const REST = "id: 3\ndata: c\n\n";

/** A stream that breaks off inside its third event. */
const BROKEN_STREAM = `HTTP/1.1 200 OK\r\n${ID}\r\n${STAMP}\r\n` +
  `${EVENTS_TYPE}\r\nContent-Length: ${BEGUN.length + REST.length}\r\n\r\n` +
  `${BEGUN}id: 3\nda`;

const create200 = (headers: readonly string[], body = "") =>
  createResponse("200 OK", [ID, STAMP, ...headers], body);

const ERROR_TEXT = "failed\n\n";

/** Answers that are not the rest of the stream. */
const OTHER_ANSWERS = [
  { what: "500", bytes: createResponse("500 F", [ID, STAMP], ERROR_TEXT) },
  { what: "404", bytes: createResponse("404 N", [ID, STAMP], ERROR_TEXT) },
  { what: "422", bytes: createResponse("422 N", [ID, STAMP], ERROR_TEXT) },
  {
    what: "302",
    bytes: createResponse("302 M", [ID, STAMP, "Location: /"], ERROR_TEXT),
  },
  { what: "204", bytes: `HTTP/1.1 204 N\r\n${ID}\r\n${STAMP}\r\n\r\n` },
  {
    what: "206",
    bytes: createResponse("206 P", [ID, STAMP, EVENTS_TYPE], REST),
  },
  { what: "503", bytes: createResponse("503 B", [ID], ERROR_TEXT) },
  {
    what: "200 without a proof",
    bytes: createResponse("200 OK", [ID, EVENTS_TYPE], REST),
  },
  {
    what: "200 without an id",
    bytes: createResponse("200 OK", [STAMP, EVENTS_TYPE], REST),
  },
  {
    what: "a page",
    bytes: create200(["Content-Type: text/html"], "<p>failed</p>\n\n"),
  },
  {
    what: "a page without an empty line",
    bytes: create200(["Content-Type: text/html"], "<p>failed</p>"),
  },
  {
    what: "a JSON error",
    bytes: create200(["Content-Type: application/json"], '{"error":1}\n\n'),
  },
  {
    what: "events that are encoded",
    bytes: create200([EVENTS_TYPE, "Content-Encoding: gzip"], REST),
  },
  {
    what: "an event without an id",
    bytes: create200([EVENTS_TYPE], "event: error\ndata: failed\n\n"),
  },
  {
    what: "an event without an id after others",
    bytes: create200([EVENTS_TYPE], `${REST}data: failed\n\n`),
    begun: "",
  },
  {
    what: "the head of an error",
    bytes: create200([EVENTS_TYPE], "HTTP/1.1 500 F\nServer: x\n\nfailed\n\n"),
  },
  { what: "no type and a text", bytes: create200([], ERROR_TEXT) },
  { what: "no event", bytes: create200([EVENTS_TYPE]) },
  { what: "no type and no event", bytes: create200([]) },
  {
    what: "only comments",
    bytes: create200([EVENTS_TYPE], ": nothing\n\n"),
    begun: ": nothing\n\n",
  },
  {
    what: "no event and the end of its connection",
    bytes: `HTTP/1.1 200 OK\r\n${ID}\r\n${STAMP}\r\n${EVENTS_TYPE}\r\n\r\n`,
    closes: true,
  },
];

describe("a stream that began and broke off", () => {
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

  /** Breaks the first stream off, and gives these answers to the next requests. */
  const breakOff = (
    answers: readonly { bytes: string; closes?: boolean }[],
  ) => {
    const left = [...answers];
    let isFirst = true;
    server.serve = (_, socket) => {
      if (isFirst) {
        isFirst = false;
        socket.write(BROKEN_STREAM, () => socket.resetAndDestroy());
        return;
      }
      const answer = left.shift();
      socket.write(answer?.bytes ?? "");
      if (answer?.closes === true) socket.end();
    };
  };

  const createAttempt = () => ({
    backendClient: createBackendClient(agent),
    request: createBackendRequest(),
    permit: createPermit(server.address),
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
  });

  /** Forwards the answers to these attempts to a caller, who gets one stream. */
  const forward = async (
    attempts: number,
    resumeAfter: number | undefined = undefined,
  ) => {
    const gateway = await listenHttp("127.0.0.1:0", async (_, res) => {
      const caller = new CallerResponse(res);
      const forwarder = new EventForwarder(caller, resumeAfter);
      const { backendClient, ...attempt } = createAttempt();
      for (const _ of range(attempts)) {
        const result = await backendClient.send({
          ...attempt,
          remainingMs: REQUEST_TIMEOUT_MS,
          resumeAfter: forwarder.resumeAfter,
          useNewConnection: false,
        });
        if (result.kind !== "response") continue;
        const { kind } = await forwarder.forward(
          result.response,
          attempt.signal,
        );
        if (kind === "done") return;
      }
      caller.abort();
    });
    const received = await sendHttpRequest(gateway.address, "GET", "/");
    gateway.close();
    return { text: received.text, isComplete: received.isComplete };
  };

  // Guards against an error in the middle of a caller's stream, and against a stream
  // that ends as whole although its end is missing.
  OTHER_ANSWERS.forEach((answer) => {
    it(`is broken off if it is continued with ${answer.what}`, async () => {
      breakOff([answer]);
      const { text, isComplete } = await forward(2);
      const begun = `${BEGUN}${answer.begun ?? ""}`;
      expect({ text, isComplete })
        .deep.equal({ text: begun, isComplete: false });
    });
  });

  // Guards against the same in an item's text.
  OTHER_ANSWERS.forEach((answer) => {
    it(`leaves its item open if it is continued with ${answer.what}`, async () => {
      breakOff([answer]);
      const progress = new ItemProgress({ random: new SeededRandom(1) });
      const run = () =>
        runItemAttempt({
          ...createAttempt(),
          timeoutMs: REQUEST_TIMEOUT_MS,
          progress,
        });
      expect((await run()).kind).equal("broken");
      expect((await run()).kind).not.equal("done");
      expect(progress.text).not.include("failed");
    });
  });

  // Guards against a stream whose framing is that of the part that its first server
  // announced: a longer rest would be the next answer on the caller's connection.
  it("goes on with the rest, after other answers too", async () => {
    breakOff([{ bytes: create200([EVENTS_TYPE], REST) }]);
    expect(await forward(2))
      .deep.equal({ text: `${BEGUN}${REST}`, isComplete: true });
    breakOff([
      { bytes: create200(["Content-Type: text/html"], "<p>failed</p>\n\n") },
      { bytes: create200([EVENTS_TYPE], `: note\n\n${REST}`) },
    ]);
    expect(await forward(3))
      .deep.equal({ text: `${BEGUN}: note\n\n${REST}`, isComplete: true });
  });

  it("has ended if two answers say that nothing follows", async () => {
    const nothing = { bytes: create200([EVENTS_TYPE]) };
    breakOff([nothing, nothing]);
    expect(await forward(3)).deep.equal({ text: BEGUN, isComplete: true });
  });

  // Guards against the same over two attempts of the caller itself.
  it("hasn't ended for a caller that takes it up by one empty answer", async () => {
    const nothing = createResponse("200 OK", [ID, STAMP, EVENTS_TYPE]);
    server.serve = (_, socket) => socket.write(nothing);
    expect(await forward(1, 2)).include({ isComplete: false });
    expect(await forward(2, 2)).deep.equal({ text: "", isComplete: true });
  });
});

describe("a stream of a fleet that began and broke off", () => {
  const fleet = new PlatformFleet();

  before(async () => {
    await fleet.start({ servers: 3, gateways: 1 });
  });

  after(() => fleet.close());

  const begun = (id: string) => `id: 1\ndata: ${getEventData(id, 1)}\n\n`;

  // Guards against ORDER and MIXED at the routes of streams.
  (["page", "empty", "fail", "impossible"] as const).forEach((behaviour) => {
    ["/s/", "/l/"].forEach((target) =>
      it(`is broken off on ${target} if it is answered with ${behaviour}`, async () => {
        const id = `broken${target}${behaviour}`;
        fleet.behaviours.splice(0, Infinity, "break", behaviour);
        const { text, isComplete } = await fleet.sendRequest(id, target);
        fleet.behaviours.length = 0;
        expect(text.startsWith(begun(id)), text).equal(true);
        expect(text).not.include("failed");
        expect(isComplete).equal(false);
      })
    );

    if (behaviour === "impossible") return;
    it(`ends no item with ${behaviour}`, async () => {
      const job = `job-${behaviour}`;
      const item = `item-${behaviour}`;
      fleet.behaviours.splice(0, Infinity, "break", behaviour);
      const { status } = await fleet.sendRequest(job, "/b/", {
        body: JSON.stringify({
          Items: [{
            Id: item,
            Path: "/b/1",
            Headers: {},
            Body: Buffer.from("x").toString("base64"),
            Tokens: 10,
          }],
        }),
      });
      expect(status).equal(202);
      const read = async () => {
        const page = await fleet.sendJobRequest(
          "GET",
          `/-/lots/${job}?After=0`,
        );
        return page.status === 200 ? JSON.parse(page.text).Results : [];
      };
      await fleet.waitUntil(
        "the item to be done",
        async () => (await read()).length === 1,
      );
      expect(await read()).deep.equal([
        { Id: item, State: "done", Text: getCompleteText(item) },
      ]);
    });
  });
});

describe("a completion that began and broke off", () => {
  const PROMPT = "a long answer";
  const TOKENS = 60;
  const MAX_ATTEMPTS = 5;
  const answers = [
    { status: 500, type: "text/html", body: "<p>failed</p>\n\n" },
    { status: 404, type: "application/json", body: '{"error":"failed"}' },
    { status: 200, type: "text/html", body: "<p>failed</p>\n\n" },
    { status: 200, type: "application/json", body: '{"error":"failed"}\n\n' },
    { status: 200, type: "text/event-stream", body: "" },
  ];

  /** Breaks a stream off; `count` attempts to continue it get this answer. */
  const breakOff = (
    answer: typeof answers[number],
    count: number,
    check: (
      received: { text: string; isDone: boolean; error: string },
    ) => void,
  ) =>
    withFleet(
      { engines: 2, engine: { baseStepMs: 3, announceMs: 200 } },
      async (fleet) => {
        fleet.engines.forEach((engine) =>
          engine.resumeAnswers.push(...range(count).map(() => answer))
        );
        const received = streamCompletion(fleet.getEntryAddresses()[0] ?? "", {
          model: FleetName.model,
          prompt: PROMPT,
          max_tokens: TOKENS,
        });
        await waitUntil(
          fleet.clock,
          "tokens",
          () => fleet.engines.some((engine) => engine.tokenCount > 10),
        );
        fleet.engines.forEach((engine) => engine.breakStreams());
        check(await received);
      },
    );

  // Guards against a stream that ends as if whole after an engine's error.
  answers.forEach((answer) => {
    const what = JSON.stringify(answer);
    it(`ends with an error if engines answer ${what}`, () =>
      breakOff(answer, MAX_ATTEMPTS, ({ isDone, error, text }) => {
        expect(isDone).equal(false);
        expect(error).include("PT");
        expect(text).not.include("failed");
      }));

    it(`goes on after one engine answered ${what}`, () =>
      breakOff(answer, 1, ({ text, isDone }) => {
        const expected = getCompletion(JSON.stringify(PROMPT), TOKENS);
        expect({ text, isDone }).deep.equal({ text: expected, isDone: true });
      }));
  });
});
