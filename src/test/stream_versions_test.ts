/**
 * Resumable streams at servers of two software versions, through a complete
 * fleet. A stream holds events of the version that began it only, whether a
 * gateway continues it or the caller takes it up again.
 */
import { expect } from "chai";
import {
  createConfig,
  PlatformFleet,
  type ReceivedResponse,
} from "./platform_fleet.ts";
import { EVENT_COUNT, PlatformServer } from "./platform_server.ts";

const VERSIONS = ["v1", "v2"];
const SERVERS_PER_VERSION = 3;
const STREAMS = 30;

/** Share of the streams taken up again that goes on at least. */
const MIN_CONTINUED_SHARE = 0.5;

interface StreamPart {
  readonly lastEvent: number;
  readonly versions: readonly string[];
}

function readPart({ text }: ReceivedResponse): StreamPart {
  const complete = text.slice(0, text.lastIndexOf("\n\n") + 1);
  const read = (pattern: RegExp) =>
    [...complete.matchAll(pattern)].map((match) => match[1] ?? "");
  return {
    lastEvent: Number(read(/^id: (\d+)$/gm).at(-1) ?? 0),
    versions: [...new Set(read(/^data: .*@(\S+)$/gm))],
  };
}

describe("streams at servers of two software versions", () => {
  let fleet: PlatformFleet;
  let serverCount = 0;

  const startServer = async (version: string) => {
    serverCount += 1;
    const server = new PlatformServer(`i-${serverCount}`, fleet.behaviours);
    server.version = version;
    server.marksEvents = true;
    await server.start();
    fleet.servers.push(server);
    await fleet.registerServer(server);
    await fleet.waitUntil(
      "the gateways to know the server",
      () =>
        fleet.gateways.every((gateway) =>
          JSON.stringify(gateway.getDump()).includes(`"${server.id}"`)
        ),
    );
    return server;
  };

  beforeEach(async () => {
    fleet = new PlatformFleet();
    await fleet.start({ servers: 0, gateways: 2 });
    const route = {
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
    await fleet.putConfig(createConfig(2, {
      Routes: [route, ...JSON.parse(createConfig(1)).Routes],
    }));
    for (const version of VERSIONS) {
      for (let count = 0; count < SERVERS_PER_VERSION; count += 1) {
        await startServer(version);
      }
    }
    await fleet.waitUntil(
      "the new route to be in force",
      async () => {
        const probes = await Promise.all(
          [0, 1].map((gatewayIndex) =>
            fleet.sendRequest("probe", "/o/", { gatewayIndex })
          ),
        );
        return probes.every(({ status }) => status === 200);
      },
    );
  });

  afterEach(() => fleet.close());

  /** Begins a stream at gateway 0 that its server breaks after one event. */
  const beginStream = async (id: string) => {
    fleet.behaviours.push("break");
    const part = readPart(await fleet.sendRequest(id, "/o/x"));
    fleet.behaviours.length = 0;
    return part;
  };

  const takeUpStream = (id: string, lastEvent: number, gatewayIndex = 1) =>
    fleet.sendRequest(`${id}-again`, "/o/x", {
      gatewayIndex,
      headers: { "Last-Event-Id": String(lastEvent), "Resumes": id },
    });

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

  // Guards against a gateway that has just started taking streams up anywhere.
  it("go on at the same version at a gateway that starts later", async () => {
    const streams = await beginAll();
    const gatewayIndex = await fleet.addGateway();
    for (const [id, { lastEvent, versions }] of streams) {
      const again = readPart(await takeUpStream(id, lastEvent, gatewayIndex));
      expect([...new Set([...versions, ...again.versions])], id).length(1);
    }
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
