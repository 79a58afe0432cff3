/**
 * Resumable streams at servers of two software versions, through a complete
 * fleet. A stream holds events of the version that began it only, whether a
 * gateway continues it or the caller takes it up again.
 */
import { expect } from "chai";
import type { Timer } from "../sys/clock.ts";
import {
  createConfig,
  PlatformFleet,
  type ReceivedResponse,
} from "./platform_fleet.ts";
import { EVENT_COUNT, PlatformServer } from "./platform_server.ts";

const VERSIONS = ["v1", "v2"];
const SERVERS_PER_VERSION = 3;
const STREAMS = 30;

/** Longest duration of a stream in these fleets, in milliseconds. */
const MAX_STREAM_MS = 3_000;

/** Interval at which the servers of some fleets register, in milliseconds. */
const BEAT_MS = 1_000;

/** Interval of heartbeats in the tests, which must not miss any under load. */
const HEARTBEAT_INTERVAL_MS = 150;

/** Time in which a server that crashed is back, in milliseconds. */
const RESTART_MS = 2_500;

/** Share of the streams taken up again that goes on at least. */
const MIN_CONTINUED_SHARE = 0.5;

interface StreamPart {
  readonly lastEvent: number;
  readonly versions: readonly string[];
}

function readPart({ text }: Pick<ReceivedResponse, "text">): StreamPart {
  const complete = text.slice(0, text.lastIndexOf("\n\n") + 1);
  const read = (pattern: RegExp) =>
    [...complete.matchAll(pattern)].map((match) => match[1] ?? "");
  return {
    lastEvent: Number(read(/^id: (\d+)$/gm).at(-1) ?? 0),
    versions: [...new Set(read(/^data: .*@(\S+)$/gm))],
  };
}

const ONE_ATTEMPT_ROUTE = {
  Host: "a.example",
  Name: "one-attempt",
  PathPrefix: "/o/",
  Kind: "streaming",
  TimeoutMs: 3_000,
  SloMs: 1_000,
  Service: "s",
  Attempts: 1,
  Resumable: true,
  GapTargetMs: 300,
};

/** Adds a route on which a gateway doesn't continue a stream itself. */
async function putOneAttemptRoute(fleet: PlatformFleet): Promise<void> {
  await fleet.putConfig(createConfig(2, {
    Routes: [ONE_ATTEMPT_ROUTE, ...JSON.parse(createConfig(1)).Routes],
  }));
}

/** Waits until all gateways serve the route; needs a server. */
async function waitForOneAttemptRoute(fleet: PlatformFleet): Promise<void> {
  await fleet.waitUntil("the new route to be in force", async () => {
    const probes = await Promise.all(
      fleet.gateways.map((_, gatewayIndex) =>
        fleet.sendRequest("probe", "/o/", { gatewayIndex })
      ),
    );
    return probes.every(({ status }) => status === 200);
  });
}

/**
 * Starts a server that registers with one control host, and waits until some of the
 * gateways know it, by default all of them.
 */
async function startVersion(
  fleet: PlatformFleet,
  version: string,
  { controlIndex = 0, gateways = fleet.gateways } = {},
): Promise<PlatformServer> {
  const id = `i-${fleet.servers.length + 1}`;
  const server = new PlatformServer(id, fleet.behaviours);
  server.version = version;
  server.marksEvents = true;
  await server.start();
  fleet.servers.push(server);
  await fleet.registerServer(server, {}, controlIndex);
  await fleet.waitUntil(
    "the gateways to know the server",
    () =>
      gateways.every((gateway) =>
        JSON.stringify(gateway.getDump()).includes(`"${id}"`)
      ),
  );
  return server;
}

/** Begins a stream at a gateway that its server breaks after one event. */
async function beginBrokenStream(
  fleet: PlatformFleet,
  id: string,
  gatewayIndex = 0,
): Promise<StreamPart> {
  fleet.behaviours.push("break");
  const part = readPart(await fleet.sendRequest(id, "/o/x", { gatewayIndex }));
  fleet.behaviours.length = 0;
  return part;
}

function takeUpBrokenStream(
  fleet: PlatformFleet,
  { id, lastEvent, gatewayIndex }: {
    id: string;
    lastEvent: number;
    gatewayIndex: number;
  },
): Promise<ReceivedResponse> {
  return fleet.sendRequest(`${id}-again`, "/o/x", {
    gatewayIndex,
    headers: { "Last-Event-Id": String(lastEvent), "Resumes": id },
  });
}

