/**
 * Updates of a control host that a follower fails to apply. Guards against a gateway
 * that stays without the rest of such an update, now that the error no longer ends
 * its process: a control host sends each change once on a stream.
 */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { FleetFollower } from "../fleet/fleet_follower.ts";
import { RegistrationHub } from "../fleet/registration_hub.ts";
import { RoutingView } from "../fleet/routing_view.ts";
import {
  Fleet,
  HostListSchema,
  RegistrationSchema,
  RouteTableSchema,
  ServerState,
} from "../schema/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { createCredentials, RpcServer } from "../sys/rpc.ts";

const SERVERS = ["a", "b", "c"];
const INTERVAL_MS = 1_000;

describe("an update that a follower fails to apply", () => {
  const clock = new SystemClock();
  const log = createSilentLog();
  const credentials = createCredentials();
  const server = new RpcServer(credentials);
  let hub: RegistrationHub;
  let follower: FleetFollower;
  /** Keeps expected errors from the test runner. */
  let listeners: NodeJS.UnhandledRejectionListener[];
  const errors: unknown[] = [];
  const record = (error: unknown) => {
    errors.push(error);
  };

  beforeEach(() => {
    listeners = process.listeners("unhandledRejection");
    process.removeAllListeners("unhandledRejection");
    process.on("unhandledRejection", record);
  });

  afterEach(() => {
    follower.close();
    hub.close();
    server.close();
    process.removeAllListeners("unhandledRejection");
    listeners.forEach((listener) => process.on("unhandledRejection", listener));
  });

  it("is sent again", async () => {
    hub = new RegistrationHub({
      getState: () => ({
        routes: create(RouteTableSchema, { version: 3n }),
        hosts: create(HostListSchema),
      }),
      onServerChange: () => {},
      registrationIntervalMs: INTERVAL_MS,
      clock,
      log,
      metrics: new Metrics({ prefix: "test" }),
    });
    hub.start();
    SERVERS.forEach((id) =>
      hub.accept(create(RegistrationSchema, {
        id,
        bornMs: 1n,
        sequence: 1n,
        service: "s",
        address: `${id}:80`,
        state: ServerState.READY,
        slots: 4,
      }))
    );
    server.addService(Fleet, {
      follow: (req, stream) => hub.serve(req, stream),
      report: () => Promise.resolve({}),
      findSoftwareVersions: () => Promise.resolve({}),
    });
    const address = await server.listen("127.0.0.1:0");
    const view = new RoutingView({
      registrationIntervalMs: INTERVAL_MS,
      clock,
      log,
    });
    let failures = 0;
    view.onServerChange(() => {
      if (failures > 0) return;
      failures += 1;
      throw new Error("odd server");
    });
    follower = new FleetFollower({
      name: "gateway",
      view,
      seeds: [address],
      credentials,
      clock,
      log,
    });
    follower.start();
    const getIds = () => view.servers.getAll().map(({ id }) => id).sort();
    const endMs = clock.getMonotonicMs() + 5 * INTERVAL_MS;
    while (getIds().length < SERVERS.length && clock.getMonotonicMs() < endMs) {
      await clock.delay(10);
    }
    expect(errors.map(String)).deep.equal(["Error: odd server"]);
    expect(getIds()).deep.equal(SERVERS);
    expect(view.routesVersion).equal(3n);
  });
});
