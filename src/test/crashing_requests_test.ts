/**
 * Requests that end every server that runs them, sent again and again under new
 * ids, through a complete fleet whose servers come back under new ids.
 */
import { expect } from "chai";
import { PlatformFleet } from "./platform_fleet.ts";
import { PlatformServer } from "./platform_server.ts";

const CRASH_TEXT = "crash";

/** Time after which a server that ended is back, in milliseconds. */
const RESTART_MS = 250;

/** Time between two tries of a caller, in milliseconds. */
const TRY_INTERVAL_MS = 300;

/** Time after the third end at which the bound below begins, in milliseconds. */
const STABLE_WINDOW_MS = 3_000;

/** Sends of a request that are allowed after that time. */
const MAX_LATE_SENDS = 3;

const MAX_ENDS = 3;

describe("requests that end their servers", () => {
  let fleet: PlatformFleet;
  const endTimesMs: number[] = [];
  let serverCount = 0;
  let crashText: string | undefined = CRASH_TEXT;

  const startServer = async (port: number) => {
    serverCount += 1;
    const server = new PlatformServer(`i-${serverCount}`, fleet.behaviours);
    server.crashText = crashText;
    server.onCrash = () => {
      endTimesMs.push(fleet.clock.getMonotonicMs());
      const address = server.address.split(":");
      fleet.clock.startTimer(
        RESTART_MS,
        () => startServer(Number(address[1])),
      );
    };
    await server.start(port);
    fleet.servers.push(server);
    await fleet.registerServer(server, { born: serverCount }, serverCount % 3);
  };

  const getCrashSends = (target: string) =>
    fleet.servers.flatMap((server) => server.receivedRequests)
      .filter(({ path, body }) => path === target && body.includes(CRASH_TEXT));

  /** Sends the same body again and again, each time to the next gateway. */
  const sendRepeatedly = async (target: string, tries: number) => {
    for (let index = 0; index < tries; index += 1) {
      await fleet.sendRequest(`${target}-${index}`, target, {
        body: `${CRASH_TEXT} of ${target}`,
        gatewayIndex: index % 3,
      });
      await fleet.clock.delay(TRY_INTERVAL_MS);
    }
  };

  before(async () => {
    fleet = new PlatformFleet();
    await fleet.start({ servers: 0, gateways: 3 });
    await Promise.all(Array.from({ length: 6 }, () => startServer(0)));
    await fleet.waitUntil(
      "the gateways to know the servers",
      () =>
        fleet.gateways.every((gateway) =>
          JSON.stringify(gateway.getDump()).includes(`"id":"i-6"`)
        ),
    );
  });

  after(() => fleet.close());

  beforeEach(async () => {
    await fleet.waitUntil("the servers to be back", async () => {
      const probes = await Promise.all(
        fleet.gateways.map((_, gatewayIndex) =>
          fleet.sendRequest("probe", "/n/probe", { gatewayIndex })
        ),
      );
      return probes.every(({ status }) => status === 200);
    });
    endTimesMs.length = 0;
  });

  // Guards against a request being sent on although three servers ended under it.
  it("are not sent on by any gateway after the third end", async () => {
    const target = "/p/crash";
    await sendRepeatedly(target, 12);
    const thirdEndMs = endTimesMs[MAX_ENDS - 1] ?? Infinity;
    const boundMs = thirdEndMs + STABLE_WINDOW_MS;
    const remainingMs = boundMs - fleet.clock.getMonotonicMs();
    await fleet.clock.delay(Math.max(0, Math.min(remainingMs, 10_000)));
    const sendsBefore = getCrashSends(target).length;
    await sendRepeatedly(target, 12);
    expect(getCrashSends(target).length - sendsBefore).at.most(MAX_LATE_SENDS);
  });

  // Guards against sound requests being refused for a crashing one.
  it("don't keep sound requests from being served", async () => {
    const target = "/p/beside";
    await sendRepeatedly(target, 6);
    const responses = await Promise.all(
      Array.from(
        { length: 60 },
        (_, index) =>
          fleet.sendRequest(`sound-${index}`, target, {
            gatewayIndex: index % 3,
          }),
      ),
    );
    expect(responses.map(({ status }) => status)).deep.equal(
      responses.map(() => 200),
    );
  });

  // Guards against an item that is never placed again because several servers
  // crashed while they ran it.
  it("are not looked for among the items of jobs, which are still owed", async () => {
    const items = ["unlucky-1", "unlucky-2"];
    const submitted = await fleet.sendRequest("job-unlucky", "/b/", {
      body: JSON.stringify({
        Items: items.map((id) => ({
          Id: id,
          Path: `/b/${id}`,
          Headers: { "X-Model": "m" },
          Body: Buffer.from(`${CRASH_TEXT} by chance`).toString("base64"),
          Tokens: 10,
        })),
      }),
    });
    expect(submitted.status).equal(202);
    await fleet.waitUntil("many ends", () => endTimesMs.length >= 8);
    crashText = undefined;
    fleet.servers.forEach((server) => server.crashText = undefined);
    let states: string[] = [];
    await fleet.waitUntil("the results", async () => {
      const page = await fleet.sendJobRequest(
        "GET",
        "/-/lots/job-unlucky?After=0",
      );
      if (page.status !== 200) return false;
      states = JSON.parse(page.text).Results
        .map(({ State }: { State: string }) => State);
      return states.length === items.length;
    });
    expect(states).deep.equal(["done", "done"]);
    crashText = CRASH_TEXT;
    fleet.servers.forEach((server) => server.crashText = CRASH_TEXT);
  });

  // Guards against a restarted gateway sending a request that others refuse.
  it("are not sent by a gateway that starts later", async () => {
    const target = "/p/later";
    await sendRepeatedly(target, 12);
    const gatewayIndex = await fleet.addGateway();
    const sendsBefore = getCrashSends(target).length;
    for (let index = 0; index < 5; index += 1) {
      await fleet.sendRequest(`later-${index}`, target, {
        body: `${CRASH_TEXT} of ${target}`,
        gatewayIndex,
      });
    }
    expect(getCrashSends(target)).length(sendsBefore);
  });

  // Guards against lost answers being taken for crashes.
  it("are told from requests whose answers are lost at servers that live", async () => {
    const target = "/p/unlucky";
    const body = "an unlucky body";
    for (let index = 0; index < 4; index += 1) {
      fleet.behaviours.push("reset", "reset");
      await fleet.sendRequest(`unlucky-${index}`, target, {
        body,
        gatewayIndex: index % 3,
      });
      fleet.behaviours.length = 0;
    }
    const response = await fleet.sendRequest("unlucky", target, { body });
    expect(response.status).equal(200);
  });
});
