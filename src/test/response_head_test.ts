/**
 * What counts as an HTTP response, by the standard and not by the parser of whichever
 * runtime is there: versions of it take names of fields with blanks, other protocols and
 * statuses that don't exist. Such bytes reach no caller as an answer.
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
import { ResponseHeadCheck, tryFindHeadFault } from "../sys/response_head.ts";
import {
  createBackendClient,
  createBackendRequest,
  createPermit,
} from "./backend_calls.ts";
import { range } from "./fleet_helpers.ts";
import { createConfig, PlatformFleet } from "./platform_fleet.ts";
import { ScriptedServer } from "./scripted_server.ts";

const REQUEST_TIMEOUT_MS = 5_000;
const MAX_BODY_BYTES = 1 << 20;

const OK = "HTTP/1.1 200 OK";
const IDENTITY = ["X-Request-Id: r", "X-Server-Stamp: st"];
const LENGTH = "Content-Length: 2";

/** Returns the bytes of a response, as latin1 characters. */
function createResponse(
  statusLine: string,
  fields: readonly string[] = [LENGTH],
  body = "ok",
): string {
  return [statusLine, ...IDENTITY, ...fields, "", body].join("\r\n");
}

function createChunked(trailers: readonly string[] = []): string {
  const chunks = ["2", "ok", "0", ...trailers, "", ""].join("\r\n");
  return createResponse(OK, ["Transfer-Encoding: chunked"], chunks);
}

function createInterim(fields: readonly string[], status = "103 Early Hints") {
  return [`HTTP/1.1 ${status}`, ...fields, "", ""].join("\r\n");
}

/** Bytes that are a response with the body "ok". */
const RESPONSES: Readonly<Record<string, string>> = {
  "a length": createResponse(OK),
  "chunks": createChunked(),
  "trailers": createChunked(["X-Sum: a b\tc"]),
  "neither a length nor chunks": createResponse(OK, []),
  "no reason phrase": createResponse("HTTP/1.1 200 "),
  "no blank after the status": createResponse("HTTP/1.1 200"),
  "HTTP/1.0": createResponse("HTTP/1.0 200 OK"),
  "a tab and bytes above ASCII in the reason phrase": createResponse(
    "HTTP/1.1 200 O\tK\xe9",
  ),
  "a tab and bytes above ASCII in a value": createResponse(OK, [
    "X-Note: a\tb \xe9",
    LENGTH,
  ]),
  "an empty value": createResponse(OK, ["X-Note:", LENGTH]),
  "all characters of names": createResponse(OK, [
    "!#$%&'*+-.^_`|~09AZaz: a",
    LENGTH,
  ]),
  "interim responses": createInterim(["Link: a"]) +
    createInterim([], "100 Continue") + createInterim([], "102 Processing") +
    createResponse(OK),
  "status 599": createResponse("HTTP/1.1 599 Odd"),
};

