/**
 * Single callers that use the limits in full, at a gateway that is a process of its
 * own with the memory of the smallest one. Guards against bounds on misbehaving
 * callers that refuse or cut legal ones.
 */
import http from "node:http";
import { connect } from "node:net";
import { once } from "node:events";
import { expect } from "chai";
import type { TestProcess } from "./daemon_process.ts";
import { range } from "./fleet_helpers.ts";
import { GatewayProcess } from "./gateway_process.ts";
import { sendHttpRequest } from "./platform_fleet.ts";
import { readNodeOptions } from "./platform_process.ts";

/** Limit of a body, as in the deployments. */
const BODY_BYTES = 4 << 20;

const ITEMS = 200;

/** Bytes of an item's body, so that the job stays below the limit. */
const ITEM_BYTES = 15_000;

/** Time that a head takes, in milliseconds: callers may take 3 s. */
const HEAD_MS = 2_900;

/** Four fifths of the idle limit of the configuration, in milliseconds. */
const IDLE_MS = 12_000;

/** Size of heads, of which the largest legal one has 16,384 bytes. */
const HEAD_BYTES = 16_000;

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe("callers within the limits", () => {
  const gateway = new GatewayProcess();
  let process: TestProcess;

  before(async () => {
    await gateway.open({
      servers: 1,
      graceMs: 3_000,
      nodeOptions: await readNodeOptions("gateway"),
      settings: { memory_mb: 178, max_files: 400 },
      maxBodyBytes: BODY_BYTES,
    });
    process = await gateway.start();
  });

  after(async () => {
    process.kill("SIGKILL");
    await process.ended;
    await gateway.close();
  });

  const send = (
    target: string,
    options: {
      body?: string;
      agent?: http.Agent;
      headers?: Record<string, string>;
    },
  ) =>
    sendHttpRequest(gateway.address, "POST", target, {
      ...options,
      headers: {
        "Host": "a.example",
        "X-Request-Id": gateway.createId(),
        "X-Deadline-Ms": "20000",
        ...options.headers,
      },
    });

  it("may send a body of the largest size", async () => {
    const body = "x".repeat(BODY_BYTES);
    expect((await send("/p/", { body })).status).equal(200);
  });

  it("may send a body of the largest size in chunks", async () => {
    const body = "x".repeat(BODY_BYTES);
    const headers = { "Transfer-Encoding": "chunked" };
    expect((await send("/p/", { body, headers })).status).equal(200);
  });

  it("may submit a job of the largest size", async () => {
    const body = JSON.stringify({
      Items: range(ITEMS).map((index) => ({
        Id: `i${index}`,
        Path: "/p/x",
        Headers: {},
        Body: Buffer.alloc(ITEM_BYTES, "x").toString("base64"),
        Tokens: 1,
      })),
    });
    expect(body.length).within(BODY_BYTES * 0.9, BODY_BYTES);
    expect((await send("/b/", { body })).status).equal(202);
  });

  it("may send large headers", async () => {
    const headers = { "X-Large": "x".repeat(HEAD_BYTES) };
    expect((await send("/p/", { body: "x", headers })).status).equal(200);
  });

  it("may use a connection again that was idle", async () => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let connections = 0;
    const createConnection = agent.createConnection.bind(agent);
    agent.createConnection = (...args) => {
      connections += 1;
      return createConnection(...args);
    };
    expect((await send("/p/", { body: "x", agent })).status).equal(200);
    await delay(IDLE_MS);
    expect((await send("/p/", { body: "x", agent })).status).equal(200);
    expect(connections).equal(1);
    agent.destroy();
  });

  it("may leave a new connection idle and send a head slowly", async () => {
    const [host, port] = gateway.address.split(":");
    const socket = connect(Number(port), host);
    let text = "";
    socket.on("data", (bytes) => {
      text += bytes;
    });
    await once(socket, "connect");
    await delay(IDLE_MS);
    const head = `POST /p/ HTTP/1.1\r\nHost: a.example\r\n` +
      `X-Request-Id: ${gateway.createId()}\r\nX-Deadline-Ms: 20000\r\n` +
      `Connection: close\r\nContent-Length: 1\r\n\r\n`;
    socket.write(head.slice(0, -20));
    await delay(HEAD_MS);
    socket.write(`${head.slice(-20)}x`);
    await once(socket, "close");
    expect(text.slice(0, 12)).equal("HTTP/1.1 200");
  });
});
