/**
 * Parts of prompts that end every server which begins an answer on them, in
 * requests of which no two are alike, through a complete fleet whose servers come
 * back under new ids.
 */
import { expect } from "chai";
import { PlatformFleet } from "./platform_fleet.ts";
import { PlatformServer } from "./platform_server.ts";
import { range } from "./fleet_helpers.ts";

const CRASH_PART = "dead";
const FIRST_PART = "f1";

/** Time after which a server that ended is back, in milliseconds. */
const RESTART_MS = 250;

/** Time after the fifth end at which the bound below begins, in milliseconds. */
const STABLE_WINDOW_MS = 3_000;

/** Sends of requests with the part that are allowed after that time. */
const MAX_LATE_SENDS = 3;

const MAX_ENDS = 5;

/** Interval between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 20;

/** One in this many requests holds the part. */
const CRASH_INTERVAL = 10;

describe("parts of prompts that end servers", () => {
  let fleet: PlatformFleet;
  const endTimesMs: number[] = [];
  let serverCount = 0;
  let sentCount = 0;

  const startServer = async (port: number) => {
    serverCount += 1;
    const server = new PlatformServer(`i-${serverCount}`, fleet.behaviours);
    server.crashPart = CRASH_PART;
    server.firstEventMs = 5;
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

  /** Sends a request of its own body, and returns its status. */
  const send = async (
    target: string,
    parts: readonly string[],
    gatewayIndex?: number,
  ) => {
    sentCount += 1;
    const id = `r${sentCount}`;
    const { status } = await fleet.sendRequest(id, target, {
      gatewayIndex: gatewayIndex ?? sentCount % 3,
      headers: {
        "X-Prompt-Prefix": [...parts, `own${sentCount}`]
          .map((part) => `${part}:100`).join(),
      },
    });
    return status;
  };

  const getCrashSends = () =>
    fleet.servers.flatMap((server) => server.receivedRequests)
      .filter(({ headers }) =>
        String(headers["x-prompt-prefix"]).includes(`,${CRASH_PART}:`)
      ).length;

  /** Sends a mix of requests for some time; returns the statuses of sound ones. */
  const sendMix = async (target: string, durationMs: number) => {
    const endMs = fleet.clock.getMonotonicMs() + durationMs;
    const sound: Promise<number>[] = [];
    const crashing: Promise<number>[] = [];
    while (fleet.clock.getMonotonicMs() < endMs) {
      const count = sound.length + crashing.length;
      const other = `a${count % 40}`;
      if (count % CRASH_INTERVAL === 3) {
        crashing.push(send(target, [FIRST_PART, CRASH_PART, other]));
      } else sound.push(send(target, [FIRST_PART, other]));
      await fleet.clock.delay(REQUEST_INTERVAL_MS);
    }
    await Promise.all(crashing);
    return await Promise.all(sound);
  };

  const getServedShare = (statuses: readonly number[]) =>
    statuses.filter((status) => status === 200).length / statuses.length;

  before(async () => {
    fleet = new PlatformFleet();
    await fleet.start({ servers: 0, gateways: 3 });
    await Promise.all(range(8).map(() => startServer(0)));
    await fleet.waitUntil(
      "the gateways to know the servers",
      () =>
        fleet.gateways.every((gateway) =>
          JSON.stringify(gateway.getDump()).includes(`"id":"i-8"`)
        ),
    );
  });

  after(() => fleet.close());

  // Guards against requests with a part being sent on although five servers ended
  // under it, since no two of them are alike.
  it("are not sent on by any gateway after the fifth end", async () => {
    await sendMix("/l/", 2_000);
    const fifthEndMs = endTimesMs[MAX_ENDS - 1] ?? -Infinity;
    const remainingMs = fifthEndMs + STABLE_WINDOW_MS -
      fleet.clock.getMonotonicMs();
    if (remainingMs > 0) await sendMix("/l/", remainingMs);
    const sendsBefore = getCrashSends();
    const statuses = await sendMix("/l/", 4_000);
    expect(getCrashSends() - sendsBefore).at.most(MAX_LATE_SENDS);
    expect(getServedShare(statuses)).at.least(0.9);
  });

  // Guards against a restarted gateway sending requests that others refuse.
  it("are not sent by a gateway that starts later", async () => {
    const gatewayIndex = await fleet.addGateway();
    const sendsBefore = getCrashSends();
    for (const index of range(6)) {
      await send("/l/", [FIRST_PART, CRASH_PART, `b${index}`], gatewayIndex);
    }
    expect(getCrashSends()).equal(sendsBefore);
    expect(await send("/l/", [FIRST_PART, "b9"], gatewayIndex)).equal(200);
  });

  // Guards against items ending one server after the other, and against items
  // beside them that are never run.
  it("are kept from servers in items too, which stay owed", async () => {
    const createItem = (id: string, parts: readonly string[]) => ({
      Id: id,
      Path: `/b/${id}`,
      Headers: { "X-Prompt-Prefix": parts.map((part) => `${part}:9`).join() },
      Body: Buffer.from(id).toString("base64"),
      Tokens: 10,
    });
    const submitted = await fleet.sendRequest("job-parts", "/b/", {
      body: JSON.stringify({
        Items: [
          createItem("tainted", [FIRST_PART, CRASH_PART, "own-t"]),
          createItem("sound", [FIRST_PART, "c", "own-s"]),
        ],
      }),
    });
    expect(submitted.status).equal(202);
    const sendsBefore = getCrashSends();
    await fleet.waitUntil("the sound item to be done", async () => {
      const page = await fleet.sendJobRequest(
        "GET",
        "/-/lots/job-parts?After=0",
      );
      return page.status === 200 && page.text.includes(`"Id":"sound"`);
    });
    await fleet.clock.delay(1_500);
    expect(getCrashSends() - sendsBefore).at.most(MAX_LATE_SENDS);
    const body = await fleet.sendJobRequest(
      "GET",
      "/-/items/job-parts?Id=tainted",
    );
    expect(body).include({ status: 200, text: "tainted" });
  });

  // Guards against a part of most requests being taken for the cause while servers
  // end for another.
  it("are told from parts of requests on servers that end for another cause", async () => {
    fleet.servers.forEach((server) => server.crashPart = undefined);
    const statuses = sendMixBesideCrashes();
    expect(getServedShare(await statuses)).at.least(0.5);
    const after = await Promise.all(
      range(40).map((index) => send("/l/", [FIRST_PART, `a${index}`])),
    );
    expect(getServedShare(after)).equal(1);
  });

  /** Sends sound requests while one server after the other ends. */
  const sendMixBesideCrashes = async () => {
    const statuses: Promise<number>[] = [];
    for (const index of range(150)) {
      statuses.push(send("/l/", [FIRST_PART, `d${index % 50}`]));
      if (index % 15 === 0) {
        const running = fleet.servers.findLast((server) => server.running > 0);
        running?.crash();
      }
      await fleet.clock.delay(REQUEST_INTERVAL_MS);
    }
    return await Promise.all(statuses);
  };
});
