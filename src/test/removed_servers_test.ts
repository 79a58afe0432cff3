/**
 * Backend servers that leave, in a fleet of real processes all of which are killed and
 * started again right after a control host has acknowledged it. A server that has left
 * must not come back by what a control host had saved before.
 */
import { rm } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { createConfig, sendHttpRequest } from "./platform_fleet.ts";
import { pollUntil } from "./poll_until.ts";
import type { PlatformServer } from "./platform_server.ts";
import { SoakFleet } from "./soak/soak_fleet.ts";

/** Time from the acknowledgement for which a server goes on serving, in milliseconds. */
const DRAIN_MS = 2_000;

/** Time for which requests are sent after the restart, in milliseconds. */
const WATCH_MS = 8_000;

const REQUEST_TIMEOUT_MS = 2_500;
const REQUEST_INTERVAL_MS = 40;
const HEARTBEAT_INTERVAL_MS = 400;

/** Time in which control hosts save what they know, in milliseconds. */
const SAVED_MS = 1_500;

/** Time of a test on a machine that is ten times as slow, in milliseconds. */
const TIMEOUT_MS = 240_000;

const GATEWAYS = ["gateway-1", "gateway-2"];

describe("servers that have left", () => {
  let fleet: SoakFleet;
  let heartbeats: ReturnType<typeof setInterval> | undefined;
  /** Servers that have left register no more. */
  const gone = new Set<PlatformServer>();
  let sentCount = 0;

  const call = (
    host: string,
    method: string,
    target: string,
    body: string,
  ) =>
    sendHttpRequest(fleet.getAddress(host), method, target, {
      // Node.js adds no length to a DELETE.
      headers: { "Content-Length": String(Buffer.byteLength(body)) },
      body,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });

  const register = () =>
    fleet.servers.filter((server) => !gone.has(server))
      .forEach((server) => {
        // All control hosts hear of each server.
        const control = fleet.targets.controls[sentCount % 3] ?? "";
        sentCount += 1;
        call(
          control,
          "PUT",
          `/-/instances/${server.id}`,
          server.createRegistration(),
        );
      });

  const send = async (gateway: string) => {
    sentCount += 1;
    const { status } = await sendHttpRequest(
      fleet.getAddress(gateway),
      "POST",
      "/p/",
      {
        headers: {
          "Host": "a.example",
          "X-Request-Id": `r${sentCount}`,
          "X-Deadline-Ms": String(REQUEST_TIMEOUT_MS),
        },
        body: "",
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      },
    );
    return status;
  };

  const waitUntilServed = async () => {
    for (const gateway of GATEWAYS) {
      await pollUntil(
        `${gateway} to serve`,
        async () => (await send(gateway)) === 200,
      );
    }
  };

  beforeEach(async function () {
    this.timeout(TIMEOUT_MS);
    gone.clear();
    fleet = new SoakFleet({
      controls: 3,
      stores: 3,
      gateways: GATEWAYS.length,
      servers: 3,
    });
    await fleet.start();
    heartbeats = setInterval(register, HEARTBEAT_INTERVAL_MS);
    await pollUntil("the configuration to be acknowledged", async () => {
      const { status } = await call(
        "control-1",
        "PUT",
        "/-/config",
        createConfig(1),
      );
      return status === 200;
    });
    await waitUntilServed();
    await delay(SAVED_MS);
  });

  afterEach(async () => {
    clearInterval(heartbeats);
    await fleet.close({ keepFolder: true });
    await rm(fleet.folder, { recursive: true, force: true });
  });

  const leave = async (
    server: PlatformServer,
    state: "draining" | "gone",
  ): Promise<number> => {
    gone.add(server);
    const registration = server.createRegistration({ State: "draining" });
    const { status } = state === "gone"
      ? await call(
        "control-1",
        "DELETE",
        `/-/instances/${server.id}`,
        registration,
      )
      : await call(
        "control-1",
        "PUT",
        `/-/instances/${server.id}`,
        registration,
      );
    expect(status).equal(200);
    return performance.now();
  };

  /** Number of requests that reach a server after its time to drain. */
  const countLate = async (server: PlatformServer, leftMs: number) => {
    await waitUntilServed();
    const endMs = performance.now() + WATCH_MS;
    while (performance.now() < endMs) {
      await Promise.all(GATEWAYS.map(send));
      await delay(REQUEST_INTERVAL_MS);
    }
    return server.receivedRequests
      .filter(({ receivedMs }) => receivedMs > leftMs + DRAIN_MS).length;
  };

  (["gone", "draining"] as const).forEach((state) => {
    // Guards against DRAIN: a departure that is acknowledged before it is saved.
    it(`stay away when all are killed right after they were ${state}`, async () => {
      const [server] = fleet.servers as [PlatformServer];
      const leftMs = await leave(server, state);
      await fleet.restartAll();
      expect(await countLate(server, leftMs)).equal(0);
    }).timeout(TIMEOUT_MS);

    // Guards against DRAIN: a departure that a host has in its log, but knows again only
    // once the group has a leader, while it gives out the server as it had saved it.
    it(`stay away before there is a leader after they were ${state}`, async () => {
      const [server] = fleet.servers as [PlatformServer];
      const leftMs = await leave(server, state);
      const processes = fleet.processes;
      await Promise.all(processes.map((process) => process.end("SIGKILL")));
      await delay(leftMs + DRAIN_MS - performance.now());
      // One control host of three has no quorum.
      const [heard, ...others] = processes;
      heard?.start();
      others.slice(2).forEach((process) => process.start());
      expect(await countLate(server, leftMs)).equal(0);
    }).timeout(TIMEOUT_MS);

    // Guards against a departure that only the host with the lost disk had saved.
    it(`stay away when the host is lost that heard they were ${state}`, async () => {
      const [server] = fleet.servers as [PlatformServer];
      const leftMs = await leave(server, state);
      await delay(SAVED_MS);
      const wiped = fleet.startFault({
        kind: "wipe",
        target: "control-1",
        startMs: 0,
        durationMs: 0,
        mode: "pass",
      });
      await fleet.restartAll();
      await wiped();
      expect(await countLate(server, leftMs)).equal(0);
    }).timeout(TIMEOUT_MS);
  });
});