/** Bytes that are no response. */
const NO_RESPONSES: Readonly<Record<string, string>> = {
  ...Object.fromEntries(
    ["000", "001", "099", "600", "999", "20", "2", "2000", "2a0", "-200"]
      .map((status) => [
        `status ${status}`,
        createResponse(`HTTP/1.1 ${status} OK`),
      ]),
  ),
  ...Object.fromEntries(
    ["HTTP/0.9", "HTTP/2.0", "HTTP/2", "http/1.1", "RTSP/1.0", "ICE/1.0", "ICY"]
      .map((protocol) => [
        `protocol ${protocol}`,
        createResponse(`${protocol} 200 OK`),
      ]),
  ),
  "status 101": createResponse("HTTP/1.1 101 Switching Protocols"),
  "status 101 that names a protocol": createResponse(
    "HTTP/1.1 101 Switching Protocols",
    ["Connection: Upgrade", "Upgrade: x", LENGTH],
  ),
  "status 101 before another response":
    createInterim([], "101 Switching Protocols") + createResponse(OK),
  "two blanks before the status": createResponse("HTTP/1.1  200 OK"),
  "a tab before the status": createResponse("HTTP/1.1\t200 OK"),
  "no blank before the reason phrase": createResponse("HTTP/1.1 200OK"),
  "an empty line first": `\r\n${createResponse(OK)}`,
  ...Object.fromEntries(
    ["\x00", "\x01", "\x7f", "\r"].flatMap((byte) => {
      const name = JSON.stringify(byte);
      return [
        [`${name} in the reason`, createResponse(`HTTP/1.1 200 O${byte}K`)],
        [`${name} in a value`, createResponse(OK, [`X: a${byte}b`, LENGTH])],
      ];
    }),
  ),
  ...Object.fromEntries(
    [" ", "\t", "\x00", "\x01", "\x7f", "\xe9", "(", "/", "@"].flatMap(
      (byte) => {
        const name = JSON.stringify(byte);
        const field = `X${byte}Note: a`;
        return [
          [`${name} in a name`, createResponse(OK, [field, LENGTH])],
          [`${name} after a name`, createResponse(OK, [`X${byte}: a`, LENGTH])],
          [
            `${name} in a name of an interim response`,
            createInterim([field]) + createResponse(OK),
          ],
          [`${name} in a name of a trailer`, createChunked([field])],
        ];
      },
    ),
  ),
  "a control byte in a value of an interim response":
    createInterim(["X: \x01"]) + createResponse(OK),
  "a control byte in a value of a trailer": createChunked(["X: \x01"]),
  "an empty name": createResponse(OK, [": a", LENGTH]),
  "a line without a colon": createResponse(OK, ["X-Note", LENGTH]),
  "a folded line": createResponse(OK, ["X-Note: a", " b", LENGTH]),
  "a line feed alone": createResponse(OK, ["X: a\nY: b", LENGTH]),
  "line feeds alone": createResponse(OK).replaceAll("\r\n", "\n"),
  "a length that is signed": createResponse(OK, ["Content-Length: +2"]),
  "two lengths": createResponse(OK, [LENGTH, "Content-Length: 3"]),
  "a length and chunks": createResponse(OK, [
    LENGTH,
    "Transfer-Encoding: chunked",
  ], "2\r\nok\r\n0\r\n\r\n"),
  "chunks in HTTP/1.0": createChunked().replace("1.1", "1.0"),
  ...Object.fromEntries(
    ["gzip", "identity", "gzip, chunked", "chunked, chunked", "xchunked"].map((
      coding,
    ) => [
      `transfer coding ${coding}`,
      createResponse(
        OK,
        [`Transfer-Encoding: ${coding}`],
        "2\r\nok\r\n0\r\n\r\n",
      ),
    ]),
  ),
};

