/**
 * A machine that loses its disk again and again, in a fleet of real processes, between any
 * two changes of its group's membership. What the group holds stays readable,
 * since the other machines keep their disks.
 */
import { rm } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { FLEET_GROUP, STORE_GROUP } from "../fleet/groups.ts";
import { createConfig, sendHttpRequest } from "./platform_fleet.ts";
import { pollUntil } from "./poll_until.ts";
import { SoakFleet } from "./soak/soak_fleet.ts";

/**
 * Moments of the losses, in milliseconds after a change of those that take a new replica
 * in. A leader makes one change in 250 ms.
 */
const MOMENTS = [
  ...[0, 40, 80, 120, 160, 200].map((ms) => ({ change: "add", ms })),
  ...[0, 100, 200].map((ms) => ({ change: "promote", ms })),
  ...[0, 100, 200].map((ms) => ({ change: "remove", ms })),
];

const HEARTBEAT_INTERVAL_MS = 400;
const CALLER_TIMEOUT_MS = 3_500;

/** Time of a test on a machine that is ten times as slow, in milliseconds. */
const TIMEOUT_MS = 400_000;

const GATEWAY = "gateway-1";

describe("a machine that loses its disk repeatedly", () => {
  let fleet: SoakFleet;
  let heartbeats: ReturnType<typeof setInterval> | undefined;
  let version = 0;

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

  const configure = (host: string) =>
    pollUntil(`${host} to acknowledge a configuration`, async () => {
      version += 1;
      const body = createConfig(version);
      return (await send(host, "PUT", "/-/config", { body })).status === 200;
    });

  const submit = (job: string) =>
    pollUntil(`job ${job} to be accepted`, async () => {
      const { status } = await send(GATEWAY, "POST", "/b/", {
        headers: { "X-Request-Id": job },
        body: JSON.stringify({
          Items: [{ Id: job, Path: "/b/x", Headers: {}, Body: "", Tokens: 1 }],
        }),
      });
      return status === 202;
    });

  const waitForResult = (job: string) =>
    pollUntil(`the result of job ${job}`, async () => {
      const target = `/-/lots/${job}?After=0`;
      const { status, text } = await send(GATEWAY, "GET", target);
      return status === 200 && JSON.parse(text).Results.length === 1;
    });

  /** Number of changes of a kind that the leaders of a group have made. */
  const countChanges = async (group: number, change: string) => {
    const { controls, stores } = fleet.targets;
    const hosts = group === STORE_GROUP ? stores : controls;
    const logs = await Promise.all(hosts.map((host) => fleet.readLog(host)));
    return logs.flat().filter((line) =>
      line.includes("event=membership_changed") &&
      line.includes(` group=${group} `) && line.includes(` change=${change} `)
    ).length;
  };

  const loseDisk = async (host: string) => {
    const restart = fleet.startFault({
      kind: "wipe",
      target: host,
      startMs: 0,
      durationMs: 0,
      mode: "pass",
    });
    await restart();
  };

  const loseDiskAtEachMoment = async (group: number, host: string) => {
    for (const { change, ms } of MOMENTS) {
      const earlier = await countChanges(group, change);
      await loseDisk(host);
      await pollUntil(
        `change "${change}" after ${host} lost its disk`,
        async () => await countChanges(group, change) > earlier,
      );
      await delay(ms);
    }
    await loseDisk(host);
  };

  beforeEach(async function () {
    this.timeout(TIMEOUT_MS);
    fleet = new SoakFleet({ controls: 3, stores: 3, gateways: 1, servers: 1 });
    await fleet.start();
    heartbeats = setInterval(
      () =>
        fleet.servers.forEach((server) =>
          send("control-1", "PUT", `/-/instances/${server.id}`, {
            body: server.createRegistration(),
          })
        ),
      HEARTBEAT_INTERVAL_MS,
    );
    await configure("control-1");
    await submit("before");
    await waitForResult("before");
  });

  afterEach(async () => {
    clearInterval(heartbeats);
    await fleet.close({ keepFolder: true });
    await rm(fleet.folder, { recursive: true, force: true });
  });

  // Guards against LOST: the group has no leader ever again and no job can be read.
  it("leaves the jobs of a store group readable", async () => {
    await loseDiskAtEachMoment(STORE_GROUP, "store-2");
    await waitForResult("before");
    await submit("after");
    await waitForResult("after");
  }).timeout(TIMEOUT_MS);

  // Guards against a fleet group that acknowledges no configuration ever again.
  it("leaves the configuration of a fleet group writable", async () => {
    await loseDiskAtEachMoment(FLEET_GROUP, "control-2");
    await configure("control-1");
    const { status, text } = await send("control-1", "GET", "/-/config");
    expect(status).equal(200);
    expect(JSON.parse(text).Version).equal(version);
  }).timeout(TIMEOUT_MS);
});
