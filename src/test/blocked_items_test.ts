/**
 * Items that can't start, for whatever reason, beside items that can, and items whose
 * route is removed.
 */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import type { RoutingView } from "../fleet/routing_view.ts";
import { getPromptPartKey, LoadKind } from "../membership/mod.ts";
import {
  FleetUpdateSchema,
  ItemEnd,
  RequestKind,
  ServerState,
} from "../schema/mod.ts";
import { range } from "./fleet_helpers.ts";
import {
  HOST,
  registerVersions,
  RunnerSimulation,
} from "./runner_simulation.ts";

/** Jobs and items of the size that the platform's protocol allows. */
const BLOCKED_JOBS = 5;
const ITEMS_PER_JOB = 200;
const OTHER_ITEMS = 12;

/** Time for which an item runs, in milliseconds. */
const RUN_MS = 500;

/** Items that are due later than others come after them. */
const OTHER_DUE_MS = 700_000;

/** Time in which items must be done whose servers are idle, in milliseconds. */
const DONE_MS = 3 * RUN_MS;

const BLOCKED = { route: "jobs", path: "/b/x" };
const OTHER = { route: "others", path: "/o/x" };

/** Routes by name: their path prefixes and services. */
const ROUTES = {
  jobs: { pathPrefix: "/b/", service: "s" },
  others: { pathPrefix: "/o/", service: "o" },
} as const;
type RouteName = keyof typeof ROUTES;

function setRoutes(
  view: RoutingView,
  version: bigint,
  names: readonly RouteName[],
): void {
  const routes = names.map((name) => ({
    name,
    host: HOST,
    pathPrefix: ROUTES[name].pathPrefix,
    kind: RequestKind.BATCH,
    timeoutMs: 5_000,
    targets: [{ service: ROUTES[name].service, weight: 1 }],
    maxAttempts: 3,
  }));
  const services = [{ name: "s" }, { name: "o" }];
  view.applyUpdate(
    create(FleetUpdateSchema, { routes: { version, routes, services } }),
    "test",
  );
}

function registerOthers(view: RoutingView): void {
  const servers = range(OTHER_ITEMS).map((index) => ({
    id: `o-${index}`,
    bornMs: 1n,
    sequence: 1n,
    service: "o",
    address: `10.0.1.${index}:80`,
    dataCentre: "dc-1",
    state: ServerState.READY,
    slots: 8,
  }));
  view.applyUpdate(create(FleetUpdateSchema, { servers }), "test");
}

