/**
 * Streams with blocks that are no numbered events, from servers whose first answers break
 * off: data without a number, other fields, comments, all forms of line ends. Whatever
 * they send, a text or a caller's stream has each event once, from runs that were asked to
 * go on where they join.
 */
import { expect } from "chai";
import { createParser } from "eventsource-parser";
import type { Socket } from "node:net";
import { CallerResponse } from "../fleet/caller_response.ts";
import { runItemAttempt } from "../fleet/item_attempt.ts";
import { ItemProgress } from "../fleet/item_progress.ts";
import { EventForwarder } from "../fleet/response_forwarders.ts";
import type { ItemProgressRecord } from "../state/mod.ts";
import { createHttpAgent, type HttpAgent, listenHttp } from "../sys/http.ts";
import { SeededRandom } from "../sys/random.ts";
import {
  createBackendClient,
  createBackendRequest,
  createPermit,
} from "./backend_calls.ts";
import { range } from "./fleet_helpers.ts";
import { sendHttpRequest } from "./platform_fleet.ts";
import { type RecordedRun, tryFindJoinFault } from "./run_lines.ts";
import { ScriptedServer } from "./scripted_server.ts";

const EVENT_COUNT = 4;
const MAX_ATTEMPTS = 8;
const TIMEOUT_MS = 4_000;
const ITEM = "item";
const SEED = 1;

/** Answers that break off before all others are sound. */
const FAULTY_ANSWERS = 2;

const BYTE_ORDER_MARK = "\uFEFF";

/** How an answer ends. */
const End = {
  /** The connection is reset before the announced length. */
  reset: "reset",
  /** The connection is closed after a body without a length. */
  closed: "closed",
  /** The body has the announced length. */
  whole: "whole",
} as const;
type End = typeof End[keyof typeof End];

/** Returns the block of one event of a run. */
type CreateEvent = (event: number) => string;

/** What a server sends as a body, after the event that it was asked for. */
type CreateBody = (create: CreateEvent, after: number) => string;

const createEvents = (create: CreateEvent, after: number): string[] =>
  range(EVENT_COUNT).map((index) => index + 1)
    .filter((event) => event > after).map(create);

/** First answers that break off, or end as whole before the last event. */
const BROKEN_ANSWERS: readonly {
  readonly what: string;
  readonly body: CreateBody;
  /** All by default, which only an answer that shows its fault may have. */
  readonly ends?: readonly End[];
  /** The same for a caller, who can't ask twice whether a stream has ended. */
  readonly streamEnds?: readonly End[];
}[] = [
  { what: "data without an id", body: () => "data: failed\n\n" },
  {
    what: "data without an id and the start of an event",
    body: (create) => `data: failed\n\n${create(1).slice(0, 8)}`,
    ends: [End.reset, End.closed],
  },
  {
    what: "an error without an id",
    body: () => "event: error\ndata: failed\n\n",
  },
  {
    what: "an error after the first event",
    body: (create, after) =>
      `${create(after + 1)}event: error\ndata: failed\n\n`,
  },
  {
    what: "events around empty data without an id",
    body: (create) => `${create(1)}data:\n\n${create(2)}`,
    ends: [End.reset],
  },
  {
    what: "events around data without an id",
    body: (create) => `${create(1)}data: failed\n\n${create(2)}`,
  },
  {
    what: "an event and a comment",
    body: (create, after) => `${create(after + 1)}: working\n\n`,
    ends: [End.reset, End.closed],
    streamEnds: [End.reset],
  },
  {
    what: "a comment alone",
    body: () => ": working\n\n",
    ends: [End.reset, End.closed],
    streamEnds: [End.reset],
  },
  { what: "an id that is no number", body: () => "id: a\ndata: failed\n\n" },
  { what: "a later event than the first", body: (create) => create(2) },
  {
    what: "an event that begins with a mark of the byte order",
    body: (create, after) => `${BYTE_ORDER_MARK}${create(after + 1)}`,
    ends: [End.reset, End.closed],
    streamEnds: [End.reset],
  },
  {
    what: "an id without data",
    body: () => "id: 1\n\n",
    ends: [End.reset, End.closed],
    streamEnds: [End.reset],
  },
  {
    what: "the first event again",
    body: (create) => create(1),
    ends: [End.reset, End.closed],
    streamEnds: [End.reset],
  },
  {
    what: "a head of another answer",
    body: () => "HTTP/1.1 500 F\nServer: x\n\n",
  },
];