describe("streams at servers of two software versions", () => {
  let fleet: PlatformFleet;

  const startServer = (version: string) => startVersion(fleet, version);

  beforeEach(async () => {
    fleet = new PlatformFleet();
    await fleet.start({ servers: 0, gateways: 2 });
    await putOneAttemptRoute(fleet);
    for (const version of VERSIONS) {
      for (let count = 0; count < SERVERS_PER_VERSION; count += 1) {
        await startServer(version);
      }
    }
    await waitForOneAttemptRoute(fleet);
  });

  afterEach(() => fleet.close());

  const beginStream = (id: string, gatewayIndex = 0) =>
    beginBrokenStream(fleet, id, gatewayIndex);

  const takeUpStream = (id: string, lastEvent: number, gatewayIndex = 1) =>
    takeUpBrokenStream(fleet, { id, lastEvent, gatewayIndex });

  /** Takes all streams up; returns how many went on to their end. */
  const takeUpAll = async (streams: ReadonlyMap<string, StreamPart>) => {
    let continued = 0;
    for (const [id, begun] of streams) {
      const part = readPart(await takeUpStream(id, begun.lastEvent));
      const versions = new Set([...begun.versions, ...part.versions]);
      expect([...versions], id).length(1);
      if (part.lastEvent === EVENT_COUNT) continued += 1;
    }
    return continued;
  };

  const beginAll = async () => {
    const streams = new Map<string, StreamPart>();
    for (let index = 0; index < STREAMS; index += 1) {
      const id = `stream-${index}`;
      streams.set(id, await beginStream(id));
    }
    return streams;
  };

  // Guards against a gateway joining two versions inside one answer.
  it("go on at the same version inside one answer", async () => {
    for (let index = 0; index < STREAMS; index += 1) {
      fleet.behaviours.push("break");
      const part = readPart(await fleet.sendRequest(`one-${index}`, "/s/x"));
      expect(part.versions, `one-${index}`).length(1);
      expect(part.lastEvent).equal(EVENT_COUNT);
    }
  });

  // Guards against a stream that a caller takes up joining two versions.
  it("go on at the same version when the caller takes them up at another gateway", async () => {
    const continued = await takeUpAll(await beginAll());
    expect(continued).at.least(STREAMS * MIN_CONTINUED_SHARE);
  });

  // Guards against the version being lost with the gateway that began a stream.
  it("go on at the same version after the first gateway was killed", async () => {
    const streams = await beginAll();
    fleet.gateways[0]?.halt();
    const continued = await takeUpAll(streams);
    expect(continued).at.least(STREAMS * MIN_CONTINUED_SHARE);
  });

  // Guards against a stream being lost with its gateway because no other host has
  // heard of its first event yet.
  it("go on at the same version if the gateway is lost at their first event", async () => {
    fleet.servers.forEach((server) => {
      server.firstEventMs = 100;
      server.eventIntervalMs = 10_000;
    });
    const begun = new Map<string, StreamPart>();
    const begin = (id: string) =>
      fleet.sendRequest(id, "/o/x", {
        onData: (text) => {
          const part = readPart({ text });
          if (part.lastEvent > 0) begun.set(id, part);
        },
      });
    const responses = Promise.all(
      Array.from({ length: STREAMS }, (_, index) => begin(`stream-${index}`)),
    );
    await fleet.waitUntil("the streams to begin", () => begun.size > 0);
    fleet.gateways[0]?.halt();
    await responses;
    fleet.servers.forEach((server) => {
      server.firstEventMs = 0;
      server.eventIntervalMs = 2;
    });
    expect(await takeUpAll(begun)).equal(begun.size);
  });

  // Guards against a gateway that has just started taking streams up anywhere.
  it("go on at the same version at a gateway that starts later", async () => {
    const streams = await beginAll();
    const gatewayIndex = await fleet.addGateway();
    for (const [id, { lastEvent, versions }] of streams) {
      const again = readPart(await takeUpStream(id, lastEvent, gatewayIndex));
      expect([...new Set([...versions, ...again.versions])], id).length(1);
    }
  });

  // Plays the loss of all gateways while two versions serve.
  it("go on at the same version after all gateways were killed", async () => {
    const streams = await beginAll();
    fleet.gateways.forEach((gateway) => gateway.halt());
    const gatewayIndex = await fleet.addGateway();
    let continued = 0;
    for (const [id, { lastEvent, versions }] of streams) {
      const again = readPart(await takeUpStream(id, lastEvent, gatewayIndex));
      expect([...new Set([...versions, ...again.versions])], id).length(1);
      if (again.lastEvent === EVENT_COUNT) continued += 1;
    }
    expect(continued).at.least(STREAMS * MIN_CONTINUED_SHARE);
  });

  // Guards against a stream going on elsewhere when its version is gone.
  it("end, without reaching a server, when no server has their version", async () => {
    const begun = new Map(
      [...await beginAll()].filter(([, { versions }]) => versions[0] === "v1"),
    );
    await drainServers("v1");
    for (const [id, { lastEvent }] of begun) {
      expect((await takeUpStream(id, lastEvent)).status, id).equal(503);
      expect(fleet.getReceivedRequests(`${id}-again`), id).length(0);
    }
    expect(begun.size).greaterThan(0);
  });

  // Guards against a stream of unknown origin going on at any version.
  it("don't go on while it is unknown which version began them", async () => {
    const response = await takeUpStream("never-begun", 2);
    expect(response.status).equal(503);
    expect(fleet.getReceivedRequests("never-begun-again")).length(0);
  });

  // Guards against a stream going on at the version of another one that has its id.
  it("don't go on if streams of two versions began under one id", async () => {
    const versions = new Map<string, Set<string>>();
    for (let index = 0; index < STREAMS; index += 1) {
      const id = `twice-${index % 10}`;
      const { versions: begun } = await beginStream(id, index % 2);
      versions.set(id, new Set([...versions.get(id) ?? [], ...begun]));
    }
    const ambiguous = [...versions].filter(([, { size }]) => size > 1);
    expect(ambiguous).not.length(0);
    for (const [id] of ambiguous) {
      for (const gatewayIndex of [0, 1]) {
        const again = await takeUpStream(id, 1, gatewayIndex);
        expect(again.status, id).equal(503);
      }
      expect(fleet.getReceivedRequests(`${id}-again`), id).length(0);
    }
  });

  const submitJob = async (items: readonly string[]) => {
    const submitted = await fleet.sendRequest("job-1", "/b/", {
      body: JSON.stringify({
        Items: items.map((id) => ({
          Id: id,
          Path: `/b/${id}`,
          Headers: { "X-Model": "m" },
          Body: Buffer.from(id).toString("base64"),
          Tokens: 10,
        })),
      }),
    });
    expect(submitted.status).equal(202);
  };

  /** Waits for all results; returns the versions that made each text. */
  const getItemVersions = async (count: number) => {
    let results: { Id: string; State: string; Text: string }[] = [];
    await fleet.waitUntil("all results of the job", async () => {
      const page = await fleet.sendJobRequest("GET", "/-/lots/job-1?After=0");
      if (page.status !== 200) return false;
      results = JSON.parse(page.text).Results;
      return results.length === count;
    });
    return results.map(({ Id, State, Text }) => {
      expect(State, Id).equal("done");
      const lines = Text.split("\n");
      expect(lines, Id).length(EVENT_COUNT);
      return [...new Set(lines.map((line) => line.split("@")[1]))];
    });
  };

  const drainServers = async (version: string) => {
    const leaving = fleet.servers.filter((server) =>
      server.version === version
    );
    for (const server of leaving) {
      await fleet.registerServer(server, { State: "draining" });
    }
    await fleet.waitUntil(
      "the gateways to see the servers as draining",
      () =>
        fleet.gateways.every((gateway) =>
          leaving.every(({ id }) =>
            JSON.stringify(gateway.getDump())
              .includes(`"id":"${id}","service":"s","state":2`)
          )
        ),
    );
  };

  // Guards against the text of a job's item joining two versions.
  it("are not joined in the text of a job's item", async () => {
    const items = Array.from({ length: 24 }, (_, index) => `item-${index}`);
    fleet.behaviours.push(...items.map(() => "break" as const));
    await submitJob(items);
    (await getItemVersions(items.length)).forEach((versions) =>
      expect(versions).length(1)
    );
  });

  // Guards against an item waiting for ever for a version that is gone.
  it("are started anew in an item whose version no server has any more", async () => {
    await drainServers("v2");
    const items = ["anew-1", "anew-2", "anew-3"];
    fleet.behaviours.push(...items.map(() => "break" as const));
    fleet.behaviours.push(
      ...Array.from({ length: 200 }, () => "full" as const),
    );
    await submitJob(items);
    await fleet.waitUntil(
      "the items to break",
      () => items.every((id) => fleet.getReceivedRequests(id).length > 1),
    );
    await drainServers("v1");
    fleet.behaviours.length = 0;
    await startServer("v3");
    const versions = await getItemVersions(items.length);
    expect(versions).deep.equal(items.map(() => ["v3"]));
  });
});