describe("heads of responses", () => {
  let server: ScriptedServer;
  let agent: HttpAgent;

  beforeEach(async () => {
    server = new ScriptedServer();
    await server.start();
    agent = createHttpAgent({ idleTimeoutMs: 10_000 });
  });

  afterEach(() => {
    agent.destroy();
    server.close();
  });

  /** Sends a request; returns the body, or undefined if there is no answer. */
  const send = async () => {
    try {
      const response = await sendHttp({
        address: server.address,
        method: "POST",
        path: "/x",
        headers: { "X-Request-Id": "r", "Content-Length": "0" },
        agent,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const body = await readBody(response.body, MAX_BODY_BYTES);
      return await response.isComplete() ? body.toString() : undefined;
    } catch {
      return undefined;
    }
  };

  const answerWith = (bytes: string, pieceBytes = bytes.length) => {
    server.serve = (_, socket) => {
      const isFramed = /^(content-length|transfer-encoding):/im.test(bytes);
      for (let start = 0; start < bytes.length; start += pieceBytes) {
        socket.write(bytes.slice(start, start + pieceBytes), "latin1");
      }
      if (!isFramed) socket.end();
    };
  };

  Object.entries(RESPONSES).forEach(([what, bytes]) =>
    it(`are taken with ${what}`, async () => {
      answerWith(bytes);
      expect(await send()).equal("ok");
    })
  );

  // Guards against MIXED: bytes that are no answer reach a caller as one.
  Object.entries(NO_RESPONSES).forEach(([what, bytes]) =>
    it(`are refused with ${what}`, async () => {
      answerWith(bytes);
      expect(await send()).equal(undefined);
    })
  );

  it("are checked however they are divided", () => {
    const bytes = Buffer.from(
      RESPONSES["interim responses"] ?? "",
      "latin1",
    );
    for (let size = 1; size < bytes.length; size += 1) {
      const check = new ResponseHeadCheck();
      for (let start = 0; start < bytes.length; start += size) {
        expect(check.push(bytes.subarray(start, start + size))).equal(true);
      }
      expect(check.fault, `pieces of ${size} bytes`).equal(undefined);
    }
  });

  it("are refused if the parser ends them elsewhere", () => {
    const check = new ResponseHeadCheck();
    check.push(Buffer.from("HTTP/1.1 200 OK\nX: a\n\nok"));
    expect(check.fault).equal("the head of the response doesn't end");
  });

  it("name the line that is at fault", () => {
    expect(tryFindHeadFault("HTTP/1.1 000 x\r\n\r\n"))
      .equal('"HTTP/1.1 000 x" is no status line of HTTP/1');
    expect(tryFindHeadFault(`${OK}\r\nX: a\r\nX Y: b\r\n\r\n`))
      .equal('"X Y: b" is no header field');
  });

  it("are checked in linear time", () => {
    const fields = Array.from({ length: 1_000 }, () => `X:${" ".repeat(60)}`);
    const head = `${OK}\r\n${fields.join("\r\n")}\r\n\x01\r\n\r\n`;
    // A quadratic search would exceed the time limit of the test.
    const faults = range(100).map(() => tryFindHeadFault(head));
    expect(new Set(faults)).deep.equal(
      new Set(['"\\u0001" is no header field']),
    );
  });

  /** Bytes that versions of the runtime take, and those that all of them do. */
  const FAULTS = [
    "status 000",
    "status 101",
    '" " in a name',
    '" " in a name of an interim response',
    '" " in a name of a trailer',
    '"\\u0001" in the reason',
    "transfer coding xchunked",
  ];

  it("count for items as for online requests", async () => {
    const client = createBackendClient(agent);
    for (const what of FAULTS) {
      const bytes = NO_RESPONSES[what] ?? "";
      const events = "id: 1\ndata: a\n\n";
      answerWith(
        bytes.replace(LENGTH, `Content-Length: ${events.length}`)
          .replace("2\r\nok", `${events.length.toString(16)}\r\n${events}`)
          .replace(/ok$/, events)
          .replace(
            "X-Request-Id",
            "Content-Type: text/event-stream\r\nX-Request-Id",
          ),
      );
      const outcome = await runItemAttempt({
        backendClient: client,
        request: createBackendRequest(),
        permit: createPermit(server.address),
        timeoutMs: REQUEST_TIMEOUT_MS,
        progress: new ItemProgress({ random: new SeededRandom(1) }),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      expect(outcome.kind, what).equal("broken");
    }
  });

  it("reach no caller of a gateway, nor of one that passes requests on", async () => {
    const fleet = new PlatformFleet();
    try {
      await fleet.start({ servers: 1, gateways: 2 });
      const [registered] = fleet.servers;
      if (registered === undefined) throw new Error("no server");
      await fleet.registerServer(registered, { Address: server.address });
      await fleet.putConfig(createConfig(2));
      fleet.cutOffGateways.add(1);
      let bytes = "";
      let received = 0;
      server.serve = (id, socket: Socket) => {
        received += 1;
        socket.end(
          bytes.replace("X-Request-Id: r", `X-Request-Id: ${id}`),
          "latin1",
        );
      };
      let count = 0;
      const sendAll = async () => {
        const answers = [];
        for (const path of ["/p/x", "/n/x", "/s/x", "/l/x"]) {
          for (const gatewayIndex of [0, 1]) {
            count += 1;
            const id = `r${count}`;
            answers.push(await fleet.sendRequest(id, path, { gatewayIndex }));
          }
        }
        return answers;
      };
      bytes = RESPONSES["a length"] ?? "";
      await fleet.waitUntil("the gateways to serve", async () => {
        const answers = await sendAll();
        // The answer is no stream of events.
        return answers.slice(0, 4).every(({ status }) => status === 200);
      });
      for (const what of FAULTS) {
        bytes = NO_RESPONSES[what] ?? "";
        received = 0;
        (await sendAll()).forEach(({ status, isComplete, text }) =>
          expect(status === 200 && isComplete, `${what}: ${text}`).equal(false)
        );
        expect(received, what).greaterThan(0);
      }
    } finally {
      await fleet.close();
    }
  });
});