/** Streams that all servers write so. */
const SOUND_STREAMS: readonly {
  readonly what: string;
  readonly body: CreateBody;
}[] = [
  {
    what: "comments and empty data",
    body: (create, after) =>
      `: begin\n\n${
        createEvents(create, after).join("data:\n\n: working\n\n")
      }`,
  },
  {
    what: "a comment that does not end",
    body: (create, after) => `${createEvents(create, after).join("")}: bye\n`,
  },
  {
    what: "a line end more than it needs",
    body: (create, after) => `${createEvents(create, after).join("\n")}\n`,
  },
  {
    what: "carriage returns",
    body: (create, after) =>
      createEvents(create, after).join("").replaceAll("\n", "\r"),
  },
  {
    what: "carriage returns and line feeds",
    body: (create, after) =>
      createEvents(create, after).join("").replaceAll("\n", "\r\n"),
  },
  {
    what: "a mark of the byte order",
    body: (create, after) =>
      `${BYTE_ORDER_MARK}${createEvents(create, after).join("")}`,
  },
  {
    what: "other fields and the id last",
    body: (create, after) =>
      createEvents((event) => {
        const [id = "", data = ""] = create(event).trim().split("\n");
        return `retry: 10\nevent: token\n${data}\nid: 9\n${id}\n\n`;
      }, after).join(""),
  },
];

const createPlainEvents: CreateBody = (create, after) =>
  createEvents(create, after).join("");