describe("items that can't start", () => {
  let simulation: RunnerSimulation;

  beforeEach(async () => {
    simulation = new RunnerSimulation(["a"]);
    const { runner } = simulation;
    runner.runMs = RUN_MS;
    setRoutes(runner.view, 2n, ["jobs", "others"]);
    registerOthers(runner.view);
    // The first runner of a group may start at once only after its handover.
    await simulation.advance(1_000);
  });

  const submitBlocked = (options: { prefix?: string } = {}) =>
    range(BLOCKED_JOBS).flatMap((index) =>
      simulation.submit(`blocked-${index}`, Array(ITEMS_PER_JOB).fill(200), {
        ...BLOCKED,
        routesVersion: 2n,
        ...options,
      })
    );

  const submitOthers = (options: { route: string; path: string }) =>
    simulation.submit("other", Array(OTHER_ITEMS).fill(200), {
      ...options,
      routesVersion: 2n,
      dueMs: OTHER_DUE_MS,
    });

  const countDone = (job: string) =>
    simulation.committed.tryGetJob(job)?.results
      .filter(({ end }) => end === ItemEnd.DONE).length;

  /** Fills all slots of the servers with a software version. */
  const fill = (softwareVersion?: string) => {
    const { pool } = simulation.runner;
    pool.getServers("s", softwareVersion).forEach(({ id, slots }) =>
      range(slots).forEach(() => pool.loads.begin(id, LoadKind.online))
    );
  };

  const expectOthersDone = async (
    options: { route: string; path: string } = OTHER,
  ) => {
    submitOthers(options);
    await simulation.advance(DONE_MS);
    expect(countDone("other")).equal(OTHER_ITEMS);
  };

  // Guards against LOST: items that wait although their servers are idle, because many
  // others wait before them.
  it("don't hold up others while their servers work on a backlog", async () => {
    submitBlocked();
    await expectOthersDone();
    expect(countDone("blocked-0")).above(0);
  });

  it("don't hold up others while their servers are full", async () => {
    fill();
    submitBlocked();
    await expectOthersDone();
    expect(simulation.answered).length(OTHER_ITEMS);
  });

  it("don't hold up others while they have no servers", async () => {
    const { view } = simulation.runner;
    view.applyUpdate(
      create(FleetUpdateSchema, {
        servers: view.servers.getAll().filter(({ service }) => service === "s")
          .map((server) => ({
            ...server,
            sequence: server.sequence + 1n,
            state: ServerState.DRAINING,
          })),
      }),
      "test",
    );
    submitBlocked();
    await expectOthersDone();
    expect(simulation.answered).length(OTHER_ITEMS);
  });

  it("don't hold up others while a part of their prompts is held", async () => {
    const { view, clock } = simulation.runner;
    const part = getPromptPartKey("s", "9c2e41");
    range(5).forEach((index) =>
      view.promptParts.recordCrash([part], `s-${index}`, clock.getMonotonicMs())
    );
    submitBlocked({ prefix: "9c2e41:300,5d07b8:240" });
    await expectOthersDone(BLOCKED);
    expect(simulation.answered.length).below(2 * OTHER_ITEMS);
  });

  it("don't hold up others while servers of their software version are full", async () => {
    registerVersions(simulation.runner.view, [
      { version: "v2", slots: 8 },
      { version: "v1", slots: 1 },
    ]);
    fill("v1");
    const items = submitBlocked();
    simulation.commit({
      case: "recordRuns",
      value: {
        progress: items.map((item) => ({
          job: item.slice(0, item.lastIndexOf("-")),
          item,
          last: 1n,
          chain: 7n,
          text: Buffer.from("1"),
          softwareVersion: "v1",
        })),
      },
    });
    await expectOthersDone(BLOCKED);
  });

  it("don't hold up others once their route is removed", async () => {
    submitBlocked();
    setRoutes(simulation.runner.view, 3n, ["others"]);
    await expectOthersDone();
  });

  // Guards against LOST: items of a removed route that are neither run nor listed.
  it("end as dead letters once their route is removed", async () => {
    submitBlocked();
    setRoutes(simulation.runner.view, 3n, ["others"]);
    await simulation.advance(DONE_MS);
    expect(simulation.committed.getOpenJobs()).deep.equal([]);
    const results = simulation.committed.tryGetJob("blocked-0")?.results;
    expect(results).length(ITEMS_PER_JOB);
    expect(simulation.answered).deep.equal([]);
  });

  it("are done, if they run already when their route is removed", async () => {
    const items = simulation.submit("blocked", Array(8).fill(200), {
      ...BLOCKED,
      routesVersion: 2n,
    });
    await simulation.advance(RUN_MS / 2);
    setRoutes(simulation.runner.view, 3n, ["others"]);
    await simulation.advance(DONE_MS);
    expect(countDone("blocked")).equal(items.length);
  });

  // Guards against MIXED: items that are given up by a host whose routes are older than
  // those by which their jobs were accepted.
  [2n, 3n].forEach((routesVersion) =>
    it(`stay open for routes as new as version ${routesVersion}`, async () => {
      setRoutes(simulation.runner.view, 2n, ["others"]);
      const [item = ""] = simulation.submit("early", [200], {
        route: "new",
        path: "/n/x",
        routesVersion,
      });
      await simulation.advance(DONE_MS);
      const [queued] = simulation.committed.getOpenJobs();
      expect([...queued?.open.keys() ?? []]).deep.equal([item]);
    })
  );

  it("stay open if an older build accepted them", async () => {
    simulation.submit("early", [200], { ...BLOCKED, routesVersion: 0n });
    setRoutes(simulation.runner.view, 3n, ["others"]);
    await simulation.advance(DONE_MS);
    expect(simulation.committed.getOpenJobs()).length(1);
  });
});