describe("streams whose origin no store host names", () => {
  let fleet: PlatformFleet;
  let heartbeats: Timer | undefined;

  beforeEach(async () => {
    fleet = new PlatformFleet({ maxStreamMs: MAX_STREAM_MS });
    await fleet.start({ servers: 0, gateways: 2 });
    await putOneAttemptRoute(fleet);
    await startVersion(fleet, "v1");
    await waitForOneAttemptRoute(fleet);
    await fleet.clock.delay(MAX_STREAM_MS);
  });

  afterEach(async () => {
    heartbeats?.cancel();
    await fleet.close();
  });

  /** Begins streams at a server of a version that joins now. */
  const beginAtNewVersion = async () => {
    await startVersion(fleet, "v2", {
      controlIndex: 1,
      gateways: fleet.gateways.slice(0, 1),
    });
    const begun = new Map<string, StreamPart>();
    for (let index = 0; begun.size < 5; index += 1) {
      const part = await beginBrokenStream(fleet, `new-${index}`);
      if (part.versions[0] === "v2") begun.set(`new-${index}`, part);
    }
    return begun;
  };

  const expectNoneTakenUp = async (
    streams: ReadonlyMap<string, StreamPart>,
  ) => {
    for (const [id, { lastEvent }] of streams) {
      const again = await takeUpBrokenStream(fleet, {
        id,
        lastEvent,
        gatewayIndex: 1,
      });
      expect(again.status, id).equal(503);
      expect(Number(again.headers["retry-after"]), id).within(0.05, 0.5);
      expect(fleet.getReceivedRequests(`${id}-again`), id).length(0);
    }
  };

  // Guards against a gateway that was cut off taking the only version that it
  // knows for the only one there is.
  it("don't go on at a gateway that was cut off while another version joined", async () => {
    fleet.isolatedGateways.add(1);
    await expectNoneTakenUp(await beginAtNewVersion());
  });

  // Guards against the same at a gateway that hears some of the control hosts.
  it("don't go on at a gateway that one control host doesn't reach", async () => {
    fleet.cutLinks.add("gateway-1/control-1");
    fleet.cutLinks.add("gateway-1/store-0");
    fleet.cutLinks.add("gateway-1/store-1");
    fleet.cutLinks.add("gateway-1/store-2");
    await expectNoneTakenUp(await beginAtNewVersion());
  });

  // Guards against streams being given up although only one version can have begun
  // them, also by a gateway that has just started.
  it("go on at the only version that there was for longer than a stream lasts", async () => {
    await fleet.addGateway();
    const registerAll = () =>
      Promise.all(fleet.servers.map((server) => fleet.registerServer(server)));
    await registerAll();
    heartbeats = fleet.clock.startInterval(HEARTBEAT_INTERVAL_MS, registerAll);
    for (const gatewayIndex of [0, 1, 2]) {
      const id = `lost-${gatewayIndex}`;
      const again = await takeUpBrokenStream(fleet, {
        id,
        lastEvent: 2,
        gatewayIndex,
      });
      expect(readPart(again).lastEvent, id).equal(EVENT_COUNT);
    }
  });
});