describe("blocks of a stream", () => {
  let server: ScriptedServer;
  let agent: HttpAgent;
  let runs: RecordedRun[];
  /** Bodies that the server sent, and that the caller got. */
  let sent: string[];
  let received: string[];

  beforeEach(async () => {
    runs = [];
    sent = [];
    received = [];
    agent = createHttpAgent({ idleTimeoutMs: TIMEOUT_MS });
    server = new ScriptedServer();
    await server.start();
  });

  afterEach(() => {
    agent.destroy();
    server.close();
  });

  /** Answers with these bodies; `pieceBytes` are written at a time. */
  const serve = (
    getAnswer: (run: number) => { body: CreateBody; end: End },
    pieceBytes = Infinity,
  ) => {
    server.serve = (id, socket, bytes) => {
      const after = Number(/last-event-id: (\d+)/i.exec(bytes)?.[1] ?? 0);
      const run = runs.push({ id, after }) - 1;
      const { body, end } = getAnswer(run);
      const text = body(
        (event) => `id: ${event}\ndata: ${run}-${event}\n\n`,
        after,
      );
      sent.push(text);
      const length = Buffer.byteLength(text) + (end === End.reset ? 100 : 0);
      const head = [
        "HTTP/1.1 200 OK",
        `X-Request-Id: ${id}`,
        "X-Server-Stamp: st",
        "Content-Type: text/event-stream",
        ...end === End.closed ? [] : [`Content-Length: ${length}`],
      ].join("\r\n");
      socket.write(`${head}\r\n\r\n`);
      writePieces(socket, Buffer.from(text), pieceBytes, () => {
        if (end === End.reset) socket.resetAndDestroy();
        if (end === End.closed) socket.end();
      });
    };
  };

  const breakOff = (body: CreateBody, end: End, pieceBytes?: number) =>
    serve(
      (run) =>
        run < FAULTY_ANSWERS
          ? { body, end }
          : { body: createPlainEvents, end: End.whole },
      pieceBytes,
    );

  const createAttempt = () => ({
    backendClient: createBackendClient(agent),
    request: createBackendRequest(ITEM),
    permit: createPermit(server.address),
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });

  /** Restores the output of an item as another host does. */
  const handOver = (progress: ItemProgress): ItemProgress => {
    const random = new SeededRandom(SEED);
    const output = progress.tryGetUnrecorded(undefined);
    if (output === undefined) return new ItemProgress({ random });
    const recorded: ItemProgressRecord = {
      last: output.last,
      parts: [Buffer.from(output.text)],
      chain: progress.chain,
      softwareVersion: "",
    };
    return new ItemProgress({ random, recorded });
  };

  /** Runs an item until it is done; returns the lines of its text. */
  const runItem = async ({ changesHosts }: { changesHosts: boolean }) => {
    let progress = new ItemProgress({ random: new SeededRandom(SEED) });
    for (const _ of range(MAX_ATTEMPTS)) {
      const { kind } = await runItemAttempt({
        ...createAttempt(),
        timeoutMs: TIMEOUT_MS,
        progress,
      });
      if (kind === "done") return progress.text.split("\n");
      if (changesHosts) progress = handOver(progress);
    }
    throw new Error(`not done after ${MAX_ATTEMPTS} attempts`);
  };

  /** Serves a caller that takes its stream up again; returns what it got. */
  const runStream = async ({ takesUp }: { takesUp: boolean }) => {
    const events: { id: string | undefined; data: string }[] = [];
    let after: number | undefined;
    const gateway = await listenHttp("127.0.0.1:0", async (_, res) => {
      const caller = new CallerResponse(res);
      const forwarder = new EventForwarder(caller, after);
      const { backendClient, ...attempt } = createAttempt();
      for (const _ of range(takesUp ? 1 : MAX_ATTEMPTS)) {
        const result = await backendClient.send({
          ...attempt,
          remainingMs: TIMEOUT_MS,
          resumeAfter: forwarder.resumeAfter,
          useNewConnection: false,
        });
        if (result.kind !== "response") continue;
        const { kind } = await forwarder.forward(
          result.response,
          attempt.signal,
        );
        if (kind === "done") return;
        if (!forwarder.canContinue) break;
      }
      caller.abort();
    });
    const parser = createParser({
      onEvent: ({ id, data }) => {
        events.push({ id, data });
        if (id !== undefined) after = Number(id);
      },
    });
    try {
      for (const _ of range(MAX_ATTEMPTS)) {
        const { text, isComplete } = await sendHttpRequest(
          gateway.address,
          "GET",
          "/",
        );
        received.push(text);
        parser.feed(normalizeStream(text));
        parser.reset();
        if (isComplete) return events;
        if (!takesUp) break;
      }
      return undefined;
    } finally {
      gateway.close();
    }
  };

  /** Why a text isn't whole; undefined if it is. */
  const tryFindTextFault = async (changesHosts: boolean) => {
    const lines = await runItem({ changesHosts });
    return tryFindJoinFault(lines, { id: ITEM, runs, eventCount: EVENT_COUNT });
  };

  /** Why a caller's stream isn't whole; undefined if it is. */
  const tryFindStreamFault = async (takesUp: boolean) => {
    const all = await runStream({ takesUp });
    if (all === undefined) return "broken off";
    const events = all.filter(({ data }) => data !== "");
    if (events.some(({ id }, index) => id !== String(index + 1))) {
      return `events ${events.map(({ id }) => id).join()}`;
    }
    return tryFindJoinFault(events.map(({ data }) => data), {
      id: ITEM,
      runs,
      eventCount: EVENT_COUNT,
    });
  };

  /** Checks each way to end, to go on and to divide an answer. */
  const checkAll = async (
    ends: readonly End[],
    body: CreateBody,
    tryFindFault: (goesOn: boolean) => Promise<string | undefined>,
  ) => {
    const faults: string[] = [];
    for (const end of ends) {
      for (const goesOn of [false, true]) {
        for (const pieceBytes of [Infinity, 1]) {
          runs.length = 0;
          breakOff(body, end, pieceBytes);
          const fault = await tryFindFault(goesOn).catch(String);
          if (fault === undefined) continue;
          faults.push(`${end}, ${goesOn}, ${pieceBytes}: ${fault}`);
        }
      }
    }
    expect(faults).deep.equal([]);
  };

  // Guards against ORDER: a text or a stream that goes on with a run that was not asked to.
  BROKEN_ANSWERS.forEach(({ what, body, ends, streamEnds }) => {
    const all = ends ?? Object.values(End);
    it(`leave a text whole after ${what}`, () =>
      checkAll(all, body, tryFindTextFault));

    it(`leave a caller's stream whole after ${what}`, () =>
      checkAll(streamEnds ?? all, body, tryFindStreamFault));
  });

  // Guards against streams that never end for what the format allows.
  SOUND_STREAMS.forEach(({ what, body }) => {
    [Infinity, 1].forEach((pieceBytes) =>
      it(`are read with ${what}, ${pieceBytes} bytes at a time`, async () => {
        serve(() => ({ body, end: End.whole }), pieceBytes);
        expect(await tryFindTextFault(false)).equal(undefined);
        expect(await tryFindStreamFault(false)).equal(undefined);
        expect(received).deep.equal(sent.slice(-1));
      })
    );
  });
});

/**
 * Returns a stream as its parser expects it, which takes no mark of the byte order and
 * waits for what follows a carriage return.
 */
function normalizeStream(text: string): string {
  return text.replace(BYTE_ORDER_MARK, "").replaceAll(/\r\n?/g, "\n");
}

/** Writes bytes in pieces, each in a turn of the event loop of its own. */
function writePieces(
  socket: Socket,
  bytes: Buffer,
  pieceBytes: number,
  done: () => void,
): void {
  if (bytes.length <= pieceBytes) {
    socket.write(bytes, done);
    return;
  }
  socket.write(
    bytes.subarray(0, pieceBytes),
    () =>
      setImmediate(() =>
        writePieces(socket, bytes.subarray(pieceBytes), pieceBytes, done)
      ),
  );
}
