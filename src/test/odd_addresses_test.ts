/**
 * Addresses and header values come from other writers. Guards against a text
 * that the runtime throws for ending the process, and against a request that was
 * never sent counting as one that may have run.
 */
import { createServer } from "node:net";
import { expect } from "chai";
import { PlatformBackendDialect } from "../../platform/backend_dialect.ts";
import { type AttemptOptions, BackendClient } from "../fleet/backend_client.ts";
import { Fleet, Verdict } from "../schema/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { ConnectProbe, ProbeResult } from "../sys/connect_probe.ts";
import { openDatagramSocket } from "../sys/datagrams.ts";
import { ServingError } from "../sys/errors.ts";
import { createHttpAgent, HttpSendError, sendHttp } from "../sys/http.ts";
import { createCredentials, RpcClient } from "../sys/rpc.ts";

const ODD_ADDRESSES = [
  "",
  "x",
  ":",
  ":1",
  "a:b:c",
  "127.0.0.1:",
  "127.0.0.1:0",
  "127.0.0.1:-1",
  "127.0.0.1:1.5",
  "127.0.0.1:1e9",
  "127.0.0.1:65536",
  "127.0.0.1:80800",
  "[::1]:99999",
  "\u0000:80",
];

const UNSENDABLE_REQUESTS = [
  { method: "G ET" },
  { path: "/a b" },
  { headers: ["a b", "x"] },
  { headers: ["x", "a\nb"] },
  { headers: ["x", "\u0100"] },
  { headers: ["x"] },
];

async function getSendError(change: object): Promise<unknown> {
  const request = { address: "127.0.0.1:1", method: "GET", path: "/" };
  try {
    return await sendHttp({ ...request, ...change });
  } catch (error) {
    return error;
  }
}

function expectNotRun(error: unknown, what: string): void {
  expect(error, what).instanceOf(HttpSendError);
  expect((error as HttpSendError).verdict, what).equal(Verdict.NOT_RUN);
}

describe("odd addresses", () => {
  // Guards against a request to port 80800 ending as one that may have run.
  it("fail a request as not run", async () => {
    for (const address of ODD_ADDRESSES) {
      expectNotRun(await getSendError({ address }), JSON.stringify(address));
    }
  });

  // Guards against a header that cannot be sent counting as a lost request.
  it("and odd texts of a request fail it as not run", async () => {
    for (const change of UNSENDABLE_REQUESTS) {
      expectNotRun(await getSendError(change), JSON.stringify(change));
    }
  });

  // Guards against gateways that end because a probe rejects, and against an
  // address without a port taking the process on port 80 for its own.
  it("are silent for a probe", async () => {
    const probe = new ConnectProbe(new SystemClock());
    for (const address of ODD_ADDRESSES.filter((text) => text !== ":1")) {
      expect(await probe.probe(address), JSON.stringify(address))
        .equal(ProbeResult.silent);
    }
  });

  // Guards against a load report to a bad address throwing in a timer.
  it("get no datagrams", async () => {
    const socket = await openDatagramSocket("127.0.0.1:0", () => {});
    ODD_ADDRESSES.forEach((address) => socket.send(Buffer.from("x"), address));
    socket.close();
  });

  // Guards against a replica that ends because a member has no address.
  it("fail remote calls", async () => {
    const credentials = createCredentials();
    for (const address of ODD_ADDRESSES.filter((text) => text !== ":1")) {
      const client = new RpcClient(address, credentials);
      const failed = await client
        .call(Fleet.method.report, {}, { timeoutMs: 1_000 })
        .then(() => undefined, (error) => error);
      expect(failed, JSON.stringify(address)).instanceOf(ServingError);
      client.close();
    }
  });

  // Guards against one request with a tab in its path making each server that
  // it is sent to count as unreachable.
  it("of a request are no fault of its server", async () => {
    const failed: string[] = [];
    const ignore = () => {};
    const client = new BackendClient({
      dialect: new PlatformBackendDialect(),
      agent: createHttpAgent({ idleTimeoutMs: 1_000 }),
      onLoad: ignore,
      onWrongServer: ignore,
      onLeaving: ignore,
      onLimit: ignore,
      onUnreachable: (server) => failed.push(server),
      onActivity: ignore,
    });
    const send = (target: string, address: string) =>
      client.send({
        request: {
          requestId: "r",
          method: "GET",
          target,
          headers: [],
          body: Buffer.alloc(0),
        },
        permit: { server: { id: "s", address } },
        remainingMs: 1_000,
        useNewConnection: false,
        signal: new AbortController().signal,
      } as unknown as AttemptOptions);
    expect((await send("/a\tb", "127.0.0.1:1")).kind).equal("lost");
    expect(failed).eql([]);
    expect((await send("/a", "127.0.0.1:80800")).kind).equal("notRun");
    expect(failed).eql(["s"]);
  });

  it("do not keep a proper address from being probed", async () => {
    const server = createServer();
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as { port: number };
    const probe = new ConnectProbe(new SystemClock());
    expect(await probe.probe(`127.0.0.1:${port}`))
      .equal(ProbeResult.connected);
    server.close();
  });
});