describe("streams beside a server that was started again under its id", () => {
  let fleet: PlatformFleet;
  let heartbeats: Timer;
  /** Index of the control host that each server sends its heartbeats to. */
  const controlIndexes = new Map<string, number>();

  beforeEach(async () => {
    fleet = new PlatformFleet({ beatMs: BEAT_MS });
    await fleet.start({ servers: 0, gateways: 1 });
    await putOneAttemptRoute(fleet);
    controlIndexes.clear();
    heartbeats = fleet.clock.startInterval(
      HEARTBEAT_INTERVAL_MS,
      () =>
        fleet.servers.forEach((server) =>
          fleet.registerServer(server, {}, controlIndexes.get(server.id) ?? 0)
        ),
    );
    await startVersion(fleet, "v1");
    await startVersion(fleet, "v1");
    await waitForOneAttemptRoute(fleet);
  });

  afterEach(async () => {
    heartbeats.cancel();
    await fleet.close();
  });

  /** Starts the first server again with another version, at another control host. */
  const startAgain = async () => {
    const [server] = fleet.servers;
    if (server === undefined) throw new Error("no server was started");
    controlIndexes.set(server.id, 1);
    server.version = "v2";
    server.bornMs += 1;
    await fleet.registerServer(server, {}, 1);
  };

  /** Lets one of two servers run as another version before it says so. */
  const replaceUnheard = () => {
    const [server] = fleet.servers;
    if (server === undefined) throw new Error("no server was started");
    heartbeats.cancel();
    server.version = "v2";
    server.bornMs += 1;
    return server;
  };

  /**
   * Begins streams on a route until some run at a server that the gateway takes for
   * one of v1. Their events from a number on are held until `release` is called.
   */
  const beginBeforeHeard = async (target: string, heldFrom: number) => {
    const server = replaceUnheard();
    let release = () => {};
    const gate = new Promise<void>((resolve) => {
      release = resolve;
    });
    fleet.servers.forEach((one) => {
      one.getEventGate = (number) => number < heldFrom ? undefined : gate;
    });
    const begun = new Set<string>();
    const responses = new Map<string, Promise<ReceivedResponse>>();
    await fleet.waitUntil("the server to run requests", () => {
      const id = `early-${responses.size}`;
      const onData = () => begun.add(id);
      responses.set(id, fleet.sendRequest(id, target, { onData }));
      return server.receivedRequests.filter((request) =>
        request.id.startsWith("early-")
      ).length >= 3;
    });
    if (heldFrom > 1) {
      await fleet.waitUntil(
        "first events",
        () => begun.size === responses.size,
      );
    }
    return { server, responses, release };
  };

  /** The server registers as what it is; waits until the gateway has heard of it. */
  const hearOf = async (server: PlatformServer) => {
    await fleet.registerServer(server, { Slots: 5 });
    await fleet.waitUntil(
      "the gateway to hear of the start",
      () => JSON.stringify(fleet.gateways[0]?.getDump()).includes('"slots":5'),
    );
  };

  const breakAll = () =>
    fleet.behaviours.push(
      ...Array.from({ length: 50 }, () => "break" as const),
    );

  /** Takes the streams up; none may have gone on at another version. */
  const expectNoneJoined = async (
    responses: ReadonlyMap<string, Promise<ReceivedResponse>>,
  ) => {
    const parts = new Map<string, StreamPart>();
    for (const [id, response] of responses) {
      parts.set(id, readPart(await response));
    }
    fleet.behaviours.length = 0;
    for (const [id, { lastEvent, versions }] of parts) {
      expect(versions, id).length(1);
      if (lastEvent === EVENT_COUNT) continue;
      const again = readPart(
        await takeUpBrokenStream(fleet, { id, lastEvent, gatewayIndex: 0 }),
      );
      expect([...new Set([...versions, ...again.versions])], id).length(1);
    }
    expect([...parts.values()].flatMap(({ versions }) => versions))
      .include("v2");
  };

  // Guards against a stream being taken for one of the version that its server had
  // before, as it was sent there before the gateway heard of the new start. "/s/"
  // lets the gateway continue it itself.
  ["/o/x", "/s/x"].forEach((target) => {
    it(`are not joined if ${target} was sent before the start was heard of`, async () => {
      breakAll();
      const { server, responses, release } = await beginBeforeHeard(target, 1);
      await hearOf(server);
      release();
      await expectNoneJoined(responses);
    });

    it(`are not joined if ${target} had begun before the start was heard of`, async () => {
      breakAll();
      const { server, responses, release } = await beginBeforeHeard(target, 2);
      await hearOf(server);
      release();
      await expectNoneJoined(responses);
    });
  });

  // Guards against the same if the server broke the stream before.
  it("are not joined if they broke before the start was heard of", async () => {
    breakAll();
    const { server, responses, release } = await beginBeforeHeard("/o/x", 2);
    release();
    await Promise.all(responses.values());
    await hearOf(server);
    await expectNoneJoined(responses);
  });

  // Guards against whole answers being cut because their server's start was unheard.
  it("go on to their end in one attempt though the start is heard of meanwhile", async () => {
    const { server, responses, release } = await beginBeforeHeard("/o/x", 2);
    await hearOf(server);
    release();
    for (const [id, response] of responses) {
      const { versions, lastEvent } = readPart(await response);
      expect(versions, id).length(1);
      expect(lastEvent, id).equal(EVENT_COUNT);
    }
  });

  // Guards against a gateway sending a stream to a server that it couldn't connect to
  // a moment ago and that has not been heard of since.
  it("don't go on at a server that no connection could be made to", async () => {
    heartbeats.cancel();
    const [first, second] = fleet.servers;
    if (first === undefined || second === undefined) {
      throw new Error("two servers were not started");
    }
    second.close();
    await fleet.registerServer(second, { State: "draining" });
    const { lastEvent } = await beginBrokenStream(fleet, "stream");
    expect(lastEvent).greaterThan(0);
    // With another server in reach, the gateway doesn't count as cut off.
    await startVersion(fleet, "v3");
    const gatewayIndex = await fleet.addGateway();
    fleet.gateways[0]?.halt();
    const takeUp = () =>
      takeUpBrokenStream(fleet, { id: "stream", lastEvent, gatewayIndex });
    first.close();
    expect((await takeUp()).status).equal(503);
    first.version = "v2";
    await first.start(Number(first.address.split(":")[1]));
    for (let attempt = 0; attempt < 10; attempt += 1) {
      expect((await takeUp()).status).equal(503);
    }
    expect(fleet.getReceivedRequests("stream-again")).length(0);
  });

  // Guards against a gateway that hears of no control host going by servers that were
  // started again meanwhile, though other gateways know better.
  it("don't go on at a gateway that hears of no control host while others do", async () => {
    const streams = new Map<string, StreamPart>();
    for (let index = 0; index < STREAMS; index += 1) {
      const id = `stream-${index}`;
      streams.set(id, await beginBrokenStream(fleet, id));
    }
    const gatewayIndex = await fleet.addGateway();
    [0, 1, 2].forEach((index) =>
      fleet.cutLinks.add(`gateway-1/control-${index}`)
    );
    await fleet.clock.delay(RESTART_MS);
    await startAgain();
    for (const [id, { lastEvent }] of streams) {
      const refused = await takeUpBrokenStream(fleet, {
        id,
        lastEvent,
        gatewayIndex,
      });
      expect(refused.status, id).equal(503);
      expect(Number(refused.headers["retry-after"]), id).within(0.05, 0.5);
      const again = readPart(
        await takeUpBrokenStream(fleet, { id, lastEvent, gatewayIndex: 0 }),
      );
      expect(again.versions, id).deep.equal(["v1"]);
      expect(again.lastEvent, id).equal(EVENT_COUNT);
    }
  });

  // Guards against streams being refused by all gateways when no control host runs.
  it("go on if no host hears of a control host", async () => {
    const { lastEvent } = await beginBrokenStream(fleet, "stream");
    heartbeats.cancel();
    await Promise.all(fleet.controls.map((control) => control.stop()));
    await fleet.clock.delay(RESTART_MS + 500);
    const again = readPart(
      await takeUpBrokenStream(fleet, {
        id: "stream",
        lastEvent,
        gatewayIndex: 0,
      }),
    );
    expect(again.lastEvent).equal(EVENT_COUNT);
  });

  // Guards against a gateway that has just started taking a registration for a new
  // one that its control host has not heard of for long.
  it("go on at their version at a gateway that knows the start before only", async () => {
    const streams = new Map<string, StreamPart>();
    for (let index = 0; index < STREAMS; index += 1) {
      const id = `stream-${index}`;
      streams.set(id, await beginBrokenStream(fleet, id));
    }
    await fleet.clock.delay(RESTART_MS);
    await startAgain();
    await fleet.clock.delay(5 * BEAT_MS);
    fleet.cutLinks.add("gateway-1/control-1");
    const gatewayIndex = await fleet.addGateway();
    for (const [id, { lastEvent }] of streams) {
      const again = readPart(
        await takeUpBrokenStream(fleet, { id, lastEvent, gatewayIndex }),
      );
      expect(again.versions, id).deep.equal(["v1"]);
      expect(again.lastEvent, id).equal(EVENT_COUNT);
    }
  });
});
