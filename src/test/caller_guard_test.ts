/** Guards of HTTP servers against callers, in one process. */
import { expect } from "chai";
import { connect } from "node:net";
import { BoundedLog } from "../services/common/bounded_log.ts";
import { CallerFaults } from "../services/common/caller_faults.ts";
import { CallerBudget } from "../sys/caller_budget.ts";
import { CallerFault, CallerGuard } from "../sys/caller_guard.ts";
import { ManualClock } from "../sys/clock.ts";
import { ServingError } from "../sys/errors.ts";
import { sendWhole } from "../sys/framed_response.ts";
import {
  type HttpHandler,
  type HttpListener,
  listenHttp,
  readBody,
} from "../sys/http.ts";
import { MemoryLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { range } from "./fleet_helpers.ts";

const MB = 1 << 20;

describe("the guard of callers", () => {
  let listener: HttpListener;
  let faults: CallerFault[] = [];

  const listen = async (handler: HttpHandler, maxConnections = Infinity) => {
    faults = [];
    const budget = new CallerBudget({ totalBytes: 4 * MB, maxConnections });
    const guard = new CallerGuard(budget, (fault) => faults.push(fault));
    listener = await listenHttp("127.0.0.1:0", handler, { guard });
    return budget;
  };

  afterEach(() => listener?.close());

  /** Sends bytes and returns what arrives until the connection is closed. */
  const exchange = (bytes: string): Promise<string> => {
    const [host, port] = listener.address.split(":");
    return new Promise((resolve) => {
      const socket = connect(Number(port), host);
      let text = "";
      socket.on("data", (data) => {
        text += data;
      });
      socket.on("error", () => {});
      socket.on("close", () => resolve(text));
      socket.write(bytes);
    });
  };

  const reply: HttpHandler = (req, res) => {
    readBody(req, 8 * MB).then(
      (body) => sendWhole(res, 200, [], `${req.url} ${body.length};`),
      (error) => sendWhole(res, (error as ServingError).httpStatus, [], ""),
    );
  };

  const createRequest = (path: string, close = "") =>
    `POST ${path} HTTP/1.1\r\nHost: a\r\n${close}Content-Length: 1\r\n\r\nx`;

  // Guards against callers that have hundreds of requests served at once.
  it("serves one request of a connection at a time, in order", async () => {
    let open = 0;
    let most = 0;
    const budget = await listen((req, res) => {
      open += 1;
      most = Math.max(most, open);
      res.on("finish", () => {
        open -= 1;
      });
      setTimeout(() => reply(req, res), 5);
    });
    const paths = range(8).map((index) => `/${index}`);
    const text = await exchange(
      paths.map((path) => createRequest(path)).join("") +
        createRequest("/last", "Connection: close\r\n"),
    );
    expect(text.match(/\/\w+ 1;/g)).eql(
      [...paths, "/last"].map((path) => `${path} 1;`),
    );
    expect(most).equal(1);
    expect([budget.bytes, budget.connections]).eql([0, 0]);
  });

  it("closes a connection on which too many requests wait", async () => {
    let served = 0;
    await listen(() => {
      served += 1;
    });
    await exchange(range(100).map(() => createRequest("/")).join(""));
    expect(served).equal(1);
    expect(faults).eql([CallerFault.pipelining]);
  });

  // Guards against a process that ends for its memory: heads of requests that wait
  // were held without being counted.
  it("refuses pipelined requests without room for their heads", async () => {
    const budget = await listen((req, res) => {
      setTimeout(() => reply(req, res), 5);
    });
    const fields = "a:\r\n".repeat(1_500);
    const paths = range(9).map((index) => `/${index}`);
    const text = await exchange(
      paths.map((path) => createRequest(path, fields)).join(""),
    );
    const answers = text.match(/\/\w+ 1;|HTTP\/1.1 503/g) ?? [];
    expect(answers).eql([
      ...paths.slice(0, answers.length - 1).map((path) => `${path} 1;`),
      "HTTP/1.1 503",
    ]);
    expect(answers.length).within(2, paths.length - 1);
    expect(faults).eql([CallerFault.connectionMemory]);
    expect([budget.bytes, budget.connections]).eql([0, 0]);
  });

  // Guards against requests without end that are parsed and kept behind a refusal which
  // can't be sent yet.
  it("closes a connection that sends on after a refusal that waits", async () => {
    let served = 0;
    const budget = await listen(() => {
      served += 1;
    });
    const other = budget.openConnection("other");
    if (typeof other === "string") throw new Error(other);
    other.charge(4 * MB - 6_000);
    await exchange(range(100).map(() => createRequest("/")).join(""));
    expect(served).equal(1);
    expect(faults).eql([CallerFault.memory, CallerFault.pipelining]);
  });

  // Guards against a refusal that the caller can't read, or that is not a 503.
  it("refuses a body without room for it, and closes the connection", async () => {
    const budget = await listen(reply);
    const other = budget.openConnection("other");
    if (typeof other === "string") throw new Error(other);
    other.charge(3.4 * MB);
    const head = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${MB}\r\n\r\n`;
    const text = await exchange(head + "x".repeat(MB));
    expect(text).match(/^HTTP\/1.1 503 /).match(/connection: close/i);
    expect(faults).eql([CallerFault.memory]);
    const small = await exchange(createRequest("/", "Connection: close\r\n"));
    expect(small).match(/^HTTP\/1.1 200 /);
  });

  it("serves a body that alone is larger than a connection's part", async () => {
    await listen(reply);
    const length = 3 * MB;
    const text = await exchange(
      `POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n` +
        `Content-Length: ${length}\r\n\r\n${"x".repeat(length)}`,
    );
    expect(text).match(new RegExp(`/a ${length};$`));
  });

  it("refuses connections beyond the limit with 503", async () => {
    await listen(() => {}, 1);
    const [host, port] = listener.address.split(":");
    const first = connect(Number(port), host);
    first.on("error", () => {});
    await new Promise((resolve) => first.once("connect", resolve));
    expect(await exchange("")).match(/^HTTP\/1.1 503 .*\r\nRetry-After: 1/);
    expect(faults).eql([CallerFault.connections]);
  });
});

describe("lines about callers", () => {
  // Guards against a log that a flood of requests fills.
  it("are one for each cause and second, with a count", () => {
    const log = new MemoryLog();
    const clock = new ManualClock();
    const metrics = new Metrics({ prefix: "test" });
    const faults = new CallerFaults({ clock, log, metrics });
    range(100).forEach(() => faults.report(CallerFault.unread, "a"));
    faults.report(CallerFault.pieces, "b");
    clock.advance(1_000);
    clock.advance(1_000);
    expect(log.lines).eql([
      "level=warn event=caller_fault cause=unread count=1 address=a",
      "level=warn event=caller_fault cause=pieces count=1 address=b",
      "level=warn event=caller_fault cause=unread count=99 address=a",
    ]);
    expect(metrics.getSums()).include({ "caller_faults.unread": 100 });
  });

  it("about refusals are bounded for each code", () => {
    const log = new MemoryLog();
    const clock = new ManualClock();
    const bounded = new BoundedLog({ clock, log });
    range(60).forEach(() => bounded.info("refused", "a", {}));
    bounded.info("refused", "b", {});
    clock.advance(1_000);
    expect(log.lines).length(52);
    expect(log.lines.at(-1)).equal(
      "level=info event=refused_not_logged cause=a count=10",
    );
  });
});
