/**
 * Processor time of a gateway's path for streamed responses beside that of a bare
 * forwarder on Node's `http`. Both run at the same time as processes of their own, on
 * the same requests to the same stand-in server, so that the ratio of the two does not
 * depend on the speed of the machine. The gateway's path is the one from the accepted
 * request to the caller's connection; it selects no server and reports no loads.
 */
import { fork } from "node:child_process";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";
import { BackendClient } from "../fleet/backend_client.ts";
import { CallerResponse } from "../fleet/caller_response.ts";
import type { BackendDialect } from "../fleet/dialects.ts";
import { EventForwarder } from "../fleet/response_forwarders.ts";
import type { PoolServer } from "../fleet/server_pool.ts";
import { createHttpAgent, listenHttp, readBody } from "../sys/http.ts";

/** Events of a stream, as the homework service sends on average. */
const EVENTS = 19;

const EVENT_INTERVAL_MS = 10;
const STREAMS = 1_500;
const WARM_UP_STREAMS = 300;
const CONCURRENT_STREAMS = 40;
const MAX_BODY_BYTES = 1 << 20;
const IDLE_TIMEOUT_MS = 15_000;
const REQUEST_BODY = Buffer.alloc(900, "x");

/** What one child process runs. */
const Part = { path: "path", bare: "bare" } as const;
type Part = typeof Part[keyof typeof Part];

/** Processor time of one stream, in milliseconds. */
export interface ForwardCosts {
  readonly pathMs: number;
  readonly bareMs: number;
}

/** The fields of a dialect that a response without any needs. */
const DIALECT = {
  createHeaders: () => [],
  readResponseMetadata: () => ({ requestId: "", isLeaving: false }),
} as unknown as BackendDialect;

function createPathServer(address: string) {
  const client = new BackendClient({
    dialect: DIALECT,
    agent: createHttpAgent({ idleTimeoutMs: IDLE_TIMEOUT_MS }),
    onLoad: () => {},
    onWrongServer: () => {},
    onLeaving: () => {},
    onLimit: () => {},
    onUnreachable: () => {},
    onActivity: () => {},
  });
  return async (req: http.IncomingMessage, res: http.ServerResponse) => {
    const response = new CallerResponse(res);
    const abort = new AbortController();
    const result = await client.send({
      request: {
        requestId: "",
        method: "POST",
        target: "/",
        headers: ["Host", "a.example"],
        body: await readBody(req, MAX_BODY_BYTES),
      },
      permit: {
        server: { id: "s", address } as PoolServer,
        startedMs: 0,
        release: () => {},
      },
      remainingMs: IDLE_TIMEOUT_MS,
      resumeAfter: undefined,
      useNewConnection: false,
      signal: abort.signal,
    });
    if (result.kind !== "response") throw new Error(result.kind);
    const forwarder = new EventForwarder(response, undefined);
    const forwarded = await forwarder.forward(result.response, abort.signal);
    if (forwarded.kind !== "done") throw new Error(forwarded.reason);
  };
}

function createBareServer(address: string) {
  const [host, port] = address.split(":");
  return (req: http.IncomingMessage, res: http.ServerResponse) => {
    const sent = http.request(
      {
        host,
        port,
        method: "POST",
        path: "/",
        headers: req.headers,
        agent: false,
      },
      (received) => {
        res.writeHead(received.statusCode ?? 0, received.headers);
        received.pipe(res);
      },
    );
    req.pipe(sent);
  };
}

/** Runs one part as a child process, until its parent ends it. */
export async function runForwardPart(part: string, address: string) {
  const handle = part === Part.path
    ? createPathServer(address)
    : createBareServer(address);
  const listener = await listenHttp("127.0.0.1:0", handle);
  process.on("message", () => process.send?.(process.cpuUsage()));
  process.send?.(listener.address);
}

function startServer(): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    req.resume();
    res.writeHead(200, { "content-type": "text/event-stream" });
    let sent = 0;
    const timer = setInterval(() => {
      sent += 1;
      res.write(`id: ${sent}\ndata: {"text":"token ${sent}"}\n\n`);
      if (sent < EVENTS) return;
      clearInterval(timer);
      res.end();
    }, EVENT_INTERVAL_MS);
  });
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server))
  );
}

function readStream(address: string): Promise<void> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const req = http.request({ host, port, method: "POST", agent: false });
    req.on("error", reject);
    req.on("response", (res) => res.resume().on("end", resolve));
    req.end(REQUEST_BODY);
  });
}

async function readStreams(address: string, count: number): Promise<void> {
  let left = count;
  const readSome = async () => {
    for (; left > 0;) {
      left -= 1;
      await readStream(address);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_STREAMS }, readSome));
}

/** Measures one part while the other one runs. */
async function measurePart(part: Part, server: string): Promise<number> {
  const main = fileURLToPath(
    new URL("./forward_bench_main.js", import.meta.url),
  );
  const child = fork(main, [part, server]);
  const receive = () =>
    new Promise<unknown>((resolve) => child.once("message", resolve));
  const readCpuMs = async () => {
    child.send("cpu");
    const { user, system } = await receive() as NodeJS.CpuUsage;
    return (user + system) / 1_000;
  };
  try {
    const address = String(await receive());
    await readStreams(address, WARM_UP_STREAMS);
    const beforeMs = await readCpuMs();
    await readStreams(address, STREAMS);
    return (await readCpuMs() - beforeMs) / STREAMS;
  } finally {
    child.kill();
  }
}

/** Measures both parts at the same time. */
export async function measureForwarding(): Promise<ForwardCosts> {
  const server = await startServer();
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const [pathMs = 0, bareMs = 0] = await Promise.all([
    measurePart(Part.path, address),
    measurePart(Part.bare, address),
  ]);
  server.closeAllConnections();
  server.close();
  return { pathMs, bareMs };
}
