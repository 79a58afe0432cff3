/**
 * What an operator drops, revokes, lowers or retires, in a fleet of real processes:
 * late orders, processes that are frozen meanwhile, and processes that are killed or
 * lose their disks right after the acknowledgement must not bring it back.
 */
import { rm } from "node:fs/promises";
import http from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { createConfig, sendHttpRequest } from "./platform_fleet.ts";
import { pollUntil } from "./poll_until.ts";
import type { Fault } from "./soak/fault_plan.ts";
import { SoakFleet } from "./soak/soak_fleet.ts";

/** Time after which an acknowledged configuration holds at all hosts, in milliseconds. */
const CONFIG_MS = 2_500;

/** Time after a disturbance from which a host has to know it, in milliseconds. */
const STABLE_MS = 4_000;

/** Period over which the limit of an organisation is checked, in seconds. */
const LIMIT_WINDOW_S = 5;
const LIMIT_FACTOR = 1.1;
const LIMIT_SLACK = 20;

const REQUEST_TIMEOUT_MS = 2_500;

/** Timeout of requests that wait in a frozen process, in milliseconds. */
const FROZEN_TIMEOUT_MS = 12_000;

/** Time between two events of a server, in milliseconds: items run for a second. */
const EVENT_INTERVAL_MS = 300;

const HEARTBEAT_INTERVAL_MS = 400;
const POLL_INTERVAL_MS = 50;
const REQUESTS_IN_BUFFERS = 20;

/** More items than the servers take while the job is observed. */
const ITEMS = 150;

/** Time of a test on a machine that is ten times as slow, in milliseconds. */
const TIMEOUT_MS = 240_000;

const GATEWAYS = ["gateway-1", "gateway-2"] as const;
/** The only store host of its data centre, which is a member from the start. */
const RETIRED = "store-2";
const KEPT = { path: "/p/", key: "kept" };
const DROPPED_ROUTE = { path: "/n/", key: "kept" };
const REVOKED_KEY = { path: "/p/", key: "revoked" };

/** What a version of the configuration grants. */
interface Grants {
  readonly hasAll: boolean;
  readonly ratePerS?: number;
  readonly waitingTokens?: number;
  readonly hasJobs?: boolean;
}

