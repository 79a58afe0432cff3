/**
 * Servers that name a limit in their responses: all hosts together send them no
 * more requests than it allows, and use what it allows.
 */
import { expect } from "chai";
import { PlatformFleet } from "./platform_fleet.ts";
import type { PlatformServer } from "./platform_server.ts";

/** Time over which the platform counts requests, in milliseconds. */
const WINDOW_MS = 4_000;

/** Time in which a host that was told of a limit must keep it. */
const REACTION_MS = 500;

/** Requests that a server with a limit may get in the window, by the platform. */
function getAllowedCount(limitPerS: number): number {
  return 1.5 * limitPerS * WINDOW_MS / 1_000 + 5;
}

/** Most requests that a server got in any window that began after a time. */
function getMaxCount(server: PlatformServer, fromMs: number): number {
  const times = server.receivedRequests.map(({ receivedMs }) => receivedMs)
    .filter((ms) => ms >= fromMs);
  return Math.max(
    0,
    ...times.map((start) =>
      times.filter((ms) => ms >= start && ms < start + WINDOW_MS).length
    ),
  );
}

describe("servers that name a limit in their responses", () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    fleet = new PlatformFleet();
    await fleet.start({ servers: 0, gateways: 3 });
  });

  afterEach(() => fleet.close());

  const addServer = async (id: string, limitPerS: number | undefined) => {
    const server = await fleet.addServer(id);
    server.limitPerS = limitPerS;
    server.eventIntervalMs = 20;
    return server;
  };

  let sentCount = 0;

  /** Sends one request to each gateway each `intervalMs` for some time. */
  const sendFor = async (ms: number, intervalMs: number, target: string) => {
    const responses: ReturnType<PlatformFleet["sendRequest"]>[] = [];
    const endMs = performance.now() + ms;
    while (performance.now() < endMs) {
      fleet.gateways.forEach((_, gatewayIndex) => {
        sentCount += 1;
        responses.push(
          fleet.sendRequest(`load-${sentCount}`, target, { gatewayIndex }),
        );
      });
      await fleet.clock.delay(intervalMs);
    }
    return Promise.all(responses);
  };

  const submitJob = (id: string, itemCount: number) =>
    fleet.sendRequest(id, "/b/", {
      body: JSON.stringify({
        Items: Array.from({ length: itemCount }, (_, index) => ({
          Id: `${id}-${index}`,
          Path: `/b/${index}`,
          Headers: { "X-Model": "m" },
          Body: "",
          Tokens: 1,
        })),
      }),
    });

  // Guards against hosts that each keep the limit for themselves, or not at all.
  ["/p/x", "/n/x", "/s/x"].forEach((target) => {
    it(`get no more requests to ${target} than they take from all gateways`, async () => {
      const limited = await addServer("i-limited", 2);
      await addServer("i-other", undefined);
      await sendFor(300, 30, target);
      const fromMs = performance.now() + REACTION_MS;
      await sendFor(WINDOW_MS + 1_000, 30, target);
      expect(getMaxCount(limited, fromMs)).at.most(getAllowedCount(2));
    });
  });

  // Guards against runners that count each attempt at an item for themselves.
  it("get no more items of jobs than they take", async () => {
    const limited = await addServer("i-limited", 2);
    await addServer("i-other", undefined);
    await sendFor(300, 30, "/p/x");
    const fromMs = performance.now() + REACTION_MS;
    expect((await submitJob("job-1", 200)).status).equal(202);
    await sendFor(WINDOW_MS + 1_000, 100, "/p/x");
    expect(getMaxCount(limited, fromMs)).at.most(getAllowedCount(2));
  });

  // Guards against callers who wait for a server that takes nothing more.
  it("leave an early and true refusal to callers if all servers name one", async () => {
    const servers = await Promise.all([
      addServer("i-1", 1),
      addServer("i-2", 1),
    ]);
    await sendFor(300, 30, "/n/x");
    const fromMs = performance.now() + REACTION_MS;
    const responses = await sendFor(WINDOW_MS + 500, 40, "/n/x");
    servers.forEach((server) =>
      expect(getMaxCount(server, fromMs)).at.most(getAllowedCount(1))
    );
    const served = responses.filter(({ status }) => status === 200);
    const refused = responses.filter(({ status }) => status === 503);
    expect(served.length + refused.length).equal(responses.length);
    expect(refused.length).greaterThan(0);
    refused.forEach(({ headers }) =>
      expect(Number(headers["retry-after"])).greaterThan(0)
    );
  });

  // Guards against a limit that only those who heard it from the server keep.
  it("are known to gateways and store hosts that got no response from them", async () => {
    await addServer("i-limited", 2);
    await fleet.sendRequest("first", "/p/x", { gatewayIndex: 0 });
    await fleet.waitUntil(
      "all processes to know the limit",
      () =>
        fleet.log.lines.filter((line) =>
          line.includes("event=backend_server_limit") &&
          line.includes("limit_per_s=2 ")
        ).length === fleet.gateways.length + fleet.stores.length,
    );
  });

  // Guards against a limit that holds only as long as the store hosts reply.
  it("get no more than they take while no store host replies", async () => {
    const limited = await addServer("i-limited", 4);
    await addServer("i-other", undefined);
    await sendFor(300, 30, "/p/x");
    await Promise.all(fleet.stores.map((store) => store.stop()));
    const fromMs = performance.now() + REACTION_MS;
    // Without the exchange of loads, each gateway has to fill the other server.
    await sendFor(WINDOW_MS + 1_000, 10, "/p/x");
    expect(getMaxCount(limited, fromMs)).within(1, getAllowedCount(4));
  });

  // Guards against a limit that is kept although the server names none any more.
  it("get as many requests as before once they name none any more", async () => {
    const limited = await addServer("i-limited", 2);
    await sendFor(300, 30, "/p/x");
    limited.limitPerS = undefined;
    await fleet.waitUntil("requests without a refusal", async () => {
      const responses = await sendFor(100, 20, "/p/x");
      return responses.every(({ status }) => status === 200);
    });
  });

  // Guards against a limit that is taken for that of the server asked for.
  it("are not meant by the response of another server at their address", async () => {
    const server = await addServer("i-reused", 0);
    server.behaviours.push("other");
    await fleet.sendRequest("first", "/p/x", { gatewayIndex: 0 });
    expect(
      fleet.log.lines.some((line) =>
        line.includes("event=backend_server_limit")
      ),
    ).equal(false);
  });

  // Guards against a request that waited for a permission and goes to a server that
  // has begun to leave meanwhile.
  it("get no request that waited for them while they began to leave", async () => {
    const server = await addServer("i-limited", 2.5);
    await fleet.sendRequest("first", "/n/x");
    const sent = fleet.sendRequest("waits", "/n/x");
    await fleet.registerServer(server, { State: "draining" });
    expect((await sent).status).equal(503);
    expect(fleet.getReceivedRequests("waits").length).equal(0);
  });

  // The header is the server's, not the connection's, so callers get it.
  it("pass the header on to the caller", async () => {
    await addServer("i-limited", 2.5);
    const { headers } = await fleet.sendRequest("first", "/p/x");
    expect(headers["server-limit"]).equal("2.5");
  });
});
