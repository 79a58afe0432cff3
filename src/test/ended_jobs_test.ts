/**
 * Jobs that are ended before or while they arrive, in a fleet of real processes: an
 * attempt may hang in a gateway, reach another gateway later, or come again after all
 * processes have been killed. No item of such a job may run once its end is known.
 */
import { rm } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { createConfig, sendHttpRequest } from "./platform_fleet.ts";
import { pollUntil } from "./poll_until.ts";
import { SoakFleet } from "./soak/soak_fleet.ts";

/**
 * Time after the acknowledgement of an end from which no item may reach a server, in
 * milliseconds: what the users allow.
 */
const END_KNOWN_MS = 3_000;

const ITEMS_PER_JOB = 12;

/** Time between two events of a server, in milliseconds. */
const EVENT_INTERVAL_MS = 150;

const HEARTBEAT_INTERVAL_MS = 400;

/** Timeout of a caller, in milliseconds. */
const CALLER_TIMEOUT_MS = 3_500;

const POLL_INTERVAL_MS = 100;

/** Time of a test on a machine that is ten times as slow, in milliseconds. */
const TIMEOUT_MS = 240_000;

const GATEWAYS = ["gateway-1", "gateway-2"] as const;

describe("jobs that are ended before they arrive", () => {
  const fleet = new SoakFleet({
    controls: 3,
    stores: 3,
    gateways: GATEWAYS.length,
    servers: 3,
  });
  let heartbeats: ReturnType<typeof setInterval> | undefined;
  let jobCount = 0;

  const send = (
    host: string,
    method: string,
    target: string,
    options: { body?: string; headers?: Record<string, string> } = {},
  ) =>
    sendHttpRequest(fleet.getAddress(host), method, target, {
      headers: { Host: "a.example", ...options.headers },
      body: options.body,
      signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
    });

  const sendHeartbeats = () =>
    fleet.servers.forEach((server, index) => {
      const control = fleet.targets.controls[index] ?? "";
      send(control, "PUT", `/-/instances/${server.id}`, {
        body: server.createRegistration(),
      });
    });

  const createJob = () => {
    jobCount += 1;
    return `job-${jobCount}`;
  };

  const getItems = (job: string) =>
    Array.from({ length: ITEMS_PER_JOB }, (_, index) => `${job}-${index}`);

  const submit = async (job: string, gateway: string) => {
    const { status } = await send(gateway, "POST", "/b/", {
      headers: { "X-Request-Id": job },
      body: JSON.stringify({
        Items: getItems(job).map((id) => ({
          Id: id,
          Path: `/b/${id}`,
          Headers: {},
          Body: "",
          Tokens: 1,
        })),
      }),
    });
    return status;
  };

  const end = async (job: string, gateway: string) => {
    const { status } = await send(gateway, "DELETE", `/-/lots/${job}`);
    return status;
  };

  const read = async (job: string, gateway: string) => {
    const { status, text } = await send(
      gateway,
      "GET",
      `/-/lots/${job}?After=0`,
    );
    if (status !== 200) return undefined;
    const { Total: total, Results: { length: results } } = JSON.parse(text);
    return { total, results };
  };

  /** Submits another job and waits until it is done, so that others could have run. */
  const runOtherJob = async () => {
    const job = createJob();
    await pollUntil(
      "another job to be accepted",
      async () => (await submit(job, GATEWAYS[1])) === 202,
    );
    await pollUntil(
      "another job to finish",
      async () => (await read(job, GATEWAYS[0]))?.results === ITEMS_PER_JOB,
    );
  };

  const countReceived = (job: string, sinceMs = -Infinity) => {
    const items = new Set(getItems(job));
    return fleet.servers.flatMap((server) => server.receivedRequests)
      .filter(({ id, receivedMs }) => items.has(id) && receivedMs > sinceMs)
      .length;
  };

  const waitUntilReady = () =>
    pollUntil("all gateways to serve", async () => {
      const statuses = await Promise.all(
        GATEWAYS.map(async (gateway) => {
          const job = createJob();
          const accepted = await submit(job, gateway);
          return accepted === 202 ? await end(job, gateway) : accepted;
        }),
      );
      return statuses.every((status) => status === 200);
    });

  before(async function () {
    this.timeout(TIMEOUT_MS);
    await fleet.start();
    fleet.servers.forEach((server) => {
      server.eventIntervalMs = EVENT_INTERVAL_MS;
    });
    heartbeats = setInterval(sendHeartbeats, HEARTBEAT_INTERVAL_MS);
    await pollUntil(
      "the configuration to be acknowledged",
      async () => {
        const { status } = await send("control-1", "PUT", "/-/config", {
          body: createConfig(1),
        });
        return status === 200;
      },
    );
    await waitUntilReady();
    await runOtherJob();
  });

  after(async () => {
    clearInterval(heartbeats);
    await fleet.close({ keepFolder: true });
    await rm(fleet.folder, { recursive: true, force: true });
  });

  // Guards against an end that finds no job and leaves nothing behind.
  it("do not run when they arrive after their end", async () => {
    const job = createJob();
    expect(await end(job, GATEWAYS[0])).equal(200);
    await delay(END_KNOWN_MS);
    expect(await submit(job, GATEWAYS[1])).equal(202);
    await runOtherJob();
    expect(countReceived(job)).equal(0);
    for (const gateway of GATEWAYS) {
      expect(await read(job, gateway))
        .deep.equal({ total: ITEMS_PER_JOB, results: 0 });
      expect(await end(job, gateway)).equal(200);
    }
  }).timeout(TIMEOUT_MS);

  // Guards against an attempt that is older than the end and is committed after it.
  it("do not run when an attempt hung in a frozen gateway", async () => {
    const job = createJob();
    const thaw = fleet.startFault({
      kind: "pause",
      target: GATEWAYS[0],
      startMs: 0,
      durationMs: 0,
      mode: "pass",
    });
    const attempt = submit(job, GATEWAYS[0]);
    await delay(POLL_INTERVAL_MS);
    expect(await end(job, GATEWAYS[1])).equal(200);
    await delay(END_KNOWN_MS);
    await thaw();
    await attempt;
    await runOtherJob();
    expect(countReceived(job)).equal(0);
  }).timeout(TIMEOUT_MS);

  // Guards against items that run on when job and end pass each other on the way.
  it("stop soon when job and end are sent at the same moment", async () => {
    const jobs = Array.from({ length: 16 }, createJob);
    const endedMs = await Promise.all(
      jobs.map(async (job, index) => {
        const [first, second] = index % 2 === 0
          ? GATEWAYS
          : [GATEWAYS[1], GATEWAYS[0]];
        const attempt = submit(job, first);
        expect(await end(job, second)).equal(200);
        const acknowledgedMs = performance.now();
        await attempt;
        return acknowledgedMs;
      }),
    );
    await delay(END_KNOWN_MS);
    await runOtherJob();
    jobs.forEach((job, index) =>
      expect(countReceived(job, (endedMs[index] ?? 0) + END_KNOWN_MS)).equal(0)
    );
  }).timeout(TIMEOUT_MS);

  // Guards against ends that are known only to processes that have been killed since.
  it("do not run after all processes have been killed", async () => {
    const job = createJob();
    expect(await end(job, GATEWAYS[0])).equal(200);
    await fleet.restartAll();
    await waitUntilReady();
    await delay(END_KNOWN_MS);
    expect(await submit(job, GATEWAYS[1])).equal(202);
    await runOtherJob();
    expect(countReceived(job)).equal(0);
  }).timeout(TIMEOUT_MS);
});