describe("what an operator ends", () => {
  const fleet = new SoakFleet(
    { controls: 3, stores: 4, gateways: GATEWAYS.length, servers: 3 },
    { lost_hosts: 1 },
  );
  let timers: ReturnType<typeof setInterval>[] = [];
  let sentCount = 0;
  let version = 0;
  let acknowledged = 0;
  let readCount = 0;
  const outdatedReads: string[] = [];
  // Requests on open connections wait in a frozen process next to its updates.
  const agent = new http.Agent({
    keepAlive: true,
    maxFreeSockets: 4 * REQUESTS_IN_BUFFERS,
  });

  const call = (
    host: string,
    method: string,
    target: string,
    { body = "", headers = {}, timeoutMs = REQUEST_TIMEOUT_MS }: {
      body?: string;
      headers?: Record<string, string>;
      timeoutMs?: number;
    } = {},
  ) =>
    sendHttpRequest(fleet.getAddress(host), method, target, {
      headers: {
        "Content-Length": String(Buffer.byteLength(body)),
        ...headers,
      },
      body,
      agent: GATEWAYS.some((gateway) => gateway === host) ? agent : undefined,
      signal: AbortSignal.timeout(timeoutMs),
    });

  const startFault = (
    kind: Fault["kind"],
    target: string,
    mode: Fault["mode"] = "pass",
  ) => fleet.startFault({ kind, target, mode, startMs: 0, durationMs: 0 });

  const createDocument = (
    number: number,
    { hasAll, hasJobs = true, ratePerS = 0, waitingTokens = 1_000 }: Grants,
  ) => {
    const document = JSON.parse(createConfig(number));
    return JSON.stringify({
      ...document,
      Routes: document.Routes
        .filter(({ Name }: { Name: string }) =>
          (hasAll || Name !== "once") && (hasJobs || Name !== "jobs")
        )
        .map((route: { Name: string }) =>
          route.Name === "jobs" ? { ...route, MaxCount: waitingTokens } : route
        ),
      Tenants: [{
        Name: "one",
        ApiKeys: hasAll ? ["kept", "revoked"] : ["kept"],
        RatePerS: ratePerS,
        Burst: 0,
      }],
    });
  };

  const createVersion = (grants: Grants) => {
    version += 1;
    return { number: version, body: createDocument(version, grants) };
  };

  /** Sends a new configuration until it is acknowledged. */
  const configure = async (grants: Grants, control = "control-2") => {
    const { number, body } = createVersion(grants);
    await pollUntil("the configuration to be acknowledged", async () => {
      const { status } = await call(control, "PUT", "/-/config", { body });
      return status === 200;
    });
    acknowledged = Math.max(acknowledged, number);
    return performance.now();
  };

  const send = async (
    gateway: string,
    { path, key }: { path: string; key: string },
    timeoutMs = REQUEST_TIMEOUT_MS,
  ) => {
    sentCount += 1;
    const id = `r${sentCount}`;
    const { status } = await call(gateway, "POST", path, {
      headers: {
        "Host": "a.example",
        "Authorization": `Token ${key}`,
        "X-Request-Id": id,
        "X-Deadline-Ms": String(timeoutMs),
      },
      timeoutMs,
    });
    return { id, status };
  };

  const waitUntilServed = async (
    request: { path: string; key: string },
  ) => {
    for (const gateway of GATEWAYS) {
      await pollUntil(
        `${gateway} to serve`,
        async () => (await send(gateway, request)).status === 200,
      );
    }
  };

  const grantAll = async () => {
    await configure({ hasAll: true });
    await waitUntilServed(KEPT);
    await waitUntilServed(DROPPED_ROUTE);
    await waitUntilServed(REVOKED_KEY);
  };

  /** Sends requests of the dropped route and of the revoked key at once. */
  const startEnded = (gateway: string) =>
    Array.from(
      { length: REQUESTS_IN_BUFFERS },
      (_, index) =>
        send(
          gateway,
          index % 2 === 0 ? DROPPED_ROUTE : REVOKED_KEY,
          FROZEN_TIMEOUT_MS,
        ),
    );

  const getIds = async (sent: readonly Promise<{ id: string }>[]) =>
    (await Promise.all(sent)).map(({ id }) => id);

  /** Sends what was ended; returns how many of the requests reach a server. */
  const sendEnded = async (gateways: readonly string[] = GATEWAYS) =>
    countReceived(await getIds(gateways.flatMap(startEnded)));

  const countReceived = (ids: readonly string[]) => {
    const wanted = new Set(ids);
    return fleet.servers.flatMap((server) => server.receivedRequests)
      .filter(({ id }) => wanted.has(id)).length;
  };

  /** Reads the configuration at a control host; none may be older than the newest. */
  const read = async (control: string) => {
    const newest = acknowledged;
    const { status, text } = await call(control, "GET", "/-/config");
    if (status !== 200) return;
    readCount += 1;
    const { Version: found } = JSON.parse(text);
    if (found < newest) outdatedReads.push(`${control}: ${found} < ${newest}`);
  };

  before(async function () {
    this.timeout(TIMEOUT_MS);
    await fleet.start();
    timers = [
      setInterval(() =>
        fleet.servers.forEach((server, index) => {
          const control = fleet.targets.controls[index] ?? "";
          call(control, "PUT", `/-/instances/${server.id}`, {
            body: server.createRegistration(),
          });
        }), HEARTBEAT_INTERVAL_MS),
      setInterval(
        () => fleet.targets.controls.forEach(read),
        HEARTBEAT_INTERVAL_MS / 2,
      ),
    ];
  });

  beforeEach(async function () {
    this.timeout(TIMEOUT_MS);
    fleet.clearFaults();
    await grantAll();
  });

  after(async () => {
    timers.forEach(clearInterval);
    agent.destroy();
    await fleet.close({ keepFolder: true });
    await rm(fleet.folder, { recursive: true, force: true });
  });

  // Guards against a frozen gateway that serves what waits before it reads updates.
  it("stays away from a gateway that was frozen meanwhile", async () => {
    // Leaves enough open connections for both groups of requests.
    await Promise.all([sendEnded(), sendEnded()]);
    const thaw = startFault("pause", GATEWAYS[0]);
    const early = startEnded(GATEWAYS[0]);
    await delay(POLL_INTERVAL_MS);
    await configure({ hasAll: false });
    await delay(CONFIG_MS);
    expect(await sendEnded([GATEWAYS[1]])).equal(0);
    const late = startEnded(GATEWAYS[0]);
    await delay(POLL_INTERVAL_MS);
    await thaw();
    // What was sent before the acknowledgement may be served as before it.
    await Promise.all(early);
    expect(countReceived(await getIds(late))).equal(0);
    await delay(STABLE_MS);
    expect(await sendEnded()).equal(0);
  }).timeout(TIMEOUT_MS);

  // Guards against what control hosts had saved before the acknowledgement.
  it("stays away when all are killed right after the acknowledgement", async () => {
    await configure({ hasAll: false });
    await fleet.restartAll();
    await waitUntilServed(KEPT);
    await delay(CONFIG_MS);
    expect(await sendEnded()).equal(0);
  }).timeout(TIMEOUT_MS);

  // Guards against a change that only the host with the lost disk had saved.
  it("stays away when the host that acknowledged it loses its disk", async () => {
    const thaw = startFault("pause", "control-3");
    await configure({ hasAll: false }, "control-1");
    const wiped = startFault("wipe", "control-1");
    await Promise.all(GATEWAYS.map((gateway) => startFault("kill", gateway)()));
    await thaw();
    await wiped();
    await waitUntilServed(KEPT);
    await delay(STABLE_MS);
    expect(await sendEnded()).equal(0);
  }).timeout(TIMEOUT_MS);

  // Guards against gateways that start with what an outdated control host tells them.
  (["cutIn", "cutOut"] as const).forEach((mode) =>
    it(`stays away beside a control host with its link ${mode}`, async () => {
      const join = startFault("link", "control-1", mode);
      await configure({ hasAll: false }, "control-2");
      const restarted = Promise.all(
        GATEWAYS.map((gateway) => startFault("kill", gateway)()),
      );
      await restarted;
      await waitUntilServed(KEPT);
      await delay(CONFIG_MS);
      expect(await sendEnded()).equal(0);
      await join();
      await delay(POLL_INTERVAL_MS);
      expect(await sendEnded()).equal(0);
    }).timeout(TIMEOUT_MS)
  );

  // Guards against an older version that arrives after a newer one.
  it("isn't undone by configurations that are late or sent at once", async () => {
    const older = createVersion({ hasAll: true });
    const thaw = startFault("pause", "control-1");
    const late = call("control-1", "PUT", "/-/config", {
      body: older.body,
      timeoutMs: FROZEN_TIMEOUT_MS,
    });
    await configure({ hasAll: false }, "control-2");
    await thaw();
    expect((await late).status).equal(200);
    const olderAgain = createVersion({ hasAll: true });
    const newer = createVersion({ hasAll: false });
    const put = (control: string, body: string) =>
      pollUntil(
        "an acknowledgement",
        async () =>
          (await call(control, "PUT", "/-/config", { body })).status === 200,
      );
    await Promise.all([
      put("control-1", newer.body).then(() => {
        acknowledged = Math.max(acknowledged, newer.number);
      }),
      put("control-2", olderAgain.body),
    ]);
    await put("control-3", older.body);
    await delay(CONFIG_MS);
    expect(await sendEnded()).equal(0);
  }).timeout(TIMEOUT_MS);

  // Guards against tokens that were granted under a higher limit.
  it("holds for limits of organisations at a gateway that was frozen", async () => {
    await configure({ hasAll: true, ratePerS: 200 });
    const press = async (durationMs: number) => {
      const endMs = performance.now() + durationMs;
      while (performance.now() < endMs) {
        await Promise.all(
          GATEWAYS.flatMap((gateway) => [
            send(gateway, KEPT),
            send(gateway, KEPT),
          ]),
        );
        await delay(POLL_INTERVAL_MS / 2);
      }
    };
    await press(1_000);
    const thaw = startFault("pause", GATEWAYS[0]);
    const waiting = Array.from(
      { length: 3 * REQUESTS_IN_BUFFERS },
      () => send(GATEWAYS[0], KEPT, FROZEN_TIMEOUT_MS),
    );
    await configure({ hasAll: true, ratePerS: 2 });
    await delay(CONFIG_MS);
    const thawedMs = performance.now();
    await thaw();
    await press((LIMIT_WINDOW_S + 1) * 1_000);
    await Promise.all(waiting);
    const times = fleet.servers.flatMap((server) => server.receivedRequests)
      .map(({ receivedMs }) => receivedMs)
      .filter((ms) => ms > thawedMs).sort((a, b) => a - b);
    const count = Math.max(
      0,
      ...times.map((fromMs) =>
        times.filter((ms) =>
          ms >= fromMs && ms < fromMs + LIMIT_WINDOW_S * 1_000
        ).length
      ),
    );
    expect(count).most(2 * LIMIT_WINDOW_S * LIMIT_FACTOR + LIMIT_SLACK);
  }).timeout(TIMEOUT_MS);

  // Guards against a gateway that submits a job with the limit that it knew.
  it("holds for waiting tokens at a gateway that was frozen", async () => {
    const submit = (gateway: string, job: string, timeoutMs?: number) =>
      call(gateway, "POST", "/b/", {
        headers: {
          "Host": "a.example",
          "Authorization": "Token kept",
          "X-Request-Id": job,
        },
        body: JSON.stringify({
          Items: [{
            Id: `${job}-item`,
            Path: "/b/x",
            Headers: {},
            Body: "",
            Tokens: 500,
          }],
        }),
        timeoutMs,
      });
    await pollUntil(
      "a job to be accepted",
      async () => (await submit(GATEWAYS[0], "first")).status === 202,
    );
    const thaw = startFault("pause", GATEWAYS[0]);
    const late = submit(GATEWAYS[0], "late", FROZEN_TIMEOUT_MS);
    await delay(POLL_INTERVAL_MS);
    await configure({ hasAll: true, waitingTokens: 100 });
    await delay(CONFIG_MS);
    await thaw();
    const { status } = await late;
    expect(status).not.equal(202);
    expect((await submit(GATEWAYS[1], "other")).status).equal(429);
  }).timeout(TIMEOUT_MS);

  // Guards against a runner that decides by its old routes before it reads updates.
  it("holds for items of a route that is dropped while store hosts are frozen", async () => {
    const job = "dropped-job";
    const intervals = fleet.servers.map((server) => server.eventIntervalMs);
    fleet.servers.forEach((server) => {
      server.eventIntervalMs = EVENT_INTERVAL_MS;
    });
    const getItems = () =>
      fleet.servers.flatMap((server) => server.receivedRequests)
        .filter(({ id }) => id.startsWith(job));
    await pollUntil("a job to be accepted", async () => {
      const { status } = await call(GATEWAYS[0], "POST", "/b/", {
        headers: {
          "Host": "a.example",
          "Authorization": "Token kept",
          "X-Request-Id": job,
        },
        body: JSON.stringify({
          Items: Array.from({ length: ITEMS }, (_, index) => ({
            Id: `${job}-${index}`,
            Path: "/b/x",
            Headers: {},
            Body: "",
            Tokens: 1,
          })),
        }),
      });
      return status === 202;
    });
    await pollUntil(
      "items to run",
      () => Promise.resolve(getItems().length > 0),
    );
    const thaws = fleet.targets.stores.map((name) => startFault("pause", name));
    await configure({ hasAll: true, hasJobs: false });
    await delay(CONFIG_MS);
    const before = getItems().length;
    await Promise.all(thaws.map((thaw) => thaw()));
    await delay(CONFIG_MS);
    fleet.servers.forEach((server, index) => {
      server.eventIntervalMs = intervals[index] ?? 0;
    });
    expect(before).lessThan(ITEMS);
    expect(getItems()).length(before);
  }).timeout(TIMEOUT_MS);

  const retire = (method: string, name: string, control = "control-1") =>
    call(control, method, `/-/retire/${name}`, {
      body: method === "POST" ? JSON.stringify({ DurationS: 10 }) : "",
    });

  const waitUntilRetired = (name: string, statuses: number[]) =>
    pollUntil(`${name} to be empty`, async () => {
      const { status, text } = await retire("GET", name);
      if (!statuses.includes(status)) statuses.push(status);
      return status === 200 && JSON.parse(text).State === "done";
    });

  // Guards against a retirement that is known only of the replica on a lost disk.
  it("holds for a store host that loses its disk while it is retired", async () => {
    await pollUntil(
      "the order to be acknowledged",
      async () => (await retire("POST", RETIRED)).status === 200,
    );
    await startFault("wipe", RETIRED)();
    const statuses: number[] = [];
    await waitUntilRetired(RETIRED, statuses);
    await fleet.restartAll();
    await startFault("wipe", RETIRED)();
    await waitUntilServed(KEPT);
    const thaw = startFault("pause", RETIRED);
    await delay(STABLE_MS);
    await thaw();
    expect((await retire("POST", RETIRED)).status).equal(200);
    for (const control of fleet.targets.controls) {
      const { status, text } = await retire("GET", RETIRED, control);
      expect({ status, text })
        .deep.equal({ status: 200, text: JSON.stringify({ State: "done" }) });
    }
    // Another host may not be retired in addition.
    expect((await retire("POST", "store-3")).status).equal(409);
    expect(statuses).not.include(404);
  }).timeout(TIMEOUT_MS);

  it("reads no older configuration", () => {
    expect(readCount).greaterThan(0);
    expect(outdatedReads).deep.equal([]);
  });
});
